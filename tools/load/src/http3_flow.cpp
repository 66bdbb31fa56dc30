#include "http3_flow.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include "gaugevalve/standins/endpoint_headers.h"
#include "gaugevalve/telemetry/event.h"
#include "reservation_key.h"

namespace gaugevalve::load {
namespace {

constexpr std::uint64_t kDrawings = 1000;  // numbers asked for: 0 to 999
constexpr int kOk = 200;

quic::Http3ClientOptions MakeOptions(const Http3FlowSettings& settings, const std::string& service,
                                     const base::SocketAddress& address) {
  quic::Http3ClientOptions options;
  options.path.remote = address;
  options.server_name = service;
  options.credentials = settings.credentials;
  return options;
}

// Returns the wait of a Retry-After field in seconds (RFC 9110, section 10.2.3); 0 for any other.
base::Duration ReadRetryAfter(std::string_view text) {
  int seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::chrono::seconds(std::max(0, seconds));
}

}  // namespace

// Hands the board's answer to the flow, which outlives it.
class Http3Flow::BoardHandler final : public quic::ResponseHandler {
 public:
  explicit BoardHandler(Http3Flow& flow) : flow_(flow) {}

  void OnHead(const quic::ResponseHead& head) override { flow_.OnBoardHead(head); }
  void OnBody(std::span<const std::uint8_t> bytes) override { flow_.OnBoardBody(bytes); }
  void OnEnd() override { flow_.OnBoardEnd(); }
  void OnFailed(const quic::RequestFailure& /*failure*/) override { flow_.OnBoardEnd(); }

 private:
  Http3Flow& flow_;
};

Http3Flow::Http3Flow(event_base* loop, const base::Clock& clock, const Http3FlowSettings& settings,
                     std::string service, const base::SocketAddress& address, std::uint64_t number,
                     std::uint32_t attempt, base::TimePoint ends_at, base::RandomSource& random,
                     Http3ServiceReport& report)
    : clock_(clock),
      settings_(settings),
      service_(std::move(service)),
      number_(number),
      attempt_(attempt),
      ends_at_(ends_at),
      random_(random),
      report_(report),
      last_sign_of_life_(clock.Now()),
      next_request_at_(last_sign_of_life_),
      client_(std::make_unique<quic::UdpClient>(loop, clock,
                                                MakeOptions(settings, service_, address),
                                                static_cast<quic::ClientEvents&>(*this))) {
  ++report_.flows_opened;
  client_->Connect();
}

void Http3Flow::OnTick() {
  if (has_ended_) {
    return;
  }
  const base::TimePoint now = clock_.Now();
  if (now - last_sign_of_life_ > settings_.silence) {
    Break(board_is_known_ ? "silent" : "never_answered");
  } else if (request_in_progress_ && now - request_progress_at_ > settings_.silence) {
    Break("request_stalled");
  } else if (board_is_known_ && !request_in_progress_ && now >= ends_at_) {
    Finish();
  } else if (board_is_known_ && !request_in_progress_ && !goaway_received_ &&
             now >= next_request_at_) {
    random_.NextUnit() < settings_.drawing_share ? SubmitDrawing() : SubmitReservation();
  }
}

void Http3Flow::EndSoon() { ends_at_ = std::min(ends_at_, clock_.Now()); }

void Http3Flow::OnConnected() { SubmitBoard(); }

void Http3Flow::OnGoaway() {
  ++report_.goaways;
  goaway_received_ = true;
}

void Http3Flow::OnClosed(const quic::ConnectionEnd& end) {
  using Kind = quic::ConnectionEnd::Kind;
  switch (end.kind) {
    case Kind::kRefused:
      Break("connection_refused");
      break;
    case Kind::kStatelessReset:
      Break("stateless_reset");
      break;
    case Kind::kIdle:
      Break(board_is_known_ ? "connection_idle" : "never_answered");
      break;
    default:
      Break("connection_closed");
  }
}

void Http3Flow::SubmitBoard() {
  quic::RequestHead head = MakeHead("GET", "/board");
  head.fields.push_back({"accept", "text/event-stream"});  // or it would wait for a slot
  client_->Client().SubmitRequest(head, {}, std::make_unique<BoardHandler>(*this));
}

void Http3Flow::SubmitReservation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
  const std::string key = MakeReservationKey(static_cast<std::uint64_t>(milliseconds.count()),
                                             service_, number_, ++requests_);
  quic::RequestHead head = MakeHead("POST", "/reservations");
  head.fields.push_back({"idempotency-key", key});
  const auto on_end = [this, key](const CheckedAnswer& answer) {
    report_.reservation_keys[answer.outcome].push_back(key);
    OnAnswer(report_.reservations, answer);
  };
  Submit(head, std::make_unique<ReservationCheck>(key, on_end));
}

