#include "stream_watch.h"

#include <algorithm>
#include <utility>

#include "gaugevalve/base/finding.h"

namespace gaugevalve::store {

using http_client::HttpAnswer;
using http_client::HttpExchange;
using http_client::TransportFailure;
namespace {

constexpr base::Duration kReadTimeout = std::chrono::seconds(10);

}  // namespace

StreamWatch::StreamWatch(StoreClientShell& client, WatchSessionSettings settings,
                         WatchObserver& observer)
    : client_(client),
      observer_(observer),
      session_(std::move(settings), client.NextSeed()),
      timer_(client.loop(), [this] { Advance(); }),
      opening_timer_(client.loop(), [this] { OpenWhenAllowed(); }) {
  session_.Start(client_.Now());
  timer_.StartOnce(base::Duration::zero());
}

void StreamWatch::OnBodyPiece(std::string_view piece) {
  try {
    for (const WatchFrame& frame : decoder_.Append(piece)) {
      session_.OnFrame(frame, client_.Now());
    }
  } catch (const base::FindingsError&) {
    session_.OnStreamClosed(client_.Now());
  }
  timer_.StartOnce(base::Duration::zero());
}

void StreamWatch::OnHttpAnswer(const HttpAnswer& /*answer*/) {
  // A stream that ends, well or with an error status, is a stream lost.
  session_.OnStreamClosed(client_.Now());
  timer_.StartOnce(base::Duration::zero());
}

void StreamWatch::OnHttpFailure(TransportFailure /*failure*/, const std::string& /*words*/) {
  client_.MoveToNextEndpoint();
  session_.OnStreamClosed(client_.Now());
  timer_.StartOnce(base::Duration::zero());
}

void StreamWatch::Advance() {
  session_.Tick(client_.Now());
  std::vector<WatchAction> actions = session_.TakeActions();
  while (!actions.empty()) {
    for (const WatchAction& action : actions) {
      std::visit([this](const auto& typed) { Apply(typed); }, action);
    }
    actions = session_.TakeActions();
  }
  ReportStreaming();
  ArmTimer();
}

void StreamWatch::Apply(const ReadForWatch& action) {
  client_.Submit(action.request, kReadTimeout,
                 [weak = std::weak_ptr<StreamWatch*>(self_)](const Result& result) {
                   if (const auto self = weak.lock()) {
                     (*self)->session_.OnReadResult(result, (*self)->client_.Now());
                     (*self)->Advance();
                   }
                 });
}

void StreamWatch::Apply(const OpenWatchStream& action) {
  opening_ = EncodeWatchRequest(action.request);
  opening_timer_.StartOnce(
      std::max(client_.ReserveStreamOpening() - client_.Now(), base::Duration::zero()));
}

void StreamWatch::Apply(const CloseWatchStream& /*action*/) {
  opening_.reset();
  opening_timer_.Cancel();
  stream_.reset();
}

void StreamWatch::OpenWhenAllowed() {
  if (!opening_) {
    return;
  }
  decoder_ = WatchStreamDecoder();
  session_.OnStreamStarted(client_.Now());
  stream_ = std::make_unique<HttpExchange>(client_.loop(), client_.CurrentEndpoint(),
                                           HttpExchange::Kind::kStream, *this);
  if (!stream_->Start(ToHttpRequest(*std::exchange(opening_, std::nullopt)))) {
    OnHttpFailure(TransportFailure::kNotSent, "can't connect");
  }
  ArmTimer();
}

void StreamWatch::ReportStreaming() {
  if (reported_streaming_ != session_.IsStreaming()) {
    reported_streaming_ = session_.IsStreaming();
    observer_.OnStreaming(reported_streaming_);
  }
}

void StreamWatch::ArmTimer() {
  if (const auto due = session_.NextDue()) {
    timer_.StartOnce(std::max(*due - client_.Now(), base::Duration::zero()));
  }
}

}  // namespace gaugevalve::store
