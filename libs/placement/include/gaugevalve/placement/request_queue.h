/// @file
/// The order in which requests that wait before an endpoint are let through.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/placement/flow_packet.h"
#include "gaugevalve/placement/request_class.h"

namespace gaugevalve::placement {

/// How fast an endpoint works.
struct EndpointServiceRate {
  base::Duration answer_time{0};  ///< that a request usually takes once it is let through
  std::uint32_t slots = 1;        ///< requests at a time
};

/// Requests on open flows that wait until their endpoint has room, at most one a flow. Answers the
/// load at which all endpoints of a service are full, so that the order decides who is served in
/// time: the more urgent first; within a priority those that can still be in time before those that
/// can't. The oldest goes first, as it has the least time left, while all of them can be in time;
/// when they can't, the newest: the oldest would be answered just too late, one after the other.
/// One in kShare goes to the least urgent, so that nobody waits for good. Bounded; a full queue
/// takes no more. Not thread-safe.
class RequestQueue {
 public:
  /// Requests at most: 300 KB where each is one full packet, of an agent's 64 MB. At two slots and
  /// 30 ms a request this is four seconds' work, longer than callers wait.
  static constexpr std::size_t kLimit = 256;
  /// Every so many, one request is taken from the least urgent that wait.
  static constexpr unsigned kShare = 8;

  /// Sets what the priorities mean.
  void SetClasses(const RequestClassTable& classes) { m_classes = classes; }
  const RequestClassTable& Classes() const { return m_classes; }

  /// Where the queue is full, a request that is less urgent gives its place up.
  /// @return  who doesn't wait: nobody, the flow itself, or the one that gave its place up. A flow
  ///          that waits already isn't added again
  std::optional<FlowKey> Add(const FlowKey& flow, std::uint8_t priority, base::TimePoint now);

  bool Has(const FlowKey& flow) const;

  /// Takes a flow out. @return  whether it waited
  bool Remove(const FlowKey& flow);

  /// Takes the next one.
  std::optional<FlowKey> TakeNext(const EndpointServiceRate& pace, base::TimePoint now);

  /// Takes those whose callers have given up.
  std::vector<FlowKey> TakeExpired(base::TimePoint now);

  /// Takes all, in the order in which they came.
  std::vector<FlowKey> TakeAll();

  const PriorityCounts& Counts() const { return m_counts; }
  std::size_t Size() const { return m_waiting.size(); }

 private:
  struct Waiting {
    FlowKey flow;
    std::uint8_t priority = kDefaultPriority;
    base::TimePoint since{};
  };

  bool CanBeInTime(const Waiting& request, base::Duration wait, base::TimePoint now) const;
  std::size_t NextOf(std::uint8_t priority, const EndpointServiceRate& pace,
                     base::TimePoint now) const;
  std::size_t LeastUrgent() const;
  FlowKey TakeAt(std::size_t index);

  RequestClassTable m_classes;
  std::vector<Waiting> m_waiting;  // in the order in which they came
  PriorityCounts m_counts{};
  unsigned m_taken = 0;
};

}  // namespace gaugevalve::placement
