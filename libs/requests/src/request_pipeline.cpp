#include "gaugevalve/requests/request_pipeline.h"

#include <utility>

namespace gaugevalve::requests {
namespace {

template <class Element>
void Append(std::vector<Element>& to, std::vector<Element> from) {
  to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

Refusal RefusalOf(EndpointResult end) {
  if (end == EndpointResult::kNotSent || end == EndpointResult::kBodyNotReplayable) {
    return {RequestOutcome::kNotRun, RefusalReason::kEndpointDown, std::chrono::seconds(1)};
  }
  return {RequestOutcome::kOutcomeUnknown, RefusalReason::kEndpointFailed, base::Duration(0)};
}

ExecutionState StateOf(EndpointResult end) {
  switch (end) {
    case EndpointResult::kAnswered:
      return ExecutionState::kAnswered;
    case EndpointResult::kRefused:
    case EndpointResult::kNotSent:
    case EndpointResult::kBodyNotReplayable:
      return ExecutionState::kNotRun;
    case EndpointResult::kFailed:
      return ExecutionState::kUnknown;
  }
  return ExecutionState::kUnknown;
}

}  // namespace

RequestPipeline::RequestPipeline(const PipelineSettings& settings, base::RandomSource& random,
                                 base::TimePoint now, base::Duration wall_time)
    : default_timeout_(settings.default_timeout),
      admission_(settings.admission, random),
      at_most_once_(settings.self, settings.incarnation, settings.at_most_once, now, wall_time),
      retry_budget_(settings.retry_share, settings.retry_burst) {}

PipelineActions RequestPipeline::AddRequest(const IncomingRequest& arrived, base::TimePoint now) {
  PipelineActions actions;
  if (arrived.is_stream) {
    OpenStream(arrived, actions);
    return actions;
  }
  retry_budget_.OnFirstTry();
  Request request;
  request.admission.id = arrived.id;
  request.admission.deadline = now + arrived.timeout.value_or(default_timeout_);
  request.admission.urgency = arrived.urgency;
  request.is_keyed = arrived.key.has_value();
  Request& stored = requests_[arrived.id] = request;
  if (!arrived.key) {
    Admit(stored, now, actions);
    return actions;
  }
  stored.stage = Stage::kAwaitingPermit;
  KeyedRequest keyed;
  keyed.id = arrived.id;
  keyed.key = arrived.key->digest;
  keyed.fingerprint = arrived.key->fingerprint;
  keyed.key_created_at = arrived.key->created_at;
  keyed.deadline = request.admission.deadline;
  Take(at_most_once_.Begin(keyed, now), now, actions);
  return actions;
}

void RequestPipeline::OpenStream(const IncomingRequest& arrived, PipelineActions& actions) {
  const std::optional<Refusal> refusal = admission_.OpenStream(arrived.id);
  if (refusal) {
    actions.refused.push_back({arrived.id, *refusal});
    return;
  }
  Request request;
  request.admission.id = arrived.id;
  request.stage = Stage::kStreaming;
  requests_[arrived.id] = request;
  actions.start.push_back(arrived.id);
}

void RequestPipeline::Admit(Request& request, base::TimePoint now, PipelineActions& actions) {
  request.stage = Stage::kWaiting;
  Take(admission_.Submit(request.admission, now), now, actions);
}

void RequestPipeline::Take(const AdmissionActions& admitted, base::TimePoint now,
                           PipelineActions& actions) {
  for (const RequestId id : admitted.start) {
    requests_.at(id).stage = Stage::kRunning;
    actions.start.push_back(id);
  }
  for (const RefusedRequest& refused : admitted.refused) {
    RefuseHere(refused, now, actions);
  }
}

// A request that admission refused has not reached the endpoint: its key may be used again.
void RequestPipeline::RefuseHere(const RefusedRequest& refused, base::TimePoint now,
                                 PipelineActions& actions) {
  const bool is_keyed = requests_.at(refused.id).is_keyed;
  requests_.erase(refused.id);
  actions.refused.push_back(refused);
  if (is_keyed) {
    EndKeyed(refused.id, ExecutionState::kNotRun, {}, now, actions);
  }
}

void RequestPipeline::Take(AtMostOnceActions keyed, base::TimePoint now, PipelineActions& actions) {
  Append(actions.send, std::move(keyed.send));
  for (const RefusedRequest& refused : keyed.refused) {
    requests_.erase(refused.id);
    actions.refused.push_back(refused);
  }
  for (RepeatedRequest& repeated : keyed.repeated) {
    requests_.erase(repeated.id);
    actions.repeated.push_back(std::move(repeated));
  }
  for (const RequestId id : keyed.run) {
    Admit(requests_.at(id), now, actions);
  }
}

void RequestPipeline::MarkAnswerBegun(RequestId id) {
  const auto found = requests_.find(id);
  if (found != requests_.end()) {
    found->second.has_answer_begun = true;
  }
}

PipelineActions RequestPipeline::MarkAsStream(RequestId id, base::TimePoint now) {
  PipelineActions actions;
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.stage != Stage::kRunning) {
    return actions;
  }
  const Request request = found->second;
  found->second.stage = Stage::kStreaming;
  admission_.AddStream(id);
  LeaveSlot(request, false, now, actions);
  return actions;
}

PipelineActions RequestPipeline::FinishAtEndpoint(RequestId id, EndpointResult end,
                                                  const StoredAnswer& answer, base::TimePoint now) {
  PipelineActions actions;
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return actions;
  }
  Request request = found->second;
  const bool whole = end == EndpointResult::kAnswered || end == EndpointResult::kRefused;
  if (end == EndpointResult::kNotSent && Retry(found->second, now, actions)) {
    return actions;
  }
  requests_.erase(id);
  if (!whole && !request.has_answer_begun) {
    actions.refused.push_back({id, RefusalOf(end)});
  }
  if (request.is_keyed) {
    EndKeyed(id, StateOf(end), answer, now, actions);
  }
  LeaveSlot(request, end == EndpointResult::kAnswered, now, actions);
  return actions;
}

