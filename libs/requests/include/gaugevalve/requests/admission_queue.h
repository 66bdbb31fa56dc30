// Which requests run at an endpoint now, which wait, and which are refused at once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/strong_id.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/requests/request_headers.h"
#include "gaugevalve/requests/request_outcome.h"

namespace gaugevalve::requests {

// One request at one agent. Never reused in the life of the agent's process.
using RequestId = base::StrongId<struct RequestIdTag, std::uint64_t>;

// What an endpoint takes, from the settings tree.
struct AdmissionLimits {
  std::uint32_t slots = 1;         // requests at the endpoint at once; 0 means "none now"
  std::uint32_t queue_length = 0;  // requests that may wait
  std::uint32_t streams = 0;       // long-lived event streams open at once
  double brown_out_enter = 1.0;    // share of slots and queue in use that starts a brown-out
  double brown_out_leave = 1.0;    // share that ends it; at most brown_out_enter
  std::uint8_t brown_out_urgency = kDefaultUrgency;  // in a brown-out: this or more urgent
  base::Duration expected_service_time{100'000};     // used until measured
};

// What admission needs to know of a request.
struct AdmissionRequest {
  RequestId id;
  base::TimePoint deadline;
  std::uint8_t urgency = kDefaultUrgency;  // RFC 9218
};

// A request that is refused. Its caller is to be told at once.
struct RefusedRequest {
  RequestId id;
  Refusal refusal;
};

// What changed by one event: start these, in this order, and refuse those.
struct AdmissionActions {
  std::vector<RequestId> start;
  std::vector<RefusedRequest> refused;
};

// Decides on requests for one endpoint. The waiting ones are ordered by urgency, then by deadline.
// A request is refused as soon as it can't finish in time by what is known, never later: holding it
// would cost its caller the time to go elsewhere. A full queue gives up its last request for one
// that goes before it. Memory is bounded by slots + queue_length + streams.
//
// Not thread-safe; the owner passes the time in. Nothing refused here has reached an endpoint.
class AdmissionQueue {
 public:
  // `random` spreads the Retry-After hints and must outlive the queue.
  AdmissionQueue(const AdmissionLimits& limits, base::RandomSource& random);

  // Takes a request with a bounded answer. Its id must be new.
  AdmissionActions Submit(const AdmissionRequest& request, base::TimePoint now);

  // Takes a long-lived event stream, which holds no slot. Returns the refusal, or nothing.
  std::optional<Refusal> OpenStream(RequestId id);

  // Counts a stream that is open already, also above the limit: it can't be refused any more.
  void AddStream(RequestId id) { streams_.insert(id); }

  // Ends a stream that OpenStream() took.
  void CloseStream(RequestId id);

  // A started request ended. `counts_as_sample` is false for one that the endpoint refused or that
  // was cut short: its time says nothing of the service time.
  AdmissionActions Finish(RequestId id, bool counts_as_sample, base::TimePoint now);

  // The caller of a waiting request gave it up. Returns false when it isn't waiting.
  bool CancelWaiting(RequestId id);

  // Refuses what can't finish in time any more. Call at NextDeadline().
  AdmissionActions OnTimer(base::TimePoint now);

  // Returns when the next waiting request is to be given up; nothing when none waits.
  std::optional<base::TimePoint> NextDeadline() const;

  // Takes new limits; what is started goes on, what no longer fits in the queue is refused.
  AdmissionActions SetLimits(const AdmissionLimits& limits, base::TimePoint now);

  // Takes no new request from now on, or again; what waits still runs.
  void SetDraining(bool draining) { draining_ = draining; }

  std::size_t RunningCount() const { return running_.size(); }
  std::size_t WaitingCount() const { return waiting_.size(); }
  std::size_t StreamCount() const { return streams_.size(); }

  // Returns the smoothed time of an answer at the endpoint.
  base::Duration ServiceTime() const { return service_time_; }

  // Returns how long a request that came now would wait for a slot.
  base::Duration EstimatedWait() const { return EstimatedWaitAt(waiting_.size()); }

 private:
  base::Duration EstimatedWaitAt(std::size_t position) const;
  bool HasPrecedence(const AdmissionRequest& left, const AdmissionRequest& right) const;
  bool CanFinishInTime(const AdmissionRequest& request, std::size_t position,
                       base::TimePoint now) const;
  std::optional<RefusalReason> ReasonToRefuse(const AdmissionRequest& request, std::size_t position,
                                              base::TimePoint now) const;
  void UpdateBrownOut();
  Refusal MakeRefusal(RefusalReason reason);
  void FillSlots(base::TimePoint now, AdmissionActions& actions);
  void RefuseUnmeetableDeadlines(base::TimePoint now, AdmissionActions& actions);
  void RefuseExcess(AdmissionActions& actions);

  AdmissionLimits limits_;
  base::RandomSource& random_;
  bool draining_ = false;
  bool in_brown_out_ = false;
  base::Duration service_time_;
  std::vector<AdmissionRequest> waiting_;                   // in order of start
  std::unordered_map<RequestId, base::TimePoint> running_;  // with the time of their start
  std::unordered_set<RequestId> streams_;
};

}  // namespace gaugevalve::requests
