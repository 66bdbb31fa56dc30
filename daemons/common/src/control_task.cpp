#include "gaugevalve/daemon/control_task.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "gaugevalve/control/status_document.h"
#include "gaugevalve/control/store_transaction_codec.h"
#include "gaugevalve/settings/field_schema.h"
#include "gaugevalve/settings/store_layout.h"
#include "gaugevalve/telemetry/event.h"

namespace gaugevalve::daemon {
namespace {

// How often the task checks whether this node should read the store.
constexpr base::Duration kStoreReviewInterval = std::chrono::seconds(1);
// A node keeps its access to the store for this time after another node has become a reader, so
// that there is always at least one reader.
constexpr base::Duration kStoreHandOverTime = std::chrono::seconds(30);
// Time for the leave announcement to reach other nodes.
constexpr base::Duration kLeaveAnnouncementTime = std::chrono::milliseconds(500);
constexpr base::Duration kMaxSleep = std::chrono::seconds(1);
constexpr base::Duration kTransactionTimeout = std::chrono::seconds(5);
constexpr base::Duration kViewRetryDelay = std::chrono::milliseconds(20);
constexpr const char* kJson = "application/json";
constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;

transport::SenderIdentity IdentityOf(const ControlTaskSettings& task) {
  transport::SenderIdentity identity;
  identity.node = task.node.Id();
  identity.incarnation = task.incarnation;
  identity.control_address = task.node.control_address;
  return identity;
}

control::ControlNodeOptions OptionsOf(const ControlTaskSettings& task,
                                      const transport::SenderIdentity& identity) {
  const settings::NodeSettings& node = task.node;
  control::ControlNodeOptions options;
  options.name = node.name;
  options.seed = task.incarnation.value() ^ identity.node.value();
  options.membership.seeds = node.seed_peers;
  membership::MemberMetadata& metadata = options.metadata;
  metadata.region = node.region;
  metadata.zone = node.zone;
  metadata.control_address = identity.control_address;
  metadata.data_address = task.data_address;
  metadata.versions = identity.versions;
  metadata.settings_schema = settings::kSchemaVersion;
  metadata.process_incarnation = task.incarnation;
  if (node.agent.has_value()) {
    metadata.role = membership::Role::kAgent;
    metadata.service = base::MakeServiceId(node.agent->service);
    metadata.endpoint_name = node.agent->endpoint;
    options.service_name = node.agent->service;
  }
  return options;
}

std::string_view LeaseStatusText(const lease::LeaseView& view) {
  switch (view.status) {
    case lease::LeaseStatus::kHeld:
      return "held";
    case lease::LeaseStatus::kLapsed:
      return "lapsed";
    case lease::LeaseStatus::kNotHeld:
      break;
  }
  return "not held";
}

}  // namespace

ControlTask::ControlTask(event_base* loop, const ControlTaskSettings& settings,
                         telemetry::AdminServer& admin, prometheus::Registry& registry,
                         ViewHandler view_handler, SupersededHandler superseded_handler)
    : loop_(loop),
      settings_(settings.node),
      m_drops(registry),
      m_loop_monitor(loop, "control", registry),
      view_handler_(std::move(view_handler)),
      superseded_handler_(std::move(superseded_handler)),
      transport_(std::make_unique<transport::NngPeerTransport>(loop, clock_, IdentityOf(settings))),
      node_(std::make_unique<control::ControlNode>(OptionsOf(settings, transport_->Identity()))),
      timer_(loop, [this] { OnTimer(); }),
      leave_timer_(loop, [this] { leave_done_(); }) {
  for (const transport::MessageKind kind :
       {transport::MessageKind::kMembership, transport::MessageKind::kDissemination,
        transport::MessageKind::kControl}) {
    transport_->SetReceiver(kind, [this](const transport::Envelope& envelope) {
      control::ControlActions actions;
      node_->OnEnvelope(envelope, clock_.Now(), actions);
      NoteContact(envelope);
      Perform(actions);
    });
  }
  AddHandlers(admin);
}

ControlTask::~ControlTask() = default;

void ControlTask::Start() {
  control::ControlActions actions;
  node_->Start(clock_.Now(), actions);
  Perform(actions);
}

void ControlTask::UpdateReport(const routing::AgentReport& report) {
  control::ControlActions actions;
  node_->UpdateReport(report, clock_.Now(), actions);
  Perform(actions);
}

void ControlTask::StartLeaving() {
  control::ControlActions actions;
  node_->SetLeaving(true, clock_.Now(), actions);
  Perform(actions);
}

void ControlTask::Leave(std::function<void()> done) {
  leave_done_ = std::move(done);
  store_.reset();
  control::ControlActions actions;
  node_->Leave(clock_.Now(), actions);
  Perform(actions);
  leave_timer_.StartOnce(kLeaveAnnouncementTime);
}

void ControlTask::SendToNode(base::NodeId node, transport::MessageKind kind,
                             const std::string& payload, transport::TrafficClass traffic) {
  const membership::Member* const member = node_->Directory().Find(node);
  if (member == nullptr) {
    m_drops.Record(PeerMessageDrop::kUnknownMember, 1, node, clock_.Now());
    return;
  }
  Send(member->metadata->control_address, kind, payload, traffic, node);
}

void ControlTask::Send(const base::SocketAddress& destination, transport::MessageKind kind,
                       std::string payload, transport::TrafficClass traffic,
                       std::optional<base::NodeId> peer) {
  m_drops.RecordSend(transport_->Send(destination, kind, std::move(payload), traffic), peer,
                     clock_.Now());
}

void ControlTask::SetReceiver(transport::MessageKind kind,
                              transport::PeerTransport::Receiver receiver) {
  transport_->SetReceiver(
      kind, [this, receiver = std::move(receiver)](const transport::Envelope& envelope) {
        NoteContact(envelope);
        OfferContacts();
        receiver(envelope);
      });
}

base::SocketAddress ControlTask::ControlAddress() const {
  return transport_->Identity().control_address;
}

void ControlTask::OnTimer() {
  const base::TimePoint now = clock_.Now();
  control::ControlActions actions;
  node_->OnTick(now, actions);
  Perform(actions);
  if (now >= next_review_) {
    next_review_ = now + kStoreReviewInterval;
    UpdateStoreAccess();
  }
}

// Opens or closes the access to the store depending on whether this node should be a reader.
void ControlTask::UpdateStoreAccess() {
  const base::TimePoint now = clock_.Now();
  const bool wanted =
      !settings_.store_endpoints.empty() && leave_done_ == nullptr && node_->ShouldUseStore(now);
  if (wanted) {
    unneeded_since_ = base::TimePoint::max();
    if (!store_.has_value()) {
      OpenStore();
    }
  } else if (store_.has_value()) {
    unneeded_since_ = std::min(unneeded_since_, now);
    if (now >= unneeded_since_ + kStoreHandOverTime) {
      telemetry::Event(telemetry::Level::kInfo, "store_access_closed")
          .Field("name", settings_.name);
      store_->lease->Resign();
      store_.reset();
      control::ControlActions actions;
      node_->OnLeaseLost(now, actions);
      Perform(actions);
    }
  }
  if (store_.has_value() && node_->MustResignLease()) {
    store_->lease->Resign();
    store_->lease->Campaign();
  }
}

void ControlTask::OpenStore() {
  telemetry::Event(telemetry::Level::kInfo, "store_access_opened").Field("name", settings_.name);
  const std::uint64_t seed = transport_->Identity().incarnation.value();
  store::StoreClientSettings client_settings;
  client_settings.endpoints = settings_.store_endpoints;
  store_.emplace();
  store_->client = std::make_unique<store::StoreClient>(loop_, client_settings, clock_, seed);
  store::WatchSessionSettings watch;
  watch.key = std::string(settings::kTreePrefix);
  watch.range_end = store::PrefixEnd(watch.key);
  store_->watch = store_->client->StartWatch(watch, *this);
  lease::LeaseSettings lease_settings;
  lease_settings.key = std::string(settings::kCoordinatorLeaseKey);
  lease_settings.holder = settings_.name;
  store_->lease =
      std::make_unique<lease::LeaseTask>(loop_, *store_->client, clock_, lease_settings, seed + 1,
                                         [this](const lease::LeaseView& view) { OnLease(view); });
  store_->lease->Campaign();
}

void ControlTask::OnSnapshot(const store::WatchSnapshot& snapshot) {
  control::ControlActions actions;
  node_->OnStoreSnapshot(snapshot, clock_.Now(), actions);
  Perform(actions);
}

void ControlTask::OnChanges(const store::WatchChanges& changes) {
  control::ControlActions actions;
  node_->OnStoreChanges(changes, clock_.Now(), actions);
  Perform(actions);
}

void ControlTask::OnStreaming(bool streaming) {
  telemetry::Event(telemetry::Level::kInfo, "store_watch").Field("streaming", streaming);
}

void ControlTask::OnLease(const lease::LeaseView& view) {
  telemetry::Event(telemetry::Level::kInfo, "lease_changed")
      .Field("key", settings::kCoordinatorLeaseKey)
      .Field("status", LeaseStatusText(view))
      .Field("token", view.token.value())
      .Field("renewal_fails", view.renewal_fails);
  control::ControlActions actions;
  if (view.status == lease::LeaseStatus::kHeld) {
    node_->OnLeaseHeld(view.token.value(), clock_.Now(), actions);
  } else {
    node_->OnLeaseLost(clock_.Now(), actions);
  }
  Perform(actions);
}

void ControlTask::RunTransaction(const settings::StoreTransaction& transaction) {
  if (!store_.has_value()) {
    node_->OnStoreAnswerLost(clock_.Now());
    return;
  }
  store_->client->Submit(
      control::MakeRequest(transaction), kTransactionTimeout, [this](const store::Result& result) {
        if (!result.IsOk()) {
          node_->OnStoreAnswerLost(clock_.Now());
          return;
        }
        control::ControlActions actions;
        node_->OnStoreAnswer(control::MakeAnswer(result.Get<store::TxnResponse>()), clock_.Now(),
                             actions);
        Perform(actions);
      });
}

void ControlTask::Perform(control::ControlActions& actions) {
  if (actions.store_transaction.has_value()) {
    RunTransaction(*actions.store_transaction);
  }
  for (control::OutgoingEnvelope& envelope : actions.envelopes) {
    // A message that the transport rejects is treated as lost; the protocols tolerate lost
    // messages.
    Send(envelope.destination, envelope.kind, std::move(envelope.payload));
  }
  Log(actions);
  if (actions.view != nullptr) {
    waiting_view_ = std::move(actions.view);
  }
  OfferView();
  OfferContacts();
  const base::TimePoint now = clock_.Now();
  base::TimePoint due = std::min(node_->NextWakeUp(), now + kMaxSleep);
  if (waiting_view_ != nullptr) {
    due = std::min(due, now + kViewRetryDelay);
  }
  timer_.StartOnce(std::max(due - now, base::Duration(0)));
  const bool superseded = std::any_of(actions.member_events.begin(), actions.member_events.end(),
                                      [](const membership::MembershipEvent& event) {
                                        return event.kind == membership::EventKind::kSelfSuperseded;
                                      });
  if (superseded) {
    superseded_handler_();
  }
}

void ControlTask::Log(const control::ControlActions& actions) const {
  for (const membership::MembershipEvent& event : actions.member_events) {
    // A node that joins a large group causes thousands of these events.
    const bool is_ordinary = event.kind == membership::EventKind::kJoined ||
                             event.kind == membership::EventKind::kChanged;
    telemetry::Event(is_ordinary ? telemetry::Level::kDebug : telemetry::Level::kInfo,
                     std::string(membership::EventName(event.kind)))
        .Field("node", event.member.node.value())
        .Field("control", event.member.metadata->control_address)
        .Field("zone", event.member.metadata->zone);
  }
  for (const control::ControlEvent& event : actions.events) {
    const bool is_fault = event.kind == control::ControlEventKind::kSettingsRefused ||
                          event.kind == control::ControlEventKind::kStoreUnreadable ||
                          event.kind == control::ControlEventKind::kRecordMalformed;
    telemetry::Event(is_fault ? telemetry::Level::kWarning : telemetry::Level::kInfo,
                     std::string(control::ControlEventName(event.kind)))
        .Field("number", event.number)
        .Field("detail", event.detail);
  }
}

void ControlTask::OfferView() {
  if (waiting_view_ != nullptr && view_handler_(waiting_view_)) {
    waiting_view_ = nullptr;
  }
}

void ControlTask::NoteContact(const transport::Envelope& envelope) {
  node_->NoteContact(envelope.sender, envelope.kind, clock_.Now());
}

void ControlTask::OfferContacts() {
  const base::TimePoint now = clock_.Now();
  control::AgentContacts& contacts = node_->Contacts();
  if (contact_handler_ != nullptr && contacts.IsReportDue(now) &&
      contact_handler_(contacts.Pending())) {
    contacts.OnReported(now);
  }
}

control::StoreStatus ControlTask::StoreState() const {
  control::StoreStatus status;
  status.in_use = store_.has_value();
  if (status.in_use) {
    status.streaming = store_->watch->IsStreaming();
    status.lease = LeaseStatusText(store_->lease->View());
  }
  return status;
}

void ControlTask::AddHandlers(telemetry::AdminServer& admin) {
  admin.AddReadinessCheck([this] { return readiness_.Missing(*node_); });
  admin.Handle("/status", [this](const telemetry::AdminRequest&) {
    return telemetry::AdminResponse{200, kJson,
                                    control::FormatStatus(*node_, StoreState(), clock_.Now())};
  });
  admin.Handle("/explain", [this](const telemetry::AdminRequest& request) {
    const std::string service = request.Parameter("service");
    const std::optional<base::SocketAddress> source =
        base::SocketAddress::Parse(request.Parameter("source"));
    if (service.empty() || !source.has_value()) {
      return telemetry::AdminResponse{kBadRequest, "text/plain",
                                      "needs service=NAME and source=ADDRESS:PORT\n"};
    }
    const std::optional<std::string> text = control::ExplainFlow(*node_, service, *source);
    return text.has_value() ? telemetry::AdminResponse{200, kJson, *text}
                            : telemetry::AdminResponse{kNotFound, "text/plain",
                                                       "no such service is in force here\n"};
  });
}

}  // namespace gaugevalve::daemon
