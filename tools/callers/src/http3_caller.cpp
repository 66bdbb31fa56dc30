#include "http3_caller.h"

#include <utility>

namespace gaugevalve::callers {
namespace {

// A handshake that takes longer is begun anew.
constexpr base::Duration kHandshakeTimeout = std::chrono::seconds(2);

quic::RequestHead MakeHead(const std::string& service, const AttemptRequest& request) {
  quic::RequestHead head;
  head.method = "POST";
  head.authority = service;
  head.path = "/reservations";
  if (!request.key.empty()) {
    head.fields.push_back({"idempotency-key", request.key});
  }
  if (request.time_left) {
    head.fields.push_back({"grpc-timeout", std::to_string(request.time_left->count()) + "m"});
  }
  return head;
}

}  // namespace

Http3Caller::Http3Caller(event_base* loop, const base::Clock& clock, std::string service,
                         const base::SocketAddress& address, quic::ClientCredentials credentials)
    : loop_(loop),
      clock_(clock),
      service_(std::move(service)),
      address_(address),
      credentials_(std::move(credentials)) {}

void Http3Caller::OnTick() {
  const base::TimePoint now = clock_.Now();
  if (NeedsReplacement(now)) {
    Connect(now);
  }
}

bool Http3Caller::NeedsReplacement(base::TimePoint now) const {
  if (connection_ == nullptr || connection_->is_ending) {
    return true;
  }
  const bool is_connected = connection_->client->Client().IsConnected();
  const bool is_late = !is_connected && now - connecting_since_ > kHandshakeTimeout;
  return is_late || given_up_in_a_row_ >= kAttemptsToDespair;
}

bool Http3Caller::IsReady() const {
  return connection_ != nullptr && !connection_->is_ending &&
         connection_->client->Client().IsConnected();
}

bool Http3Caller::Send(const AttemptRequest& request, Done done) {
  const auto on_end = [this, done = std::move(done)](const load::CheckedAnswer& answer) {
    if (answer.outcome != load::CallerOutcome::kUnknown) {
      given_up_in_a_row_ = 0;
    }
    done(answer);
  };
  auto check = std::make_unique<load::ReservationCheck>(request.key, on_end);
  return IsReady() && connection_->client->Client().SubmitRequest(MakeHead(service_, request), {},
                                                                  std::move(check));
}

void Http3Caller::Close() {
  for (Connection* const connection : {connection_.get(), former_.get()}) {
    if (connection != nullptr && !connection->client->Client().IsClosed()) {
      connection->client->Close();
    }
  }
}

void Http3Caller::Connect(base::TimePoint now) {
  former_ = std::move(connection_);
  given_up_in_a_row_ = 0;
  connecting_since_ = now;
  quic::Http3ClientOptions options;
  options.path.remote = address_;
  options.server_name = service_;
  options.credentials = credentials_;
  connection_ = std::make_unique<Connection>();
  connection_->client = std::make_unique<quic::UdpClient>(loop_, clock_, options, *connection_);
  connection_->client->Connect();
}

}  // namespace gaugevalve::callers
