#include "gaugevalve/requests/at_most_once.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <deque>
#include <map>

namespace gaugevalve::requests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kBuckets = 8;
constexpr KeyDigest kKey{5, 3};  // hashes to bucket 3

// Three agents. Messages are delivered immediately, except to and from an agent that is cut off.
class AtMostOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(KeyRunsOnceAndARepeatGetsItsAnswer);
  CPPUNIT_TEST(RepeatWhileRunningIsRefusedAsInProgress);
  CPPUNIT_TEST(KeyReusedForAnotherRequestIsRefused);
  CPPUNIT_TEST(AnswerSurvivesTheLossOfTheOwner);
  CPPUNIT_TEST(LostExecutorLeavesTheOutcomeUnknown);
  CPPUNIT_TEST(SecondLossOnlyAffectsOlderKeys);
  CPPUNIT_TEST(FormerOwnerCannotRunAlone);
  CPPUNIT_TEST(RequestThatDidNotRunMayRunAgain);
  CPPUNIT_TEST(UnansweredRequestIsRefusedAtItsDeadline);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    agents_.clear();
    for (std::uint64_t node = 1; node <= 3; ++node) {
      AddAgent(node);
    }
    SetOwner(1, {1, 2, 3});
    now_ += seconds(60);
    Confirm();
  }

  void KeyRunsOnceAndARepeatGetsItsAnswer() {
    Begin(2, 1);
    CPPUNIT_ASSERT_EQUAL(1, runs_);
    Finish(2, 1, ExecutionState::kAnswered);
    Begin(3, 2);
    CPPUNIT_ASSERT_EQUAL(1, runs_);
    CPPUNIT_ASSERT_EQUAL(201, repeated_status_);
  }

  void RepeatWhileRunningIsRefusedAsInProgress() {
    Begin(2, 1);
    Begin(3, 2);
    CPPUNIT_ASSERT(last_refusal_.reason == RefusalReason::kKeyInProgress);
    CPPUNIT_ASSERT(last_refusal_.outcome == RequestOutcome::kOutcomeUnknown);
  }

  void KeyReusedForAnotherRequestIsRefused() {
    Begin(2, 1);
    Begin(3, 2, /*fingerprint=*/99);
    CPPUNIT_ASSERT(last_refusal_.reason == RefusalReason::kKeyReused);
    CPPUNIT_ASSERT_EQUAL(1, runs_);
  }

  void AnswerSurvivesTheLossOfTheOwner() {
    Begin(1, 1);  // agent 1 is owner and executor, so another agent holds the copy
    Finish(1, 1, ExecutionState::kAnswered);
    agents_.erase(base::NodeId(1));
    now_ += seconds(60);
    SetOwner(2, {2, 3});
    Begin(3, 2);
    CPPUNIT_ASSERT_EQUAL(1, runs_);
    CPPUNIT_ASSERT_EQUAL(201, repeated_status_);
  }

  void LostExecutorLeavesTheOutcomeUnknown() {
    Begin(2, 1);
    agents_.erase(base::NodeId(2));
    now_ += seconds(60);
    SetOwner(1, {1, 3});
    Begin(3, 2);
    CPPUNIT_ASSERT_EQUAL(1, runs_);
    CPPUNIT_ASSERT(last_refusal_.reason == RefusalReason::kExecutorLost);
    CPPUNIT_ASSERT(last_refusal_.outcome == RequestOutcome::kOutcomeUnknown);
  }

  void SecondLossOnlyAffectsOlderKeys() {
    Begin(2, 1);  // the record is held by 1 (owner) and 2 (executor)
    agents_.erase(base::NodeId(1));
    agents_.erase(base::NodeId(2));
    now_ += seconds(60);
    SetOwner(3, {3});
    const base::TimePoint lost_at = now_;
    now_ += seconds(10);
    Confirm();
    key_age_ = now_ - lost_at + seconds(5);
    Begin(3, 2);
    CPPUNIT_ASSERT(last_refusal_.reason == RefusalReason::kKeyForgotten);
    CPPUNIT_ASSERT_EQUAL(1, runs_);
    key_age_ = seconds(1);
    Begin(3, 3);
    CPPUNIT_ASSERT_EQUAL(2, runs_);
  }

  void FormerOwnerCannotRunAlone() {
    const auto old_table = table_;
    cut_off_ = base::NodeId(1);
    now_ += seconds(60);
    SetOwner(2, {2, 3});
    Begin(2, 1);
    CPPUNIT_ASSERT_EQUAL(1, runs_);
    cut_off_ = base::NodeId();  // agent 1 is reachable again and still uses its old table
    Collect(base::NodeId(1), agents_.at(base::NodeId(1)).SetTable(old_table, now_, now_));
    Begin(1, 2);
    CPPUNIT_ASSERT_EQUAL(1, runs_);
  }

  void RequestThatDidNotRunMayRunAgain() {
    Begin(2, 1);
    Finish(2, 1, ExecutionState::kNotRun);
    Begin(3, 2);
    CPPUNIT_ASSERT_EQUAL(2, runs_);
  }

  void UnansweredRequestIsRefusedAtItsDeadline() {
    cut_off_ = base::NodeId(1);
    Begin(2, 1);
    now_ += seconds(9);
    Collect(base::NodeId(2), agents_.at(base::NodeId(2)).OnTimer(now_));
    CPPUNIT_ASSERT(last_refusal_.reason == RefusalReason::kKeyOwnerUnsettled);
    CPPUNIT_ASSERT(last_refusal_.outcome == RequestOutcome::kNotRun);
  }

 private:
  struct InFlight {
    base::NodeId sender;
    OutgoingMessage outgoing;
  };

  void AddAgent(std::uint64_t node) {
    agents_.emplace(base::NodeId(node),
                    AtMostOnce(base::NodeId(node), base::Incarnation(1), AtMostOnceLimits(), now_,
                               now_.time_since_epoch()));
  }

  void SetOwner(std::uint64_t owner, const std::vector<std::uint64_t>& nodes) {
    ++sequence_;
    auto table = std::make_shared<routing::BucketTable>();
    table->version = {1, 0, sequence_};
    for (const std::uint64_t node : nodes) {
      table->agents.push_back({base::NodeId(node), base::Incarnation(1), {}, ""});
    }
    table->buckets.assign(kBuckets, routing::Bucket{table->version, base::NodeId(owner), {}});
    table_ = table;
    Confirm();
  }

  void Confirm() {
    for (auto& [node, agent] : agents_) {
      if (node != cut_off_) {
        Collect(node, agent.SetTable(table_, now_, now_));
      }
    }
    Deliver();
  }

  void Begin(std::uint64_t node, std::uint64_t id, std::uint64_t fingerprint = 1) {
    const KeyedRequest request{RequestId(id), kKey, fingerprint, now_.time_since_epoch() - key_age_,
                               now_ + seconds(5)};
    Collect(base::NodeId(node), agents_.at(base::NodeId(node)).Begin(request, now_));
    Deliver();
  }

  void Finish(std::uint64_t node, std::uint64_t id, ExecutionState state) {
    Collect(base::NodeId(node),
            agents_.at(base::NodeId(node))
                .Finish(RequestId(id), state, {201, "text/plain", "done"}, now_));
    Deliver();
  }

  void Collect(base::NodeId node, AtMostOnceActions actions) {
    runs_ += static_cast<int>(actions.run.size());
    for (OutgoingMessage& outgoing : actions.send) {
      in_flight_.push_back({node, std::move(outgoing)});
    }
    for (const RefusedRequest& refused : actions.refused) {
      last_refusal_ = refused.refusal;
    }
    for (const RepeatedRequest& repeated : actions.repeated) {
      repeated_status_ = repeated.answer.status;
    }
  }

  void Deliver() {
    while (!in_flight_.empty()) {
      const InFlight message = std::move(in_flight_.front());
      in_flight_.pop_front();
      const auto receiver = agents_.find(message.outgoing.destination);
      const bool is_cut_off =
          message.sender == cut_off_ || message.outgoing.destination == cut_off_;
      if (receiver != agents_.end() && !is_cut_off) {
        Collect(receiver->first,
                receiver->second.OnMessage(message.sender, message.outgoing.message, now_));
      }
    }
  }

  base::TimePoint now_{seconds(1000)};
  std::map<base::NodeId, AtMostOnce> agents_;
  std::shared_ptr<const routing::BucketTable> table_;
  std::deque<InFlight> in_flight_;
  base::Duration key_age_ = seconds(1);
  base::NodeId cut_off_;
  std::uint32_t sequence_ = 0;
  int runs_ = 0;
  int repeated_status_ = 0;
  Refusal last_refusal_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);

}  // namespace
}  // namespace gaugevalve::requests
