#include "http1_caller.h"

#include <utility>

namespace gaugevalve::callers {
namespace {

constexpr int kCreated = 201;
constexpr int kUnavailable = 503;  // the endpoint's only use of it: refused before it ran

}  // namespace

Http1Caller::Http1Caller(event_base* loop, const base::SocketAddress& address)
    : exchange_(loop, address, http_client::HttpExchange::Kind::kAnswer, *this) {}

bool Http1Caller::Send(const AttemptRequest& /*request*/, Done done) {
  done_ = std::move(done);
  return exchange_.Start({http_client::Method::kPost, "/reservations", ""});
}

void Http1Caller::OnHttpAnswer(const http_client::HttpAnswer& answer) {
  if (answer.status == kCreated) {
    Finish(load::CallerOutcome::kAnswered);
  } else {
    Finish(answer.status == kUnavailable ? load::CallerOutcome::kNotRun
                                         : load::CallerOutcome::kUnknown);
  }
}

void Http1Caller::OnHttpFailure(http_client::TransportFailure failure,
                                const std::string& /*words*/) {
  Finish(failure == http_client::TransportFailure::kNotSent ? load::CallerOutcome::kNotRun
                                                            : load::CallerOutcome::kUnknown);
}

void Http1Caller::Finish(load::CallerOutcome outcome) {
  load::CheckedAnswer answer;
  answer.outcome = outcome;
  std::exchange(done_, {})(answer);
}

}  // namespace gaugevalve::callers
