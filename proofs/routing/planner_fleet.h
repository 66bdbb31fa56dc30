// A service's agents with their true flows, around the planner under proof.
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

// Plays agents, membership and successive planners, and keeps the truth that the oracle needs:
// which agent holds how many flows in which bucket, and under which entries it would open more.
// Messages are late and out of order as the events choose. Every event takes arbitrary numbers and
// reduces them to its range, so shrinking works.
class PlannerFleet {
 public:
  static constexpr std::size_t kAgents = 7;
  static constexpr std::size_t kBuckets = 24;
  static constexpr std::size_t kLiar = 0;  // the agent whose reports may be false

  // `make_policies` makes the rules of each planner in turn.
  using PolicyMaker = routing::PlannerPolicies (*)(const routing::PlannerSettings&);
  PlannerFleet(const routing::PlannerMechanisms& mechanisms, PolicyMaker make_policies,
               const routing::FlowCountEncoderMechanisms& digest_mechanisms = {});

  // Events.
  void OpenFlow(std::uint32_t agent, std::uint32_t bucket);
  void CloseFlows(std::uint32_t agent, std::uint32_t bucket);
  void GiveTable(std::uint32_t agent, std::uint32_t age);
  void GiveEntry(std::uint32_t agent, std::uint32_t bucket);
  void SendReport(std::uint32_t agent, std::uint32_t busy);
  void SendLie(std::uint32_t seed);
  void DeliverReport(std::uint32_t position);
  void RepeatReport(std::uint32_t position);
  void LoseReport(std::uint32_t position);
  void DeliverAnswer(std::uint32_t position);
  void LoseAnswer(std::uint32_t position);
  void TellStanding(std::uint32_t agent, std::uint32_t liveness);
  void TellDead(std::uint32_t agent);     // whatever is true: it may only be cut off from control
  void SayFarewell(std::uint32_t agent);  // it ends, and says so
  void Restart(std::uint32_t agent);
  void TakeOver(std::uint32_t age);
  void Step(std::uint32_t milliseconds);

  // Lets everything arrive and nothing happen, until a planner must have come to rest.
  void ComeToRest();

  // Returns what is wrong since the start; empty when nothing is.
  const std::string& Fault() const { return fault_; }

  // Returns what is wrong with a fleet at rest; empty when nothing is.
  std::string FaultAtRest() const;

 private:
  struct Agent {
    base::Incarnation incarnation{1};
    std::array<std::uint32_t, kBuckets> flows{};
    std::vector<routing::Bucket> entries;  // newest seen; it opens flows where it is the owner
    routing::TableVersion table_version;
    bool is_listed = false;  // its table knows this life of it; without that it opens nothing
    // When it sent the newest of its reports that were answered: it opens flows for a while after.
    base::TimePoint confirmed_at = base::TimePoint::min();
    std::uint64_t last_sequence = 0;
    routing::FlowCountEncoder digest;
  };

  // A report with the time at which it was sent.
  struct SentReport {
    routing::AgentReport report;
    base::TimePoint sent_at;
    std::vector<std::uint32_t> flows;  // whole, as they were
  };

  struct SentAnswer {
    std::size_t agent = 0;
    base::Incarnation incarnation;
    std::uint64_t sequence = 0;
    routing::FlowCountsOutcome outcome;
  };

  // A non-forced move of a bucket, for the bound per minute.
  struct Moves {
    base::TimePoint at;
    std::size_t count;
  };

  void MakePlanner();
  void TellPlanner();
  routing::AgentReport HonestReport(std::size_t agent, std::uint32_t busy) const;
  Agent MakeLife(base::Incarnation incarnation) const;
  void Send(std::size_t agent, routing::AgentReport report);
  void Answer(const SentReport& sent, routing::ReportOutcome outcome);
  void CheckPicture(const SentReport& sent);
  bool MayOwn(base::NodeId node) const;
  bool IsToldAlive(base::NodeId node) const;
  bool IsHeld(base::NodeId node) const;
  bool MayOpen(std::size_t agent) const;
  bool AnybodyMayOwn() const;
  void Check(const routing::BucketTable& before, const routing::TableDelta& delta);
  void CheckBucket(std::size_t index, const routing::Bucket& before, const routing::Bucket& after);
  void CheckMoves(const routing::BucketTable& before, const routing::BucketTable& after);
  void CheckDropped(std::size_t index, const routing::Bucket& before, const routing::Bucket& after);
  void CheckTakenFromDead(std::size_t index, const routing::Bucket& before,
                          const routing::Bucket& after);
  void Blame(const std::string& what);

  routing::PlannerMechanisms mechanisms_;
  PolicyMaker make_policies_;
  routing::FlowCountEncoderMechanisms digest_mechanisms_;
  routing::PlannerSettings settings_;
  base::TimePoint now_{};
  std::uint32_t generation_ = 0;
  std::unique_ptr<routing::ServicePlanner> planner_;
  std::array<Agent, kAgents> agents_;
  std::vector<routing::AgentStatus> told_;               // what membership says
  std::set<base::NodeId> draining_;                      // by the last report that the planner took
  std::array<base::TimePoint, kAgents> told_dead_at_{};  // or the take-over since
  std::deque<SentReport> reports_;
  std::deque<SentAnswer> answers_;
  std::vector<routing::BucketTable> published_;
  std::deque<Moves> moves_;
  std::string fault_;
};

}  // namespace gaugevalve::proofs
