#include "hand_over_service.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "gaugevalve/requests/hand_over_codec.h"
#include "gaugevalve/requests/request_headers.h"
#include "gaugevalve/telemetry/event.h"
#include "handed_over_exchange.h"
#include "run_for_peer.h"

namespace gaugevalve::agent {
namespace {

using requests::proto::HandOverRequestHead;

// How a request handed over to another agent ended. Values index the metric's labels.
enum class HandOverEnd : std::uint8_t { kAnswered, kNotRun, kOutcomeUnknown, kCut, kCancelled };

std::string_view AsText(std::span<const std::uint8_t> bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

std::span<const std::uint8_t> AsBytes(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

bool IsSafe(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "TRACE";
}

template <class Fields>
quic::HeaderFields DecodeFields(const Fields& fields) {
  quic::HeaderFields decoded;
  for (const requests::proto::HandOverField& field : fields) {
    decoded.push_back({field.name(), field.value()});
  }
  return decoded;
}

HandOverRequestHead EncodeHead(const quic::RequestHead& head) {
  HandOverRequestHead message;
  message.set_method(head.method);
  message.set_scheme(head.scheme);
  message.set_authority(head.authority);
  message.set_path(head.path);
  for (const quic::HeaderField& field : head.fields) {
    requests::proto::HandOverField* const entry = message.add_fields();
    entry->set_name(field.name);
    entry->set_value(field.value);
  }
  return message;
}

// Replaces the time-out field by the offer's time left, which is computed with the executor's
// clock. The field's own value dates from when the request was sent.
quic::RequestHead DecodeHead(const requests::RunOffered& offer) {
  quic::RequestHead head{offer.head.method(), offer.head.scheme(), offer.head.authority(),
                         offer.head.path(), DecodeFields(offer.head.fields())};
  std::erase_if(head.fields, [](const quic::HeaderField& field) {
    return field.name == requests::kTimeoutHeader;
  });
  head.fields.push_back(
      {std::string(requests::kTimeoutHeader), requests::FormatTimeout(offer.time_left)});
  return head;
}

HandOverEnd HandOverEndOf(const requests::Refusal& refusal) {
  return refusal.outcome == requests::RequestOutcome::kNotRun ? HandOverEnd::kNotRun
                                                              : HandOverEnd::kOutcomeUnknown;
}

std::string_view MessageName(requests::proto::HandOverMessage::BodyCase kind) {
  using requests::proto::HandOverMessage;
  switch (kind) {
    case HandOverMessage::kRequestAcknowledgement:
      return "acknowledgement";
    case HandOverMessage::kAnswerFrame:
      return "answer";
    case HandOverMessage::BODY_NOT_SET:
      return "none";
    default:
      return "other";
  }
}

void LogExecutorLoss(const requests::ExecutorLoss& loss) {
  telemetry::Event(telemetry::Level::kWarning, "hand_over_executor_lost")
      .Field("request", loss.request)
      .Field("executor", loss.hand_over.executor)
      .Field("number", loss.hand_over.number)
      .Field("cause", ToString(loss.cause))
      .Field("silence_ms", loss.silence / std::chrono::milliseconds(1))
      .Field("last_message", MessageName(loss.last_message))
      .Field("accepted", loss.is_accepted)
      .Field("listed_live", loss.is_listed_as_live)
      .Field("contact", loss.contact ? ToString(loss.contact->source) : "none")
      .Field("contact_ms", loss.contact_age / std::chrono::milliseconds(1));
}

prometheus::Gauge* MakeGauge(prometheus::Registry& registry, const std::string& side) {
  return &prometheus::BuildGauge()
              .Name("gaugevalve_agent_hand_overs")
              .Help("Requests handed over that haven't ended: away at others, or here for others.")
              .Register(registry)
              .Add({{"side", side}});
}

}  // namespace

HandOverService::HandOverService(event_base* loop, const flow::AgentIdentity& identity,
                                 HandOverOwner& owner, PeerSender peer_sender,
                                 base::RandomSource& random, prometheus::Registry& registry)
    : owner_(owner),
      peer_sender_(std::move(peer_sender)),
      core_(identity.node, identity.incarnation, limits_, random),
      ended_(registry, "gaugevalve_agent_hand_overs_ended_total",
             "Requests handed over to other agents, by how they ended.",
             {"answered", "not-run", "unknown", "cut", "cancelled"}),
      accepted_(prometheus::BuildCounter()
                    .Name("gaugevalve_agent_hand_overs_taken_total")
                    .Help("Requests offered by other agents and given to admission here.")
                    .Register(registry)
                    .Add({})),
      away_gauge_(MakeGauge(registry, "away")),
      here_gauge_(MakeGauge(registry, "here")),
      deferred_(loop, [this] {
        HandleEvents();
        SweepRuns();
      }) {}

HandOverService::~HandOverService() = default;

bool HandOverService::Offer(AdmittedRequest& request, requests::HandOverNeed need,
                            base::TimePoint deadline) {
  const base::TimePoint now = clock_.Now();
  const auto starter = [&](const quic::RequestHead& head,
                           EndpointEvents& events) -> std::unique_ptr<Exchange> {
    requests::HandOverRequest offered;
    offered.id = request.Id();
    offered.head = EncodeHead(head);
    offered.deadline = deadline;
    offered.is_safe = IsSafe(head.method);
    offered.was_handed_over = request.WasHandedOver();
    requests::HandOverActions actions;
    if (!core_.Origin().Offer(offered, need, now, actions)) {
      return nullptr;
    }
    away_exchanges_[request.Id()] = &events;
    Perform(actions);
    return std::make_unique<HandedOverExchange>(request.Id(), *this);
  };
  const bool is_handed_over = request.Start(starter, deadline - now);
  if (is_handed_over) {
    telemetry::Event(telemetry::Level::kDebug, "request_handed_over")
        .Field("request", request.Id());
  }
  return is_handed_over;
}

void HandOverService::SetTable(const std::shared_ptr<const routing::BucketTable>& table) {
  PerformAndHandle(core_.SetTable(table, clock_.Now()));
}

void HandOverService::SetLiveAgents(const std::shared_ptr<const routing::LiveAgents>& agents) {
  PerformAndHandle(core_.SetLiveAgents(agents, clock_.Now()));
}

void HandOverService::NoteContacts(std::span<const routing::AgentContact> contacts) {
  for (const routing::AgentContact& contact : contacts) {
    core_.NoteContact(contact);
  }
}

void HandOverService::OnMessage(base::NodeId sender,
                                const requests::proto::HandOverMessage& message) {
  PerformAndHandle(core_.OnMessage(sender, message, clock_.Now()));
}

void HandOverService::OnTimer(const requests::LocalLoad& load) {
  PerformAndHandle(core_.OnTimer(load, clock_.Now()));
}

void HandOverService::PublishCounters() {
  ended_.Publish();
  accepted_.Publish();
  away_gauge_->Set(static_cast<double>(core_.Origin().Size()));
  here_gauge_->Set(static_cast<double>(core_.Executor().Size()));
}

bool HandOverService::WriteBody(requests::RequestId id, std::span<const std::uint8_t> bytes) {
  requests::HandOverActions actions;
  const bool has_room = core_.Origin().WriteBody(id, AsText(bytes), clock_.Now(), actions);
  Perform(actions);
  return has_room;
}

void HandOverService::FinishBody(requests::RequestId id) {
  requests::HandOverActions actions;
  core_.Origin().FinishBody(id, clock_.Now(), actions);
  Perform(actions);
}

void HandOverService::SetAnswerPaused(requests::RequestId id, bool is_paused) {
  requests::HandOverActions actions;
  core_.Origin().SetAnswerPaused(id, is_paused, clock_.Now(), actions);
  Perform(actions);
}

void HandOverService::Cancel(requests::RequestId id) {
  if (away_exchanges_.erase(id) == 0) {
    return;  // the request has already ended
  }
  ended_.Add(HandOverEnd::kCancelled);
  requests::HandOverActions actions;
  core_.Origin().Cancel(id, actions);
  Perform(actions);
}

void HandOverService::Perform(const requests::HandOverActions& actions) {
  for (const requests::ExecutorLoss& loss : actions.executor_losses) {
    LogExecutorLoss(loss);
  }
  for (const requests::OutgoingMessage& outgoing : actions.send) {
    const bool is_frame = requests::IsFrame(outgoing.message.hand_over());
    peer_sender_(outgoing.destination, outgoing.message.SerializeAsString(),
                 is_frame ? transport::TrafficClass::kBulk : transport::TrafficClass::kControl);
  }
  events_.insert(events_.end(), actions.origin.begin(), actions.origin.end());
  events_.insert(events_.end(), actions.executor.begin(), actions.executor.end());
  if (!events_.empty()) {
    deferred_.StartOnce(base::Duration{0});
  }
}

void HandOverService::PerformAndHandle(const requests::HandOverActions& actions) {
  Perform(actions);
  HandleEvents();
}

void HandOverService::HandleEvents() {
  if (is_handling_) {
    return;
  }
  is_handling_ = true;
  while (!events_.empty()) {
    const Event event = std::move(events_.front());
    events_.pop_front();
    std::visit([this](const auto& what) { Handle(what); }, event);
  }
  is_handling_ = false;
}

void HandOverService::Handle(const requests::OriginEvent& event) {
  const auto found = away_exchanges_.find(event.request);
  if (found == away_exchanges_.end()) {
    return;  // cancelled in the meantime
  }
  EndpointEvents& events = *found->second;
  if (std::holds_alternative<requests::BodyWritable>(event.what)) {
    events.OnRequestWritable();
  } else if (const auto* const head = std::get_if<requests::AnswerHeadReceived>(&event.what)) {
    events.OnAnswerHead({static_cast<int>(head->head.status()), DecodeFields(head->head.fields())});
  } else if (const auto* const bytes = std::get_if<requests::AnswerBytesReceived>(&event.what)) {
    events.OnAnswerBody(AsBytes(bytes->bytes));
  } else if (const auto* const refused = std::get_if<requests::HandOverRefused>(&event.what)) {
    away_exchanges_.erase(found);
    ended_.Add(HandOverEndOf(refused->refusal));
    owner_.OnRefusedElsewhere(event.request, refused->refusal);
  } else if (std::holds_alternative<requests::AnswerEnded>(event.what)) {
    away_exchanges_.erase(found);
    ended_.Add(HandOverEnd::kAnswered);
    events.OnAnswerEnd();
  } else {
    away_exchanges_.erase(found);
    ended_.Add(HandOverEnd::kCut);
    events.OnExchangeFailed({ExchangeFailure::Kind::kCutAnswer,
                             "the executing agent is gone or its answer was truncated"});
  }
}

void HandOverService::Handle(const requests::ExecutorEvent& event) {
  if (const auto* const offer = std::get_if<requests::RunOffered>(&event.what)) {
    BeginRun(event.run, *offer);
    return;
  }
  const auto found = runs_.find(event.run);
  if (found == runs_.end()) {
    return;
  }
  RunForPeer& run = *found->second;
  if (const auto* const bytes = std::get_if<requests::BodyBytesReceived>(&event.what)) {
    run.HandleBody(AsBytes(bytes->bytes));
  } else if (std::holds_alternative<requests::BodyEnded>(event.what)) {
    run.HandleBodyEnd();
  } else if (std::holds_alternative<requests::AnswerWritable>(event.what)) {
    run.HandleWritable();
  } else {
    run.HandleCancel();
  }
}

void HandOverService::BeginRun(const requests::HandOverId& id, const requests::RunOffered& offer) {
  accepted_.Add();
  auto run =
      std::make_unique<RunForPeer>(id, owner_.NextRequestId(), DecodeHead(offer), *this, owner_);
  RunForPeer& begun = *run;
  runs_[id] = std::move(run);
  begun.Begin();
}

void HandOverService::OnRunFinished(const requests::HandOverId& run) {
  finished_runs_.push_back(run);
  deferred_.StartOnce(base::Duration{0});
}

void HandOverService::SweepRuns() {
  for (const requests::HandOverId& id : std::exchange(finished_runs_, {})) {
    runs_.erase(id);
  }
}

}  // namespace gaugevalve::agent
