#include "request_service.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "gaugevalve/requests/hand_over_codec.h"
#include "gaugevalve/requests/request_headers.h"
#include "gaugevalve/telemetry/event.h"
#include "http1_request.h"

namespace gaugevalve::agent {
namespace {

// Period of the timer, and so the maximum delay of a refusal or a repeated message.
constexpr base::Duration kTimerPeriod = std::chrono::milliseconds(20);
constexpr base::Duration kDefaultTimeout = std::chrono::seconds(10);

// After a failed connection to the endpoint, requests are handed over for this time. The next
// request then tries the endpoint again.
constexpr base::Duration kEndpointDownTime = std::chrono::seconds(1);

// How often the progress of answers is checked.
constexpr base::Duration kProgressPeriod = std::chrono::seconds(1);

// Which party a stalled answer waits for. Values index kAnswerStallNames.
enum class AnswerStall : std::uint8_t { kEndpoint, kPeer, kCaller };
constexpr std::string_view kAnswerStallNames[] = {"endpoint", "peer", "caller"};

// How a request ended. Values index the metric's labels.
enum class RequestEnd : std::uint8_t {
  kAnswered,
  kNotRun,
  kOutcomeUnknown,
  kCancelled,
  kRepeated,
  kCut
};

base::Duration WallTime() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<base::Duration>(since_epoch);
}

requests::PipelineSettings PipelineSettingsOf(const RequestServiceSettings& settings) {
  requests::PipelineSettings pipeline;
  pipeline.self = settings.identity.node;
  pipeline.incarnation = settings.identity.incarnation;
  pipeline.admission = settings.admission;
  pipeline.default_timeout = kDefaultTimeout;
  pipeline.at_most_once = settings.at_most_once;
  return pipeline;
}

RequestEnd RequestEndOf(requests::RequestOutcome outcome) {
  switch (outcome) {
    case requests::RequestOutcome::kAnswered:
      return RequestEnd::kAnswered;
    case requests::RequestOutcome::kNotRun:
      return RequestEnd::kNotRun;
    case requests::RequestOutcome::kCancelled:
      return RequestEnd::kCancelled;
    case requests::RequestOutcome::kOutcomeUnknown:
      break;
  }
  return RequestEnd::kOutcomeUnknown;
}

std::vector<std::string_view> RefusalReasonNames() {
  std::vector<std::string_view> names;
  for (std::size_t value = 0; value < requests::kRefusalReasonCount; ++value) {
    names.push_back(requests::ReasonName(static_cast<requests::RefusalReason>(value)));
  }
  return names;
}

prometheus::Gauge* MakeGauge(prometheus::Registry& registry, const std::string& state) {
  return &prometheus::BuildGauge()
              .Name("gaugevalve_agent_requests")
              .Help("Requests now at the endpoint, waiting for it, or streaming from it.")
              .Register(registry)
              .Add({{"state", state}});
}

}  // namespace

RequestService::RequestService(event_base* loop, const RequestServiceSettings& settings,
                               PeerSender peer_sender, prometheus::Registry& registry)
    : identity_(settings.identity),
      default_timeout_(kDefaultTimeout),
      limits_(settings.admission),
      peer_sender_(std::move(peer_sender)),
      random_(settings.identity.node.value() ^ settings.identity.incarnation.value()),
      client_(loop, settings.endpoint, settings.client),
      pipeline_(PipelineSettingsOf(settings), random_, clock_.Now(), WallTime()),
      ended_(registry, "gaugevalve_agent_requests_ended_total", "Requests by how they ended.",
             {"answered", "not-run", "unknown", "cancelled", "repeated", "cut"}),
      refused_(registry, "gaugevalve_agent_requests_refused_total",
               "Requests that the agent answered itself, by reason.", RefusalReasonNames()),
      malformed_messages_(prometheus::BuildCounter()
                              .Name("gaugevalve_agent_peer_messages_malformed_total")
                              .Help("Messages of other agents that could not be decoded.")
                              .Register(registry)
                              .Add({})),
      running_(MakeGauge(registry, "running")),
      waiting_(MakeGauge(registry, "waiting")),
      streams_(MakeGauge(registry, "streaming")),
      remembers_keys_(&prometheus::BuildGauge()
                           .Name("gaugevalve_agent_remembers_new_keys")
                           .Help("1 when a new idempotency key is known as new, 0 when it isn't.")
                           .Register(registry)
                           .Add({})),
      stalled_(
          registry, "gaugevalve_agent_answers_stalled_total",
          "Answers that had begun and made no progress for five seconds, by where they waited.",
          {std::begin(kAnswerStallNames), std::end(kAnswerStallNames)}),
      hand_over_(loop, settings.identity, *this, peer_sender_, random_, registry),
      timer_(loop, [this] { OnTimer(); }) {
  timer_.StartPeriodic(kTimerPeriod);
}

