// Decides which requests run at an endpoint, which wait and which are refused.
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

// One request at one agent. Not reused while the agent's process runs.
using RequestId = base::StrongId<struct RequestIdTag, std::uint64_t>;

// Capacity of an endpoint, from the settings tree.
struct AdmissionLimits {
  std::uint32_t slots = 1;         // concurrent requests at the endpoint; 0 means "none now"
  std::uint32_t queue_length = 0;  // requests that may wait
  std::uint32_t streams = 0;       // concurrent long-lived event streams
  double brown_out_enter = 1.0;    // share of slots and queue in use that starts a brown-out
  double brown_out_leave = 1.0;    // share below which it ends; at most brown_out_enter
  std::uint8_t brown_out_urgency = kDefaultUrgency;  // least urgent value admitted in a brown-out
  base::Duration expected_service_time{100'000};     // used until a service time has been measured
};

// The properties of a request that admission depends on.
struct AdmissionRequest {
  RequestId id;
  base::TimePoint deadline;
  std::uint8_t urgency = kDefaultUrgency;  // RFC 9218
};

// A refused request. Its caller must be told immediately.
struct RefusedRequest {
  RequestId id;
  Refusal refusal;
};

// Result of one event: requests to start, in this order, and refused requests.
struct AdmissionActions {
  std::vector<RequestId> start;
  std::vector<RefusedRequest> refused;
};

// Admission control for one endpoint. Waiting requests are ordered by urgency, then by deadline. A
// request is refused as soon as its estimated completion is past its deadline, because holding it
// any longer would cost its caller the time to try elsewhere. When the queue is full, a new request
// that takes precedence displaces the last one. Memory is bounded by slots + queue_length +
// streams.
//
// Not thread-safe; the owner passes in the time. A request refused here has not reached an
// endpoint.
class AdmissionQueue {
 public:
  // `random` spreads the Retry-After hints and must outlive the queue.
  AdmissionQueue(const AdmissionLimits& limits, base::RandomSource& random);

  // Submits a request with a bounded answer. Its id must be new.
  AdmissionActions Submit(const AdmissionRequest& request, base::TimePoint now);

  // Admits a long-lived event stream, which uses no slot. Returns the refusal, or nothing if the
  // stream was admitted.
  std::optional<Refusal> OpenStream(RequestId id);

  // Counts a stream that is already open, even above the limit, because it can no longer be
  // refused.
  void AddStream(RequestId id) { streams_.insert(id); }

  // Ends a stream that OpenStream() or AddStream() counted.
  void CloseStream(RequestId id);

  // Notes that a started request ended. `counts_as_sample` is false for a request that the endpoint
  // refused or that was aborted, because its duration says nothing about the service time.
  AdmissionActions Finish(RequestId id, bool counts_as_sample, base::TimePoint now);

  // Removes a waiting request that its caller cancelled. Returns false if it is not waiting.
  bool CancelWaiting(RequestId id);

  // Refuses requests that can no longer finish before their deadline. Call at NextDeadline().
  AdmissionActions OnTimer(base::TimePoint now);

  // Returns the time at which the next waiting request can no longer meet its deadline; nothing if
  // none waits.
  std::optional<base::TimePoint> NextDeadline() const;

  // Applies new limits. Started requests continue; waiting requests that no longer fit are refused.
  AdmissionActions SetLimits(const AdmissionLimits& limits, base::TimePoint now);

  // Starts or stops refusing new requests. Waiting requests still run.
  void SetDraining(bool draining) { draining_ = draining; }

  std::size_t RunningCount() const { return running_.size(); }
  std::size_t WaitingCount() const { return waiting_.size(); }
  std::size_t StreamCount() const { return streams_.size(); }

  // Returns the smoothed service time of the endpoint.
  base::Duration ServiceTime() const { return service_time_; }

  // Returns the estimated time that a request submitted now would wait for a slot.
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
  std::vector<AdmissionRequest> waiting_;                   // in the order in which they will start
  std::unordered_map<RequestId, base::TimePoint> running_;  // with their start times
  std::unordered_set<RequestId> streams_;
};

}  // namespace gaugevalve::requests
