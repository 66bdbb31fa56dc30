// The shell of a watch: a stream and a timer around WatchSession. Private to the store client.
#pragma once

#include <memory>
#include <optional>

#include "gaugevalve/http_client/http_exchange.h"
#include "gaugevalve/store/store_client.h"
#include "gaugevalve/store/watch_session.h"
#include "gaugevalve/store/watch_stream_decoder.h"
#include "gaugevalve/tasks/timer.h"
#include "store_client_shell.h"

namespace gaugevalve::store {

// Carries out the session's actions over the client's connections and one stream of its own.
class StreamWatch final : public Watch, public http_client::HttpExchangeObserver {
 public:
  StreamWatch(StoreClientShell& client, WatchSessionSettings settings, WatchObserver& observer);

  bool IsStreaming() const override { return session_.IsStreaming(); }

 private:
  void OnBodyPiece(std::string_view piece) override;
  void OnHttpAnswer(const http_client::HttpAnswer& answer) override;
  void OnHttpFailure(http_client::TransportFailure failure, const std::string& words) override;

  void Advance();
  void Apply(const ReadForWatch& action);
  void Apply(const OpenWatchStream& action);
  void Apply(const CloseWatchStream& action);
  void Apply(const WatchSnapshot& action) { observer_.OnSnapshot(action); }
  void Apply(const WatchChanges& action) { observer_.OnChanges(action); }
  void OpenWhenAllowed();
  void ReportStreaming();
  void ArmTimer();

  StoreClientShell& client_;
  WatchObserver& observer_;
  WatchSession session_;
  WatchStreamDecoder decoder_;
  tasks::Timer timer_;
  tasks::Timer opening_timer_;
  std::optional<EncodedRequest> opening_;  // waits for the rate budget
  std::unique_ptr<http_client::HttpExchange> stream_;
  bool reported_streaming_ = false;
  // Read callbacks hold this weakly: one that arrives after the watch's end does nothing.
  std::shared_ptr<StreamWatch*> self_ = std::make_shared<StreamWatch*>(this);
};

}  // namespace gaugevalve::store
