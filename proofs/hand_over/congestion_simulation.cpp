#include "congestion_simulation.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "gaugevalve/requests/hand_over_codec.h"

namespace gaugevalve::proofs {
namespace {

using std::chrono::seconds;

constexpr base::NodeId kOrigin(1);
constexpr base::NodeId kExecutor(2);
constexpr base::Incarnation kIncarnation(7);
constexpr std::size_t kQueueLength = 32;  // as the transport's queue to one destination
constexpr int kStepsPerTimer = 2;
constexpr base::Duration kMaxRunTime = std::chrono::minutes(10);

requests::HandOverLimits LimitsWith(const requests::HandOverMechanisms& mechanisms) {
  requests::HandOverLimits limits;
  limits.mechanisms = mechanisms;
  return limits;
}

requests::LocalLoad FreeLoad(std::size_t slots) {
  return {static_cast<std::uint32_t>(slots), 0, true};
}

}  // namespace

CongestionSimulation::CongestionSimulation(const CongestionScenario& scenario,
                                           const requests::HandOverMechanisms& mechanisms)
    : scenario_(scenario),
      now_(seconds(100)),
      origin_(kOrigin, kIncarnation, LimitsWith(mechanisms), random_),
      executor_(kExecutor, kIncarnation, LimitsWith(mechanisms), random_),
      to_origin_{kExecutor, scenario.messages_to_origin, {}, {}},
      to_executor_{kOrigin, scenario.messages_to_executor, {}, {}} {
  auto table = std::make_shared<routing::BucketTable>();
  table->agents = {{kOrigin, kIncarnation, {}, ""}, {kExecutor, kIncarnation, {}, ""}};
  Apply(kOrigin, origin_.SetTable(table, now_));
  Apply(kExecutor, executor_.SetTable(table, now_));
  Apply(kExecutor, executor_.OnTimer(FreeLoad(scenario.hand_overs), now_));
  Pass(to_origin_);
  OfferAll();
}

void CongestionSimulation::OfferAll() {
  for (std::size_t number = 1; number <= scenario_.hand_overs; ++number) {
    requests::HandOverRequest request;
    request.id = requests::RequestId(number);
    request.head.set_method("POST");
    request.head.set_scheme("https");
    request.head.set_authority("proof");
    request.head.set_path("/" + std::to_string(number));
    request.deadline = now_ + kMaxRunTime;
    requests::HandOverActions actions;
    origin_.Origin().Offer(request, requests::HandOverNeed::kCannotRunHere, now_, actions);
    Apply(kOrigin, actions);
    bodies_[request.id] = {};
  }
}

CongestionResult CongestionSimulation::Run() {
  const base::TimePoint end = now_ + kMaxRunTime;
  for (int step = 1; result_.answered + result_.lost < scenario_.hand_overs && now_ < end; ++step) {
    now_ += kCongestionStep;
    Pass(to_origin_);
    Pass(to_executor_);
    for (auto& [id, body] : bodies_) {
      WriteBody(id, body);
    }
    for (Answer& answer : answers_) {
      WriteAnswer(answer);
    }
    if (step % kStepsPerTimer == 0) {
      Apply(kOrigin, origin_.OnTimer({}, now_));
      Apply(kExecutor, executor_.OnTimer(FreeLoad(scenario_.hand_overs), now_));
    }
  }
  return result_;
}

void CongestionSimulation::WriteBody(requests::RequestId id, Body& body) {
  requests::HandOverActions actions;
  const std::string part(requests::kMaxChunkBytes, 'b');
  while (body.has_room && !body.has_ended) {
    if (body.written == scenario_.body_frames) {
      body.has_ended = true;
      origin_.Origin().FinishBody(id, now_, actions);
    } else {
      ++body.written;
      body.has_room = origin_.Origin().WriteBody(id, part, now_, actions);
    }
  }
  Apply(kOrigin, actions);
}

void CongestionSimulation::WriteAnswer(Answer& answer) {
  requests::HandOverActions actions;
  requests::HandOverExecutor& executor = executor_.Executor();
  if (!answer.has_begun && !answer.has_ended) {
    answer.has_begun = true;
    requests::proto::HandOverAnswerHead head;
    constexpr std::uint32_t kOk = 200;
    head.set_status(kOk);
    executor.BeginAnswer(answer.run, head, now_, actions);
  }
  const std::string part(requests::kMaxChunkBytes, 'a');
  while (answer.has_room && !answer.has_ended) {
    if (answer.written == scenario_.answer_frames) {
      answer.has_ended = true;
      executor.EndAnswer(answer.run, now_, actions);
    } else {
      ++answer.written;
      answer.has_room = executor.WriteAnswer(answer.run, part, now_, actions);
    }
  }
  Apply(kExecutor, actions);
}

// Returns the queue that the next message leaves.
CongestionSimulation::Queue& CongestionSimulation::NextQueue(Link& link) {
  link.is_frames_turn = !link.is_frames_turn;
  const bool takes_frame = (link.is_frames_turn || link.control.empty()) && !link.frames.empty();
  return takes_frame ? link.frames : link.control;
}

void CongestionSimulation::Pass(Link& link) {
  for (std::size_t left = link.messages_per_step; left > 0; --left) {
    Queue& queue = NextQueue(link);
    if (queue.empty()) {
      return;
    }
    const requests::proto::HandOverMessage message = std::move(queue.front());
    queue.pop_front();
    result_.passed_frames += requests::IsFrame(message) ? 1 : 0;
    const bool is_to_origin = link.sender == kExecutor;
    requests::HandOver& receiver = is_to_origin ? origin_ : executor_;
    Apply(is_to_origin ? kOrigin : kExecutor, receiver.OnMessage(link.sender, message, now_));
  }
}

void CongestionSimulation::Apply(base::NodeId node, const requests::HandOverActions& actions) {
  Link& link = node == kOrigin ? to_executor_ : to_origin_;
  for (const requests::OutgoingMessage& outgoing : actions.send) {
    const requests::proto::HandOverMessage& message = outgoing.message.hand_over();
    const bool is_in_frames = scenario_.has_frame_queue && requests::IsFrame(message);
    Queue& queue = is_in_frames ? link.frames : link.control;
    if (queue.size() < kQueueLength) {
      queue.push_back(message);
    }
  }
  for (const requests::OriginEvent& event : actions.origin) {
    OnOriginEvent(event);
  }
  for (const requests::ExecutorEvent& event : actions.executor) {
    OnExecutorEvent(event);
  }
}

void CongestionSimulation::OnOriginEvent(const requests::OriginEvent& event) {
  if (std::holds_alternative<requests::BodyWritable>(event.what)) {
    bodies_[event.request].has_room = true;
    return;
  }
  const auto [entry, is_first] = progress_at_.try_emplace(event.request, now_);
  if (!is_first) {
    result_.longest_pause = std::max(result_.longest_pause, now_ - entry->second);
    entry->second = now_;
  }
  result_.answered += std::holds_alternative<requests::AnswerEnded>(event.what) ? 1 : 0;
  result_.lost += std::holds_alternative<requests::HandOverRefused>(event.what) ? 1 : 0;
  result_.lost += std::holds_alternative<requests::AnswerAborted>(event.what) ? 1 : 0;
}

void CongestionSimulation::OnExecutorEvent(const requests::ExecutorEvent& event) {
  if (std::holds_alternative<requests::RunOffered>(event.what)) {
    requests::HandOverActions actions;
    executor_.Executor().Accept(event.run, actions);
    Apply(kExecutor, actions);
    answers_.push_back({.run = event.run});
    return;
  }
  const auto found = std::find_if(answers_.begin(), answers_.end(),
                                  [&](const Answer& answer) { return answer.run == event.run; });
  if (found == answers_.end()) {
    return;
  }
  found->has_room = found->has_room || std::holds_alternative<requests::AnswerWritable>(event.what);
  found->has_ended = found->has_ended || std::holds_alternative<requests::RunCancelled>(event.what);
}

}  // namespace gaugevalve::proofs
