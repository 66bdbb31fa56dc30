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
constexpr base::Duration kTimeLeft = seconds(10);  // of a request that is offered

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
  CPPUNIT_TEST(AnExecutorWhoseMessagesAreDroppedIsNotLost);
  CPPUNIT_TEST(AnExecutorThatMembershipListsIsNotLost);
  CPPUNIT_TEST(AnExecutorThatMembershipDeclaredDeadIsLost);
  CPPUNIT_TEST(AnExecutorWhoseDataTaskHangsIsGivenUpAtTheDeadline);
  CPPUNIT_TEST(AnAnswerWhoseExecutorsDataTaskHangsIsAborted);
  CPPUNIT_TEST(ALongDeadlineDoesNotWaitForADataTaskThatHangs);
  CPPUNIT_TEST(ANewProcessInMembershipEndsWhatThePreviousOneRan);
  CPPUNIT_TEST(ARunWhoseOriginIsSilentAndLivesGoesOn);
  CPPUNIT_TEST(ARunWhoseOriginsDataTaskHangsEnds);
  CPPUNIT_TEST(ASafeRequestDoesNotWaitForASilentExecutor);
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

  // Lets both agents run without any message between them, until `duration` has passed or the
  // origin has an event. Every 200 ms `during` is called.
  template <class During>
  void RunSilently(base::Duration duration, During during) {
    const base::TimePoint end = now_ + duration;
    int step = 0;
    while (now_ < end && at_origin_.empty()) {
      now_ += milliseconds(20);
      if (++step % 10 == 0) {
        during();
      }
      Collect(origin_->OnTimer({}, now_));
      Collect(executor_->OnTimer({}, now_));
    }
  }

  void RunSilently(base::Duration duration) {
    RunSilently(duration, [] {});
  }

  // Keeps the events of these actions; their messages are lost.
  void Collect(HandOverActions actions) {
    actions.send.clear();
    Perform(kOrigin, actions);
  }

  void ListAsLive(const std::vector<AgentIncarnation>& agents) {
    const auto live = std::make_shared<const LiveAgents>(agents);
    Collect(origin_->SetLiveAgents(live, now_));
    Collect(executor_->SetLiveAgents(live, now_));
  }

  void Accept() {
    HandOverActions accepted;
    executor_->Executor().Accept(at_executor_.at(0).run, accepted);
    Perform(kExecutor, accepted);
  }

  void BeginAnswer() {
    HandOverActions answer;
    proto::HandOverAnswerHead head;
    head.set_status(200);
    executor_->Executor().BeginAnswer(at_executor_.at(0).run, head, now_, answer);
    Perform(kExecutor, answer);
  }

  void Answer() {
    BeginAnswer();
    HandOverActions end;
    executor_->Executor().EndAnswer(at_executor_.at(0).run, now_, end);
    Perform(kExecutor, end);
  }

  bool Offer() {
    HandOverActions actions;
    const bool is_taken = origin_->Origin().Offer(MakeRequest(now_ + kTimeLeft),
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

  // Guards against reservations that run and whose callers are told "outcome unknown"
  // (executor-lost): the executor's control task is heard, its heartbeats were dropped.
  void AnExecutorWhoseMessagesAreDroppedIsNotLost() {
    CPPUNIT_ASSERT(Offer());
    Accept();
    const auto be_heard = [&] {
      const base::TimePoint heard_at = now_ - seconds(1);
      origin_->NoteContact(
          {{kExecutor, kIncarnation}, routing::ContactSource::kMembership, heard_at});
      executor_->NoteContact(
          {{kOrigin, kIncarnation}, routing::ContactSource::kMembership, heard_at});
    };
    RunSilently(HandOverLimits().peer_timeout + seconds(2), be_heard);
    CPPUNIT_ASSERT(at_origin_.empty());
    Answer();
    CPPUNIT_ASSERT(std::holds_alternative<AnswerEnded>(at_origin_.at(1).what));
  }

  void AnExecutorThatMembershipListsIsNotLost() {
    ListAsLive({{kOrigin, kIncarnation}, {kExecutor, kIncarnation}});
    CPPUNIT_ASSERT(Offer());
    Accept();
    RunSilently(HandOverLimits().peer_timeout + seconds(2));
    CPPUNIT_ASSERT(at_origin_.empty());
    Answer();
    CPPUNIT_ASSERT(std::holds_alternative<AnswerEnded>(at_origin_.at(1).what));
  }

  void AnExecutorThatMembershipDeclaredDeadIsLost() {
    ListAsLive({{kOrigin, kIncarnation}, {kExecutor, kIncarnation}});
    CPPUNIT_ASSERT(Offer());
    Accept();
    const base::TimePoint heard_at = now_;
    RunSilently(seconds(2));
    ListAsLive({{kOrigin, kIncarnation}});
    RunSilently(seconds(20));
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kExecutorLost, RefusalAtOrigin().reason);
    CPPUNIT_ASSERT(now_ == heard_at + HandOverLimits().peer_timeout);
  }

  void AnExecutorWhoseDataTaskHangsIsGivenUpAtTheDeadline() {
    ListAsLive({{kOrigin, kIncarnation}, {kExecutor, kIncarnation}});
    const base::TimePoint deadline = now_ + kTimeLeft;
    CPPUNIT_ASSERT(Offer());
    Accept();
    RunSilently(seconds(60));
    CPPUNIT_ASSERT_EQUAL(RequestOutcome::kOutcomeUnknown, RefusalAtOrigin().outcome);
    CPPUNIT_ASSERT(now_ == deadline);
  }

  void AnAnswerWhoseExecutorsDataTaskHangsIsAborted() {
    ListAsLive({{kOrigin, kIncarnation}, {kExecutor, kIncarnation}});
    CPPUNIT_ASSERT(Offer());
    Accept();
    BeginAnswer();
    at_origin_.clear();  // the head
    const base::TimePoint heard_at = now_;
    RunSilently(seconds(60));
    CPPUNIT_ASSERT(std::holds_alternative<AnswerAborted>(at_origin_.at(0).what));
    CPPUNIT_ASSERT(now_ == heard_at + HandOverLimits().live_peer_timeout);
  }

  void ALongDeadlineDoesNotWaitForADataTaskThatHangs() {
    ListAsLive({{kOrigin, kIncarnation}, {kExecutor, kIncarnation}});
    HandOverActions offer;
    CPPUNIT_ASSERT(origin_->Origin().Offer(MakeRequest(now_ + std::chrono::hours(1)),
                                           HandOverNeed::kCannotRunHere, now_, offer));
    Perform(kOrigin, offer);
    const base::TimePoint heard_at = now_;
    RunSilently(seconds(60));
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kExecutorLost, RefusalAtOrigin().reason);
    CPPUNIT_ASSERT(now_ == heard_at + HandOverLimits().live_peer_timeout);
  }

  void ANewProcessInMembershipEndsWhatThePreviousOneRan() {
    ListAsLive({{kOrigin, kIncarnation}, {kExecutor, kIncarnation}});
    CPPUNIT_ASSERT(Offer());
    ListAsLive({{kOrigin, kIncarnation}, {kExecutor, base::Incarnation(8)}});
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kExecutorLost, RefusalAtOrigin().reason);
  }

  void ARunWhoseOriginIsSilentAndLivesGoesOn() {
    ListAsLive({{kOrigin, kIncarnation}, {kExecutor, kIncarnation}});
    CPPUNIT_ASSERT(Offer());
    Accept();
    RunSilently(HandOverLimits().peer_timeout + seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, at_executor_.size());  // the offer; no RunCancelled
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, executor_->Executor().Size());
  }

  void ARunWhoseOriginsDataTaskHangsEnds() {
    ListAsLive({{kOrigin, kIncarnation}, {kExecutor, kIncarnation}});
    CPPUNIT_ASSERT(Offer());
    Accept();
    BeginAnswer();
    const base::TimePoint end = now_ + HandOverLimits().live_peer_timeout;
    while (now_ < end) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, executor_->Executor().Size());
      now_ += milliseconds(20);
      Collect(executor_->OnTimer({}, now_));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, executor_->Executor().Size());
    CPPUNIT_ASSERT(std::holds_alternative<RunCancelled>(at_executor_.back().what));
  }

  // A safe request is offered to another peer once its executor is silent, though that may live.
  void ASafeRequestDoesNotWaitForASilentExecutor() {
    constexpr base::NodeId kOther(3);
    HandOverLimits limits;
    limits.retry_share = 1;
    origin_ = std::make_unique<HandOver>(kOrigin, kIncarnation, limits, random_);
    auto table = std::make_shared<routing::BucketTable>(*TableOf(kIncarnation));
    table->agents.push_back({kOther, kIncarnation, {}, ""});
    Collect(origin_->SetTable(table, now_));
    Perform(kExecutor, executor_->OnTimer({1, 0, true}, now_ += seconds(1)));
    ListAsLive({{kOrigin, kIncarnation}, {kExecutor, kIncarnation}, {kOther, kIncarnation}});
    HandOverActions actions;
    HandOverRequest request = MakeRequest(now_ + kTimeLeft);
    request.is_safe = true;
    CPPUNIT_ASSERT(origin_->Origin().Offer(request, HandOverNeed::kCannotRunHere, now_, actions));
    Perform(kOrigin, actions);
    RunSilently(seconds(2));
    proto::HandOverMessage announcement;
    announcement.mutable_load()->set_node(kOther.value());
    announcement.mutable_load()->set_incarnation(kIncarnation.value());
    announcement.mutable_load()->set_free_slots(1);
    announcement.mutable_load()->set_takes_requests(true);
    Collect(origin_->OnMessage(kOther, announcement, now_));
    std::vector<ExecutorLoss> losses;
    while (losses.empty() && now_ < request.deadline) {
      now_ += milliseconds(20);
      HandOverActions ticked = origin_->OnTimer({}, now_);
      losses = ticked.executor_losses;
      Collect(ticked);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, losses.size());
    CPPUNIT_ASSERT(losses[0].cause == ExecutorLossCause::kSilent);
    CPPUNIT_ASSERT(losses[0].is_listed_as_live);
    CPPUNIT_ASSERT(losses[0].silence == HandOverLimits().peer_timeout);
    CPPUNIT_ASSERT(at_origin_.empty());  // it runs at the other peer
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, origin_->Loads().InFlight(kOther));
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