// Nothing was sent, so any request may be tried again, within the budget and its deadline.
bool RequestPipeline::Retry(Request& request, base::TimePoint now, PipelineActions& actions) {
  if (request.stage != Stage::kRunning || request.is_retried || !retry_budget_.TakeRetry()) {
    return false;
  }
  request.is_retried = true;
  const Request again = request;
  LeaveSlot(again, false, now, actions);
  Admit(requests_.at(again.admission.id), now, actions);
  return true;
}

void RequestPipeline::LeaveSlot(const Request& request, bool counts_as_sample, base::TimePoint now,
                                PipelineActions& actions) {
  if (request.stage == Stage::kStreaming) {
    admission_.CloseStream(request.admission.id);
  } else {
    Take(admission_.Finish(request.admission.id, counts_as_sample, now), now, actions);
  }
}

void RequestPipeline::EndKeyed(RequestId id, ExecutionState state, const StoredAnswer& answer,
                               base::TimePoint now, PipelineActions& actions) {
  Take(at_most_once_.Finish(id, state, answer, now), now, actions);
}

PipelineActions RequestPipeline::Cancel(RequestId id, base::TimePoint now) {
  PipelineActions actions;
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return actions;
  }
  const Request request = found->second;
  requests_.erase(found);
  switch (request.stage) {
    case Stage::kAwaitingPermit:
      Take(at_most_once_.Abandon(id, now), now, actions);
      break;
    case Stage::kWaiting:
      admission_.CancelWaiting(id);
      if (request.is_keyed) {
        EndKeyed(id, ExecutionState::kNotRun, {}, now, actions);
      }
      break;
    case Stage::kRunning:
      if (request.is_keyed) {
        EndKeyed(id, ExecutionState::kUnknown, {}, now, actions);
      }
      LeaveSlot(request, false, now, actions);
      break;
    case Stage::kStreaming:
      LeaveSlot(request, false, now, actions);
      break;
  }
  return actions;
}

PipelineActions RequestPipeline::SetTable(const std::shared_ptr<const routing::BucketTable>& table,
                                          base::TimePoint confirmed_at, base::TimePoint now) {
  PipelineActions actions;
  Take(at_most_once_.SetTable(table, confirmed_at, now), now, actions);
  return actions;
}

PipelineActions RequestPipeline::SetLimits(const AdmissionLimits& limits,
                                           base::Duration default_timeout, base::TimePoint now) {
  PipelineActions actions;
  default_timeout_ = default_timeout;
  Take(admission_.SetLimits(limits, now), now, actions);
  return actions;
}

PipelineActions RequestPipeline::OnMessage(base::NodeId sender,
                                           const proto::AtMostOnceMessage& message,
                                           base::TimePoint now) {
  PipelineActions actions;
  Take(at_most_once_.OnMessage(sender, message, now), now, actions);
  return actions;
}

PipelineActions RequestPipeline::OnTimer(base::TimePoint now) {
  PipelineActions actions;
  GiveUpOverdue(now, actions);
  Take(admission_.OnTimer(now), now, actions);
  Take(at_most_once_.OnTimer(now), now, actions);
  return actions;
}

// A started request whose deadline passes before its answer begins is given up at once: its caller
// is told that the outcome isn't known, and the exchange is broken off.
void RequestPipeline::GiveUpOverdue(base::TimePoint now, PipelineActions& actions) {
  std::vector<RequestId> overdue;
  for (const auto& [id, request] : requests_) {
    const bool is_late = request.stage == Stage::kRunning && !request.has_answer_begun &&
                         now >= request.admission.deadline;
    if (is_late) {
      overdue.push_back(id);
    }
  }
  for (const RequestId id : overdue) {
    const Request request = requests_.at(id);
    requests_.erase(id);
    actions.abandon.push_back(id);
    actions.refused.push_back(
        {id,
         {RequestOutcome::kOutcomeUnknown, RefusalReason::kDeadlineAfterStart, base::Duration(0)}});
    if (request.is_keyed) {
      EndKeyed(id, ExecutionState::kUnknown, {}, now, actions);
    }
    LeaveSlot(request, false, now, actions);
  }
}

}  // namespace gaugevalve::requests