std::unique_ptr<quic::RequestHandler> RequestService::OnRequest(const quic::RequestHead& head,
                                                                const quic::Path&,
                                                                quic::ResponseWriter& writer) {
  RequestOwner& owner = *this;
  auto request = std::make_unique<AdmittedRequest>(NextRequestId(), head, writer, owner);
  request->Begin();
  return request;
}

void RequestService::OnArrived(AdmittedRequest& request) {
  const quic::HeaderFields& fields = request.Head().fields;
  const std::string_view timeout_text = quic::FindField(fields, requests::kTimeoutHeader);
  const std::string_view key = quic::FindField(fields, requests::kIdempotencyKeyHeader);
  requests::IncomingRequest arrived;
  arrived.id = request.Id();
  arrived.is_stream = request.IsStream();
  arrived.timeout = requests::ParseTimeout(timeout_text);
  arrived.urgency = requests::ParseUrgency(quic::FindField(fields, requests::kPriorityHeader));
  if (!IsWritable(request.Head())) {
    return request.RefuseMalformed("the request line or a field has a blank or control character");
  }
  if (!timeout_text.empty() && !arrived.timeout) {
    return request.RefuseMalformed("grpc-timeout: one to eight digits and one of H, M, S, m, u, n");
  }
  if (key.size() > requests::kMaxIdempotencyKeyBytes) {
    return request.RefuseMalformed("idempotency-key: longer than 255 bytes");
  }
  if (request.IsKeyed()) {
    requests::RequestKey request_key;
    request_key.digest = requests::KeyDigest::Of(identity_.service, key);
    request_key.fingerprint = request.Fingerprint();
    if (const auto created = requests::KeyCreationMilliseconds(key)) {
      request_key.created_at = std::chrono::milliseconds(*created);
    }
    arrived.key = request_key;
  }
  const base::TimePoint now = clock_.Now();
  const base::TimePoint deadline = now + arrived.timeout.value_or(default_timeout_);
  if (HandOver(request, deadline, now)) {
    return;
  }
  tracked_[request.Id()] = {&request, deadline};
  Perform(pipeline_.AddRequest(arrived, now));
}

// Hands the request over to another agent if there is a need and a suitable peer.
bool RequestService::HandOver(AdmittedRequest& request, base::TimePoint deadline,
                              base::TimePoint now) {
  requests::LocalSituation situation;
  situation.was_handed_over = request.WasHandedOver();
  situation.is_stream = request.IsStream();
  situation.is_draining = IsDraining();
  situation.is_endpoint_down = now < endpoint_down_until_;
  situation.estimated_wait = pipeline_.Admission().EstimatedWait();
  const auto need = is_hand_over_on_ ? hand_over_.FindHandOverNeed(situation) : std::nullopt;
  if (!need || !hand_over_.Offer(request, *need, deadline)) {
    return false;
  }
  tracked_[request.Id()] = {&request, deadline, true};
  return true;
}

// Hands over a request of which no byte was sent, so that any peer may run it. A keyed request is
// not handed over, since its grant is for this agent; this agent reports how it ended.
bool RequestService::HandOverUnsent(requests::RequestId id, requests::EndpointResult end) {
  const auto found = tracked_.find(id);
  if (end != requests::EndpointResult::kNotSent || found == tracked_.end()) {
    return false;
  }
  const TrackedRequest tracked_request = found->second;
  if (tracked_request.request->IsKeyed() ||
      !HandOver(*tracked_request.request, tracked_request.deadline, clock_.Now())) {
    return false;
  }
  Perform(pipeline_.Cancel(id, clock_.Now()));
  return true;
}

void RequestService::OnRefusedElsewhere(requests::RequestId id, const requests::Refusal& refusal) {
  if (const auto found = tracked_.find(id); found != tracked_.end()) {
    found->second.request->Abandon();
    Refuse({id, refusal});
  }
}

void RequestService::UpdateEndpointState(requests::EndpointResult end, base::TimePoint now) {
  const bool is_unreached = end == requests::EndpointResult::kNotSent ||
                            end == requests::EndpointResult::kBodyNotReplayable;
  endpoint_down_until_ = is_unreached ? now + kEndpointDownTime : now;
}

