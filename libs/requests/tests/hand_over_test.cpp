// Hand-over between two agents over a link that the test controls.
#include "gaugevalve/requests/hand_over.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/requests/hand_over_codec.h"

namespace gaugevalve::requests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::NodeId kOrigin(1);
constexpr base::NodeId kExecutor(2);
constexpr base::Incarnation kIncarnation(7);
constexpr RequestId kRequest(1);

std::shared_ptr<const routing::BucketTable> TableOf(base::Incarnation listed_incarnation) {
  auto table = std::make_shared<routing::BucketTable>();
  table->agents = {{kOrigin, kIncarnation, {}, ""}, {kExecutor, listed_incarnation, {}, ""}};
  return table;
}

HandOverRequest MakeRequest(base::TimePoint deadline) {
  HandOverRequest request;
  request.id = kRequest;
  request.head.set_method("POST");
  request.head.set_scheme("https");
  request.head.set_authority("a");
  request.head.set_path("/");
  request.deadline = deadline;
  return request;
}

class HandOverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HandOverTest);
  CPPUNIT_TEST(ARequestRunsAtThePeerAndItsAnswerComesBack);
  CPPUNIT_TEST(OnlyAPeerThatAnnouncedCapacityIsChosen);
  CPPUNIT_TEST(ARefusalLeavesTheRequestNotRun);
  CPPUNIT_TEST(ANewIncarnationOfThePeerLeavesTheOutcomeUnknown);
  CPPUNIT_TEST(ASilentPeerLeavesTheOutcomeUnknown);
  CPPUNIT_TEST(AnAgentThatStoodStillTakesNoPeerForSilent);
  CPPUNIT_TEST(APeerThatStaysSilentAfterAPauseIsLost);
  CPPUNIT_TEST(ALateRepeatOfAnEndedOfferRunsNothing);
  CPPUNIT_TEST(AnOfferCancelledBeforeItArrivedRunsNothing);
  CPPUNIT_TEST(TheBetterOfTwoPeersIsChosen);
  CPPUNIT_TEST(OnlyDrainsAndLongWaitsCauseAHandOver);
  CPPUNIT_TEST(MalformedMessagesAreRefused);
  CPPUNIT_TEST_SUITE_END();

  base::RandomSource random_{1};
  base::TimePoint now_{seconds(100)};
  std::unique_ptr<HandOver> origin_;
  std::unique_ptr<HandOver> executor_;
  std::vector<OriginEvent> at_origin_;
  std::vector<ExecutorEvent> at_executor_;
  std::vector<proto::HandOverMessage> offers_;  // in the order in which they were sent

  // Immediately delivers the messages of these actions and all messages that follow from them.
  void Perform(base::NodeId sender, const HandOverActions& actions) {
    at_origin_.insert(at_origin_.end(), actions.origin.begin(), actions.origin.end());
    at_executor_.insert(at_executor_.end(), actions.executor.begin(), actions.executor.end());
    for (const OutgoingMessage& outgoing : actions.send) {
      const proto::HandOverMessage& message = outgoing.message.hand_over();
      if (message.has_offer()) {
        offers_.push_back(message);
      }
      HandOver& receiver = outgoing.destination == kOrigin ? *origin_ : *executor_;
      Perform(outgoing.destination, receiver.OnMessage(sender, message, now_));
    }
  }

  bool Offer() {
    HandOverActions actions;
    const bool is_taken = origin_->Origin().Offer(MakeRequest(now_ + seconds(10)),
                                                  HandOverNeed::kCannotRunHere, now_, actions);
    Perform(kOrigin, actions);
    return is_taken;
  }

  const Refusal& RefusalAtOrigin() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, at_origin_.size());
    return std::get<HandOverRefused>(at_origin_[0].what).refusal;
  }

 public:
  void setUp() override {  // NOLINT(readability-identifier-naming)
    at_origin_.clear();
    at_executor_.clear();
    offers_.clear();
    origin_ = std::make_unique<HandOver>(kOrigin, kIncarnation, HandOverLimits(), random_);
    executor_ = std::make_unique<HandOver>(kExecutor, kIncarnation, HandOverLimits(), random_);
    Perform(kOrigin, origin_->SetTable(TableOf(kIncarnation), now_));
    Perform(kExecutor, executor_->SetTable(TableOf(kIncarnation), now_));
    Perform(kExecutor, executor_->OnTimer({1, 0, true}, now_));
  }

  void ARequestRunsAtThePeerAndItsAnswerComesBack() {
    CPPUNIT_ASSERT(Offer());
    const HandOverId run = at_executor_.at(0).run;
    HandOverActions accepted;
    executor_->Executor().Accept(run, accepted);
    Perform(kExecutor, accepted);
    HandOverActions body;
    origin_->Origin().WriteBody(kRequest, std::string(kMaxChunkBytes + 1, 'b'), now_, body);
    origin_->Origin().FinishBody(kRequest, now_, body);
    Perform(kOrigin, body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, at_executor_.size());  // offer, two chunks, end
    CPPUNIT_ASSERT(std::holds_alternative<BodyEnded>(at_executor_[3].what));
    HandOverActions answer;
    proto::HandOverAnswerHead head;
    head.set_status(201);
    executor_->Executor().BeginAnswer(run, head, now_, answer);
    executor_->Executor().WriteAnswer(run, "done", now_, answer);
    executor_->Executor().EndAnswer(run, now_, answer);
    Perform(kExecutor, answer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, at_origin_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("done"),
                         std::get<AnswerBytesReceived>(at_origin_[1].what).bytes);
    CPPUNIT_ASSERT(std::holds_alternative<AnswerEnded>(at_origin_[2].what));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, executor_->Executor().Size());
  }

  void OnlyAPeerThatAnnouncedCapacityIsChosen() {
    CPPUNIT_ASSERT(Offer());
    HandOverActions actions;
    HandOverRequest second = MakeRequest(now_ + seconds(10));
    second.id = RequestId(2);
    CPPUNIT_ASSERT(!origin_->Origin().Offer(second, HandOverNeed::kCannotRunHere, now_, actions));
    Perform(kExecutor, executor_->OnTimer({1, 0, false}, now_));
    CPPUNIT_ASSERT(!origin_->Origin().Offer(second, HandOverNeed::kCannotRunHere, now_, actions));
    Perform(kExecutor, executor_->OnTimer({1, 0, true}, now_));
    now_ += HandOverLimits().max_load_age;
    second.deadline = now_ + seconds(10);
    CPPUNIT_ASSERT(!origin_->Origin().Offer(second, HandOverNeed::kCannotRunHere, now_, actions));
    CPPUNIT_ASSERT(actions.send.empty());
  }

  void ARefusalLeavesTheRequestNotRun() {
    CPPUNIT_ASSERT(Offer());
    HandOverActions actions;
    executor_->Executor().Refuse(at_executor_.at(0).run,
                                 {RequestOutcome::kNotRun, RefusalReason::kBrownOut, seconds(3)},
                                 now_, actions);
    Perform(kExecutor, actions);
    CPPUNIT_ASSERT_EQUAL(RequestOutcome::kNotRun, RefusalAtOrigin().outcome);
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kBrownOut, RefusalAtOrigin().reason);
    CPPUNIT_ASSERT(RefusalAtOrigin().retry_after == seconds(3));
  }

  void ANewIncarnationOfThePeerLeavesTheOutcomeUnknown() {
    CPPUNIT_ASSERT(Offer());
    Perform(kOrigin, origin_->SetTable(TableOf(base::Incarnation(8)), now_));
    CPPUNIT_ASSERT_EQUAL(RequestOutcome::kOutcomeUnknown, RefusalAtOrigin().outcome);
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kExecutorLost, RefusalAtOrigin().reason);
  }

  void ASilentPeerLeavesTheOutcomeUnknown() {
    CPPUNIT_ASSERT(Offer());
    now_ += HandOverLimits().peer_timeout;
    const HandOverActions actions = origin_->OnTimer({}, now_);
    Perform(kOrigin, actions);
    CPPUNIT_ASSERT_EQUAL(RequestOutcome::kOutcomeUnknown, RefusalAtOrigin().outcome);
  }

  // Guards against answers "outcome unknown" from an agent whose loop stood still for longer than
  // the peer time-out while the peer's messages waited.
  void AnAgentThatStoodStillTakesNoPeerForSilent() {
    CPPUNIT_ASSERT(Offer());
    Perform(kOrigin, origin_->OnTimer({}, now_));
    Perform(kExecutor, executor_->OnTimer({}, now_));
    now_ += HandOverLimits().peer_timeout + seconds(1);
    const HandOverActions woken = origin_->OnTimer({}, now_);
    CPPUNIT_ASSERT(woken.origin.empty());
    CPPUNIT_ASSERT(executor_->OnTimer({}, now_).executor.empty());
  }

  void APeerThatStaysSilentAfterAPauseIsLost() {
    CPPUNIT_ASSERT(Offer());
    Perform(kOrigin, origin_->OnTimer({}, now_));
    now_ += seconds(5);
    origin_->OnTimer({}, now_);
    const base::TimePoint lost_at = now_ + HandOverLimits().peer_timeout;
    HandOverActions actions;
    while (now_ < lost_at) {
      CPPUNIT_ASSERT(actions.origin.empty());
      now_ += milliseconds(20);
      actions = origin_->OnTimer({}, now_);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.executor_losses.size());
    CPPUNIT_ASSERT(actions.executor_losses[0].cause == ExecutorLossCause::kSilent);
  }

  void ALateRepeatOfAnEndedOfferRunsNothing() {
    CPPUNIT_ASSERT(Offer());
    HandOverActions actions;
    origin_->Origin().Cancel(kRequest, actions);
    Perform(kOrigin, actions);
    CPPUNIT_ASSERT(std::holds_alternative<RunCancelled>(at_executor_.at(1).what));
    Perform(kExecutor, executor_->OnMessage(kOrigin, offers_.at(0), now_));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, at_executor_.size());
  }

  void AnOfferCancelledBeforeItArrivedRunsNothing() {
    HandOverActions offer;
    CPPUNIT_ASSERT(origin_->Origin().Offer(MakeRequest(now_ + seconds(10)),
                                           HandOverNeed::kCannotRunHere, now_, offer));
    HandOverActions close;
    origin_->Origin().Cancel(kRequest, close);
    Perform(kOrigin, close);
    Perform(kOrigin, offer);
    CPPUNIT_ASSERT(at_executor_.empty());
  }

  void TheBetterOfTwoPeersIsChosen() {
    PeerLoads loads(kOrigin, HandOverLimits());
    routing::BucketTable table;
    table.agents = {{base::NodeId(2), kIncarnation, {}, ""},
                    {base::NodeId(3), kIncarnation, {}, ""}};
    loads.SetTable(table);
    for (const std::uint64_t node : {2, 3}) {
      proto::HandOverLoad load;
      load.set_node(node);
      load.set_incarnation(kIncarnation.value());
      load.set_free_slots(node == 2 ? 9 : 3);
      load.set_takes_requests(true);
      loads.Update(load, now_);
    }
    int chosen_busier = 0;
    constexpr int kChoices = 400;
    for (int choice = 0; choice < kChoices; ++choice) {
      const auto peer = loads.Choose(HandOverNeed::kShorterWait, {}, random_, now_);
      chosen_busier += peer->node == base::NodeId(3) ? 1 : 0;
    }
    // The busier peer is chosen only if both draws select it: in a quarter of the cases.
    CPPUNIT_ASSERT(chosen_busier > kChoices / 8 && chosen_busier < kChoices * 3 / 8);
  }

  void OnlyDrainsAndLongWaitsCauseAHandOver() {
    const HandOverLimits limits;
    LocalSituation situation;
    CPPUNIT_ASSERT(!FindHandOverNeed(situation, limits));
    situation.estimated_wait = limits.max_local_wait + milliseconds(1);
    CPPUNIT_ASSERT(FindHandOverNeed(situation, limits) == HandOverNeed::kShorterWait);
    situation.is_draining = true;
    CPPUNIT_ASSERT(FindHandOverNeed(situation, limits) == HandOverNeed::kCannotRunHere);
    situation.was_handed_over = true;
    CPPUNIT_ASSERT(!FindHandOverNeed(situation, limits));
  }

  void MalformedMessagesAreRefused() {
    CPPUNIT_ASSERT(Offer());
    proto::HandOverMessage message = offers_.at(0);
    CPPUNIT_ASSERT(IsWellFormed(message));
    message.mutable_offer()->set_hops(2);
    CPPUNIT_ASSERT(!IsWellFormed(message));
    message = offers_.at(0);
    message.mutable_offer()->mutable_head()->set_path("/ HTTP/1.1\r\nx: y");
    CPPUNIT_ASSERT(!IsWellFormed(message));
    message = offers_.at(0);
    message.mutable_id()->set_executor(message.id().origin());
    CPPUNIT_ASSERT(!IsWellFormed(message));
    message.mutable_request_frame()->set_bytes(std::string(kMaxChunkBytes + 1, 'x'));
    CPPUNIT_ASSERT(!IsWellFormed(message));
    CPPUNIT_ASSERT(!DecodePeerMessage("\xff"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HandOverTest);

}  // namespace
}  // namespace gaugevalve::requests
