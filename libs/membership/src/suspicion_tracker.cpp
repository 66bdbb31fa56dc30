#include "suspicion_tracker.h"

#include <algorithm>
#include <cmath>

namespace gaugevalve::membership {

void SuspicionTracker::Start(base::NodeId node, base::Incarnation incarnation, AccuserTag accuser,
                             const SuspicionLimits& limits, base::TimePoint now) {
  Stop(node);
  Suspicion suspicion{incarnation, {accuser}, limits, now, {}};
  suspicion.deadline = now + TimeoutOf(suspicion);
  by_deadline_.emplace(suspicion.deadline, node);
  suspicions_.emplace(node, std::move(suspicion));
}

bool SuspicionTracker::Confirm(base::NodeId node, base::Incarnation incarnation,
                               AccuserTag accuser) {
  const auto found = suspicions_.find(node);
  if (found == suspicions_.end() || found->second.incarnation != incarnation) {
    return false;
  }
  Suspicion& suspicion = found->second;
  const bool is_known = std::find(suspicion.accusers.begin(), suspicion.accusers.end(), accuser) !=
                        suspicion.accusers.end();
  if (is_known || suspicion.accusers.size() > suspicion.limits.expected_confirmations) {
    return false;
  }
  suspicion.accusers.push_back(accuser);
  by_deadline_.erase({suspicion.deadline, node});
  suspicion.deadline = suspicion.started_at + TimeoutOf(suspicion);
  by_deadline_.emplace(suspicion.deadline, node);
  return true;
}

void SuspicionTracker::Stop(base::NodeId node) {
  const auto found = suspicions_.find(node);
  if (found != suspicions_.end()) {
    by_deadline_.erase({found->second.deadline, node});
    suspicions_.erase(found);
  }
}

void SuspicionTracker::Postpone(base::Duration pause) {
  by_deadline_.clear();
  for (auto& [node, suspicion] : suspicions_) {
    suspicion.started_at += pause;
    suspicion.deadline += pause;
    by_deadline_.emplace(suspicion.deadline, node);
  }
}

std::optional<SuspicionTracker::ExpiredSuspicion> SuspicionTracker::PopExpired(
    base::TimePoint now) {
  if (by_deadline_.empty() || by_deadline_.begin()->first > now) {
    return std::nullopt;
  }
  const base::NodeId node = by_deadline_.begin()->second;
  const ExpiredSuspicion expired{node, suspicions_.at(node).incarnation};
  Stop(node);
  return expired;
}

std::optional<base::TimePoint> SuspicionTracker::NextDeadline() const {
  if (by_deadline_.empty()) {
    return std::nullopt;
  }
  return by_deadline_.begin()->first;
}

base::Duration SuspicionTracker::TimeoutOf(const Suspicion& suspicion) {
  const SuspicionLimits& limits = suspicion.limits;
  if (limits.expected_confirmations == 0) {
    return limits.minimum;
  }
  const auto confirmations = static_cast<double>(suspicion.accusers.size() - 1);
  const auto expected = static_cast<double>(limits.expected_confirmations);
  const double fraction = std::log(confirmations + 1) / std::log(expected + 1);
  const auto range = static_cast<double>((limits.maximum - limits.minimum).count());
  const base::Duration shortened(static_cast<base::Duration::rep>(range * fraction));
  return std::max(limits.minimum, limits.maximum - shortened);
}

}  // namespace gaugevalve::membership