requests::LocalLoad RequestService::Load(base::TimePoint now) const {
  const requests::AdmissionQueue& admission = pipeline_.Admission();
  const auto running = static_cast<std::uint32_t>(admission.RunningCount());
  const auto waiting = static_cast<std::uint32_t>(admission.WaitingCount());
  requests::LocalLoad load;
  load.free_slots = limits_.slots - std::min(limits_.slots, running);
  load.queue_room = limits_.queue_length - std::min(limits_.queue_length, waiting);
  load.takes_requests = is_hand_over_on_ && !IsDraining() && now >= endpoint_down_until_;
  return load;
}

void RequestService::OnTimer() {
  const base::TimePoint now = clock_.Now();
  Perform(pipeline_.OnTimer(now));
  hand_over_.OnTimer(Load(now));
  if (now - answer_progress_checked_at_ >= kProgressPeriod) {
    answer_progress_checked_at_ = now;
    CheckAnswerProgress(now);
  }
}

void RequestService::CheckAnswerProgress(base::TimePoint now) {
  std::vector<decltype(answer_progress_)::Item> items;
  for (const auto& [id, tracked_request] : tracked_) {
    const AnswerProgress progress = tracked_request.request->Progress();
    if (progress.has_begun && !tracked_request.request->IsStream()) {
      items.push_back({id, progress.bytes});
    }
  }
  for (const requests::RequestId id : answer_progress_.TakeStalled(items, now)) {
    LogStalledAnswer(id);
  }
  EndStalledAnswers(now);
}

void RequestService::LogStalledAnswer(requests::RequestId id) {
  const TrackedRequest& tracked_request = tracked_.at(id);
  const AnswerProgress progress = tracked_request.request->Progress();
  const AnswerStall stall = progress.waits_for_caller ? AnswerStall::kCaller
                            : tracked_request.is_away ? AnswerStall::kPeer
                                                      : AnswerStall::kEndpoint;
  stalled_.Add(stall);
  telemetry::Event(telemetry::Level::kWarning, "answer_stalled")
      .Field("request", id)
      .Field("path", tracked_request.request->Head().path)
      .Field("at", kAnswerStallNames[static_cast<std::size_t>(stall)])
      .Field("bytes", progress.bytes);
}

// The deadline ends a request whose answer has not begun. An answer that has begun is cut when it
// makes no progress for as long, so that its caller learns that the rest will not come. An answer
// that waits for its caller is left to the transport's time-outs.
void RequestService::EndStalledAnswers(base::TimePoint now) {
  std::vector<requests::RequestId> stalled;
  for (const auto& [id, tracked_request] : tracked_) {
    const bool waits_for_caller = tracked_request.request->Progress().waits_for_caller;
    if (!waits_for_caller && answer_progress_.IdleTime(id, now) >= default_timeout_) {
      stalled.push_back(id);
    }
  }
  for (const requests::RequestId id : stalled) {
    tracked_.at(id).request->CutAnswer("the answer made no progress within the deadline");
  }
}

void RequestService::StartDraining() {
  is_draining_ = true;
  UpdateDraining();
}

// Without hand-over, a draining endpoint still serves the requests of its open connections. With
// hand-over, these requests run at other endpoints or are refused.
void RequestService::UpdateDraining() {
  pipeline_.SetDraining(is_draining_ || (is_endpoint_draining_ && is_hand_over_on_));
}

void RequestService::OnEnded(requests::RequestId id, requests::EndpointResult end,
                             const requests::StoredAnswer& answer) {
  const auto found = tracked_.find(id);
  const bool is_away = found != tracked_.end() && found->second.is_away;
  if (!is_away) {
    UpdateEndpointState(end, clock_.Now());
    if (HandOverUnsent(id, end)) {
      ++failures_since_report_;
      return;
    }
  }
  const bool is_complete =
      end == requests::EndpointResult::kAnswered || end == requests::EndpointResult::kRefused;
  if (is_complete) {
    ended_.Add(end == requests::EndpointResult::kAnswered ? RequestEnd::kAnswered
                                                          : RequestEnd::kNotRun);
  } else if (!is_away) {
    ++failures_since_report_;
  }
  Perform(pipeline_.FinishAtEndpoint(id, end, answer, clock_.Now()));
  const bool was_cut = !pipeline_.Contains(id) && StopTracking(id) != nullptr && !is_complete;
  if (was_cut) {
    ended_.Add(RequestEnd::kCut);
  }
}

void RequestService::OnCancelled(requests::RequestId id) {
  StopTracking(id);
  ended_.Add(RequestEnd::kCancelled);
  Perform(pipeline_.Cancel(id, clock_.Now()));
}

AdmittedRequest* RequestService::StopTracking(requests::RequestId id) {
  const auto found = tracked_.find(id);
  if (found == tracked_.end()) {
    return nullptr;
  }
  AdmittedRequest* const request = found->second.request;
  tracked_.erase(found);
  return request;
}