void Http3Flow::SubmitDrawing() {
  const std::uint64_t drawing = random_.NextBelow(kDrawings);
  const auto on_end = [this](const CheckedAnswer& answer) { OnAnswer(report_.drawings, answer); };
  Submit(MakeHead("GET", "/drawings/" + std::to_string(drawing)),
         std::make_unique<DrawingCheck>(drawing, on_end));
}

void Http3Flow::Submit(const quic::RequestHead& head, std::unique_ptr<AnswerCheck> check) {
  check->SetProgress([this](const AnswerProgress& progress) { OnProgress(progress); });
  request_target_ = head.method + " " + head.path;
  request_progress_ = {};
  request_sent_at_ = clock_.Now();
  request_progress_at_ = request_sent_at_;
  request_in_progress_ = client_->Client().SubmitRequest(head, {}, std::move(check)).has_value();
}

void Http3Flow::OnProgress(const AnswerProgress& progress) {
  request_progress_ = progress;
  if (progress.received > 0) {
    request_progress_at_ = clock_.Now();
  }
}

void Http3Flow::OnAnswer(RequestCounts& counts, const CheckedAnswer& answer) {
  const base::TimePoint now = clock_.Now();
  ++counts.outcomes[answer.outcome];
  counts.crossed += answer.is_crossed ? 1 : 0;
  counts.cut_as_whole += answer.is_cut_as_whole ? 1 : 0;
  if (answer.outcome == CallerOutcome::kAnswered) {
    counts.latencies.Add(now - request_sent_at_);
    ++report_.requests_by_endpoint[answer.endpoint];
  }
  request_in_progress_ = false;
  next_request_at_ = now + settings_.request_interval;
  last_sign_of_life_ = now;
}

void Http3Flow::OnBoardHead(const quic::ResponseHead& head) {
  if (head.status != kOk) {  // its end follows, and ends the flow
    board_was_not_run_ = quic::FindField(head.fields, kOutcomeField) == standins::kOutcomeNotRun;
    refusal_wait_ = ReadRetryAfter(quic::FindField(head.fields, "retry-after"));
    return;
  }
  board_is_known_ = true;
  last_sign_of_life_ = clock_.Now();
  ++report_.boards_by_endpoint[std::string(quic::FindField(head.fields, kEndpointField))];
}

void Http3Flow::OnBoardBody(std::span<const std::uint8_t> bytes) {
  board_.Read(bytes);
  last_sign_of_life_ = clock_.Now();
}

void Http3Flow::OnBoardEnd() {
  if (board_was_not_run_ && !has_ended_ && attempt_ < settings_.board_attempts) {
    board_retry_after_ = refusal_wait_;
    ++report_.boards_not_run;
    has_ended_ = true;
    End();
    return;
  }
  Break(board_is_known_ ? "board_ended" : "board_refused");
}

void Http3Flow::Finish() {
  has_ended_ = true;
  ++report_.flows_finished;
  End();
}

void Http3Flow::Break(const std::string& cause) {
  if (has_ended_) {
    return;
  }
  has_ended_ = true;
  ++report_.flows_broken[cause];
  LogBreak(cause);
  End();
}

void Http3Flow::LogBreak(const std::string& cause) const {
  const base::TimePoint now = clock_.Now();
  telemetry::Event event(telemetry::Level::kWarning, "flow_broken");
  event.Field("service", service_)
      .Field("flow", number_)
      .Field("cause", cause)
      .Field("goaway", goaway_received_)
      .Field("silent_us", (now - last_sign_of_life_).count());
  if (request_in_progress_) {
    event.Field("request", request_target_)
        .Field("request_number", requests_)
        .Field("sent_us", (now - request_sent_at_).count())
        .Field("progress_us", (now - request_progress_at_).count())
        .Field("status", request_progress_.status)
        .Field("received", request_progress_.received)
        .Field("endpoint", request_progress_.endpoint);
  }
}

void Http3Flow::End() {
  report_.board_events += board_.Events();
  report_.board_gaps += board_.Gaps();
  if (!client_->Client().IsClosed()) {
    client_->Close();
  }
}

quic::RequestHead Http3Flow::MakeHead(const std::string& method, const std::string& path) const {
  quic::RequestHead head;
  head.method = method;
  head.authority = service_;
  head.path = path;
  return head;
}

}  // namespace gaugevalve::load
