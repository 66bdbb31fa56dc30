// Model of a service's agents and their flows around the planner under test.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/routing/flow_count_encoder.h"
#include "gaugevalve/routing/service_planner.h"

namespace gaugevalve::proofs {

// Simulates agents, membership and successive planners, and keeps the true state for the oracle:
// the number of flows of each agent in each bucket, and the entries by which it would open more.
// Messages are delayed and reordered by the events. Every event accepts arbitrary numbers and
// reduces them to its range, so that shrinking works.
class PlannerFleet {
 public:
  static constexpr std::size_t kAgents = 7;
  static constexpr std::size_t kBuckets = 24;
  static constexpr std::size_t kFalseReporter = 0;  // the only agent that may send false reports

  // `make_policies` makes the policies of each planner.
  using PolicyMaker = routing::PlannerPolicies (*)(const routing::PlannerSettings&);
  PlannerFleet(const routing::PlannerMechanisms& mechanisms, PolicyMaker make_policies,
               const routing::FlowCountEncoderMechanisms& encoder_mechanisms = {});

  // Events.
  void OpenFlow(std::uint32_t agent, std::uint32_t bucket);
  void CloseFlows(std::uint32_t agent, std::uint32_t bucket);
  void DeliverTable(std::uint32_t agent, std::uint32_t age);
  void DeliverEntry(std::uint32_t agent, std::uint32_t bucket);
  void SendReport(std::uint32_t agent, std::uint32_t busy);
  void SendFalseReport(std::uint32_t seed);
  void DeliverReport(std::uint32_t position);
  void RepeatReport(std::uint32_t position);
  void LoseReport(std::uint32_t position);
  void DeliverAnswer(std::uint32_t position);
  void LoseAnswer(std::uint32_t position);
  void SetLiveness(std::uint32_t agent, std::uint32_t liveness);
  void DeclareDead(std::uint32_t agent);      // the agent may still run, isolated from control
  void LeaveGracefully(std::uint32_t agent);  // the agent ends and announces it
  void Restart(std::uint32_t agent);
  void TakeOver(std::uint32_t age);
  void Step(std::uint32_t milliseconds);

  // Delivers all messages without other events for longer than a planner needs until its table is
  // stable.
  void RunUntilStable();

  // Returns the first violated invariant; empty if there is none.
  const std::string& Violation() const { return violation_; }

  // Returns the invariant that the stable fleet violates; empty if there is none.
  std::string ViolationWhenStable() const;

 private:
  struct Agent {
    base::Incarnation incarnation{1};
    std::array<std::uint32_t, kBuckets> flows{};
    // Newest received; the agent opens flows where it is the owner.
    std::vector<routing::Bucket> entries;
    routing::TableVersion table_version;
    bool is_listed = false;  // its table lists this incarnation; otherwise it opens no flows
    // Time at which it sent the newest of its answered reports. It opens flows for a time after
    // that.
    base::TimePoint confirmed_at = base::TimePoint::min();
    std::uint64_t last_sequence = 0;
    routing::FlowCountEncoder encoder;
  };

  // A report, the time at which it was sent and the full flow counts at that time.
  struct SentReport {
    routing::AgentReport report;
    base::TimePoint sent_at;
    std::vector<std::uint32_t> flows;
  };

  struct SentAnswer {
    std::size_t agent = 0;
    base::Incarnation incarnation;
    std::uint64_t sequence = 0;
    routing::FlowCountsOutcome outcome;
  };

  // Number of moves of one step that were not forced, for the limit per minute.
  struct Moves {
    base::TimePoint at;
    std::size_t count;
  };

  void MakePlanner();
  void UpdatePlannerAgents();
  routing::AgentReport MakeTrueReport(std::size_t agent, std::uint32_t busy) const;
  Agent MakeAgent(base::Incarnation incarnation) const;
  void Send(std::size_t agent, routing::AgentReport report);
  void Answer(const SentReport& sent, routing::ReportOutcome outcome);
  void CheckPlannerFlowCounts(const SentReport& sent);
  bool MayOwn(base::NodeId node) const;
  bool IsDeclaredAlive(base::NodeId node) const;
  bool IsHeld(base::NodeId node) const;
  bool MayOpen(std::size_t agent) const;
  bool AnyAgentMayOwn() const;
  void Check(const routing::BucketTable& before, const routing::TableDelta& delta);
  void CheckBucket(std::size_t index, const routing::Bucket& before, const routing::Bucket& after);
  void CheckMoves(const routing::BucketTable& before, const routing::BucketTable& after);
  void CheckDropped(std::size_t index, const routing::Bucket& before, const routing::Bucket& after);
  void CheckReassignedFromDead(std::size_t index, const routing::Bucket& before,
                               const routing::Bucket& after);
  void RecordViolation(const std::string& what);

  routing::PlannerMechanisms mechanisms_;
  PolicyMaker make_policies_;
  routing::FlowCountEncoderMechanisms encoder_mechanisms_;
  routing::PlannerSettings settings_;
  base::TimePoint now_{};
  std::uint32_t generation_ = 0;
  std::unique_ptr<routing::ServicePlanner> planner_;
  std::array<Agent, kAgents> agents_;
  std::vector<routing::AgentStatus> membership_view_;  // statuses that membership gives the planner
  std::set<base::NodeId> draining_;  // by the last report that the planner accepted
  std::array<base::TimePoint, kAgents> declared_dead_at_{};  // or the time of the last take-over
  std::deque<SentReport> reports_;
  std::deque<SentAnswer> answers_;
  std::vector<routing::BucketTable> published_;
  std::deque<Moves> moves_;
  std::string violation_;
};

}  // namespace gaugevalve::proofs