void RequestService::Perform(const requests::PipelineActions& actions) {
  for (const requests::OutgoingMessage& outgoing : actions.send) {
    peer_sender_(outgoing.destination, outgoing.message.SerializeAsString(),
                 transport::TrafficClass::kControl);
  }
  for (const requests::RequestId id : actions.abandon) {
    if (const auto found = tracked_.find(id); found != tracked_.end()) {
      found->second.request->Abandon();
    }
  }
  for (const requests::RefusedRequest& refused : actions.refused) {
    Refuse(refused);
  }
  for (const requests::RepeatedRequest& repeated : actions.repeated) {
    ended_.Add(RequestEnd::kRepeated);
    if (AdmittedRequest* const request = StopTracking(repeated.id)) {
      request->Repeat(repeated.answer);
    }
  }
  for (const requests::RequestId id : actions.start) {
    Start(id);
  }
}

void RequestService::Start(requests::RequestId id) {
  const auto found = tracked_.find(id);
  if (found == tracked_.end()) {
    Perform(pipeline_.Cancel(id, clock_.Now()));
    return;
  }
  AdmittedRequest& request = *found->second.request;
  std::optional<base::Duration> time_left;
  if (!request.IsStream()) {
    time_left = found->second.deadline - clock_.Now();
  }
  const auto starter = [this](const quic::RequestHead& head, EndpointEvents& events) {
    return std::unique_ptr<Exchange>(client_.Start(head, events));
  };
  if (!request.Start(starter, time_left)) {
    OnEnded(id, requests::EndpointResult::kNotSent, {});
  }
}

void RequestService::Refuse(const requests::RefusedRequest& refused) {
  const requests::Refusal& refusal = refused.refusal;
  refused_.Add(refusal.reason);
  ended_.Add(RequestEndOf(refusal.outcome));
  if (refusal.outcome == requests::RequestOutcome::kOutcomeUnknown) {
    telemetry::Event(telemetry::Level::kInfo, "request_outcome_unknown")
        .Field("request", refused.id)
        .Field("reason", refusal.reason);
  }
  if (AdmittedRequest* const request = StopTracking(refused.id)) {
    request->Refuse(refusal);
  }
}

void RequestService::SetView(const control::ServiceView& service, base::TimePoint confirmed_at) {
  Perform(pipeline_.SetTable(service.table, confirmed_at, clock_.Now()));
  hand_over_.SetTable(service.table);
  hand_over_.SetLiveAgents(service.live_agents);
}

void RequestService::SetEndpoint(const settings::EndpointSettings& endpoint) {
  limits_.slots = endpoint.slots;
  limits_.queue_length = endpoint.queue_length;
  limits_.streams = endpoint.connections;
  limits_.brown_out_enter = endpoint.brownout_enter;
  limits_.brown_out_leave = endpoint.brownout_leave;
  default_timeout_ = endpoint.request_deadline;
  is_hand_over_on_ = endpoint.hand_over == settings::HandOverSwitch::kOn;
  is_endpoint_draining_ = endpoint.state == settings::AdministrativeState::kDraining;
  UpdateDraining();
  Perform(pipeline_.SetLimits(limits_, default_timeout_, clock_.Now()));
}

void RequestService::HandlePeerMessage(base::NodeId sender, std::string_view payload) {
  const auto message = requests::DecodePeerMessage(payload);
  if (!message) {
    malformed_messages_.Add();
  } else if (message->has_hand_over()) {
    hand_over_.OnMessage(sender, message->hand_over());
  } else {
    Perform(pipeline_.OnMessage(sender, *message, clock_.Now()));
  }
}

void RequestService::FillReport(routing::AgentReport& report) {
  const requests::AdmissionQueue& admission = pipeline_.Admission();
  report.busy_slots = static_cast<std::uint32_t>(admission.RunningCount());
  report.total_slots = limits_.slots;
  report.queued_requests = static_cast<std::uint32_t>(admission.WaitingCount());
  report.recent_latency = admission.ServiceTime();
  report.endpoint_failures = std::exchange(failures_since_report_, 0);
}

void RequestService::PublishCounters() {
  const requests::AdmissionQueue& admission = pipeline_.Admission();
  ended_.Publish();
  refused_.Publish();
  malformed_messages_.Publish();
  stalled_.Publish();
  hand_over_.PublishCounters();
  running_->Set(static_cast<double>(admission.RunningCount()));
  waiting_->Set(static_cast<double>(admission.WaitingCount()));
  streams_->Set(static_cast<double>(admission.StreamCount()));
  remembers_keys_->Set(pipeline_.RemembersNewKeys(clock_.Now()) ? 1 : 0);
}

}  // namespace gaugevalve::agent
