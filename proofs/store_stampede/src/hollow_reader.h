// A node that follows the store, without sockets: the real scheduler and watch session.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "gaugevalve/simulation/event_queue.h"
#include "gaugevalve/store/request_scheduler.h"
#include "gaugevalve/store/watch_session.h"
#include "hollow_store.h"

namespace gaugevalve::proofs {

// Does in simulated time what the store client's shell does on an event loop.
class HollowReader {
 public:
  HollowReader(simulation::EventQueue& queue, HollowStore& store,
               const store::SchedulerSettings& scheduler,
               const store::WatchSessionSettings& session, std::uint64_t seed);

  void Start();

  // The stream breaks, as when the store goes away.
  void CloseStream();

  bool IsStreaming() const { return session_.IsStreaming(); }

 private:
  void Advance();
  void Apply(const store::SendAttempt& action);
  void Apply(const store::CancelAttempt& /*action*/) {}
  void Apply(const store::CompleteRequest& action);
  void Apply(const store::ReadForWatch& action);
  void Apply(const store::OpenWatchStream& action);
  void Apply(const store::CloseWatchStream& action);
  void Apply(const store::WatchSnapshot& /*action*/) {}
  void Apply(const store::WatchChanges& /*action*/) {}
  void OpenStream(std::uint64_t stream, base::Revision start);
  void ScheduleNext();

  simulation::EventQueue& queue_;
  HollowStore& store_;
  store::RequestScheduler scheduler_;
  store::WatchSession session_;
  std::uint64_t stream_ = 0;  // number of the stream opened or waited for last
  std::optional<base::TimePoint> scheduled_;
};

}  // namespace gaugevalve::proofs
