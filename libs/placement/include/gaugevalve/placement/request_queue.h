/// @file
/// Priority queue of requests that wait for a full endpoint.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/placement/flow_packet.h"
#include "gaugevalve/placement/request_class.h"

namespace gaugevalve::placement {

/// Service rate of an endpoint.
struct EndpointServiceRate {
  base::Duration answer_time{0};  ///< usual time from sending a request to its answer
  std::uint32_t slots = 1;        ///< maximum number of concurrent requests
};

/// Requests on open flows that wait until their endpoint has a free slot, at most one for each
/// flow. The queue is meant for overload, when all endpoints of a service are full and the order
/// determines which requests are answered in time. More urgent priorities go first. Within a
/// priority, requests that can still meet their target go before those that can't. While all of
/// them can meet it, the oldest goes first because it has the least time left. Otherwise the newest
/// goes first, because in order of age each request would be answered just too late. One in
/// kLeastUrgentInterval requests is taken from the least urgent priority, to prevent starvation.
/// Bounded; a full queue accepts no more requests. Not thread-safe.
class RequestQueue {
 public:
  /// Maximum number of requests. With one full packet each they take 300 KB, out of an agent's 64
  /// MB. With two slots and 30 ms for each request they are four seconds of work, which is longer
  /// than callers wait.
  static constexpr std::size_t kLimit = 256;
  /// One in this many requests is taken from the least urgent priority in the queue.
  static constexpr unsigned kLeastUrgentInterval = 8;

  /// Sets the request classes of the priorities.
  void SetClasses(const RequestClassTable& classes) { m_classes = classes; }
  const RequestClassTable& Classes() const { return m_classes; }

  /// Adds a request. If the queue is full, it replaces a less urgent request.
  /// @return  the flow that is left without a place: nothing, `flow` itself, or the flow that was
  ///          replaced. A flow that is already queued isn't added again
  std::optional<FlowKey> Add(const FlowKey& flow, std::uint8_t priority, base::TimePoint now);

  bool Has(const FlowKey& flow) const;

  /// Removes a flow.
  /// @return  whether it was queued
  bool Remove(const FlowKey& flow);

  /// Removes and returns the next flow.
  std::optional<FlowKey> TakeNext(const EndpointServiceRate& rate, base::TimePoint now);

  /// Removes and returns the flows whose callers' time limits have passed.
  std::vector<FlowKey> TakeExpired(base::TimePoint now);

  /// Removes and returns all flows, in order of arrival.
  std::vector<FlowKey> TakeAll();

  const PriorityCounts& Counts() const { return m_counts; }
  std::size_t Size() const { return m_waiting.size(); }

 private:
  struct WaitingRequest {
    FlowKey flow;
    std::uint8_t priority = kDefaultPriority;
    base::TimePoint since{};
  };

  bool CanMeetTarget(const WaitingRequest& request, base::Duration wait, base::TimePoint now) const;
  std::size_t NextOf(std::uint8_t priority, const EndpointServiceRate& rate,
                     base::TimePoint now) const;
  std::size_t LeastUrgent() const;
  FlowKey TakeAt(std::size_t index);

  RequestClassTable m_classes;
  std::vector<WaitingRequest> m_waiting;  // in order of arrival
  PriorityCounts m_counts{};
  unsigned m_taken = 0;
};

}  // namespace gaugevalve::placement
