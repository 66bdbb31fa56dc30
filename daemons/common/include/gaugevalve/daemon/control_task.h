// The control side of a daemon: a ControlNode with its sockets, timers and store client.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gaugevalve/base/clock.h"
#include "gaugevalve/control/control_node.h"
#include "gaugevalve/control/readiness.h"
#include "gaugevalve/control/status_document.h"
#include "gaugevalve/daemon/loop_monitor.h"
#include "gaugevalve/daemon/peer_message_drops.h"
#include "gaugevalve/lease/lease_task.h"
#include "gaugevalve/settings/node_settings.h"
#include "gaugevalve/store/store_client.h"
#include "gaugevalve/tasks/timer.h"
#include "gaugevalve/telemetry/admin_server.h"
#include "gaugevalve/transport/nng_peer_transport.h"

namespace gaugevalve::daemon {

// Parameters of a ControlTask.
struct ControlTaskSettings {
  settings::NodeSettings node;
  base::Incarnation incarnation;
  base::SocketAddress data_address;  // the bound address, including the port
};

// Runs on the loop of the thread that creates it and shares no mutable state: the data task gets
// immutable views. A balancer that is one of the store's readers has a store client, a watch on the
// settings and a candidate for the coordinator's lease. Other nodes don't access the store.
class ControlTask final : private store::WatchObserver {
 public:
  // Passes a view to the data task. Returns false when its inbox is full; the view is then offered
  // again.
  using ViewHandler = std::function<bool(std::shared_ptr<const control::NodeView>)>;

  // Passes contacts with agents of the own service to the data task. Returns false when its inbox
  // is full; they are then offered again.
  using ContactHandler = std::function<bool(std::vector<routing::AgentContact>)>;

  // Called when a newer process uses this node's name, so that this process must end.
  using SupersededHandler = std::function<void()>;

  // Listens on the node's control address and adds /status, /explain and a readiness check to
  // `admin`. `loop`, `admin` and `registry` must outlive the task. Throws transport::TransportError
  // when it can't listen.
  ControlTask(event_base* loop, const ControlTaskSettings& settings, telemetry::AdminServer& admin,
              prometheus::Registry& registry, ViewHandler view_handler,
              SupersededHandler superseded_handler);
  ~ControlTask() override;
  ControlTask(const ControlTask&) = delete;
  ControlTask& operator=(const ControlTask&) = delete;

  // Joins the group.
  void Start();

  // Sets the data task's newest report. Used by agents.
  void UpdateReport(const routing::AgentReport& report);

  // Announces to the group that this node is leaving, so that planners reassign its buckets.
  void StartLeaving();

  // Announces to the group that this node has left and calls `done` once the announcement has had
  // time to arrive.
  void Leave(std::function<void()> done);

  // Sends a message of the daemon to a live member. Delivery is not guaranteed; messages to unknown
  // nodes are dropped and counted.
  void SendToNode(base::NodeId node, transport::MessageKind kind, const std::string& payload,
                  transport::TrafficClass traffic);

  // Sets the receiver of a message kind that the control task doesn't handle itself.
  void SetReceiver(transport::MessageKind kind, transport::PeerTransport::Receiver receiver);

  // Sets who is told of agents that this node hears. Call it before Start().
  void SetContactHandler(ContactHandler handler) { contact_handler_ = std::move(handler); }

  /// Records messages of the daemon that were dropped on their way to or from this task.
  /// `peer` is the other node, or nothing if it isn't known.
  void RecordDroppedMessages(PeerMessageDrop drop, std::uint64_t count,
                             std::optional<base::NodeId> peer) {
    m_drops.Record(drop, count, peer, clock_.Now());
  }

  // Returns the control address, with the port the system chose.
  base::SocketAddress ControlAddress() const;

 private:
  // Objects of a reader of the store. Members are destroyed in reverse order, as they require.
  struct StoreAccess {
    std::unique_ptr<store::StoreClient> client;
    std::unique_ptr<store::Watch> watch;
    std::unique_ptr<lease::LeaseTask> lease;
  };

  void OnSnapshot(const store::WatchSnapshot& snapshot) override;
  void OnChanges(const store::WatchChanges& changes) override;
  void OnStreaming(bool streaming) override;
  void OnLease(const lease::LeaseView& view);
  void OnTimer();
  void UpdateStoreAccess();
  void OpenStore();
  void RunTransaction(const settings::StoreTransaction& transaction);
  void Perform(control::ControlActions& actions);
  void Send(const base::SocketAddress& destination, transport::MessageKind kind,
            std::string payload,
            transport::TrafficClass traffic = transport::TrafficClass::kControl,
            std::optional<base::NodeId> peer = std::nullopt);
  void Log(const control::ControlActions& actions) const;
  void OfferView();
  void NoteContact(const transport::Envelope& envelope);
  void OfferContacts();
  void AddHandlers(telemetry::AdminServer& admin);
  control::StoreStatus StoreState() const;

  event_base* loop_;
  settings::NodeSettings settings_;
  base::SystemClock clock_;
  PeerMessageDrops m_drops;
  LoopMonitor m_loop_monitor;
  ViewHandler view_handler_;
  SupersededHandler superseded_handler_;
  ContactHandler contact_handler_;
  std::unique_ptr<transport::NngPeerTransport> transport_;
  std::unique_ptr<control::ControlNode> node_;
  control::Readiness readiness_;
  std::optional<StoreAccess> store_;
  base::TimePoint unneeded_since_{};  // since when this node should no longer read the store
  base::TimePoint next_review_{};
  std::shared_ptr<const control::NodeView> waiting_view_;
  tasks::Timer timer_;
  tasks::Timer leave_timer_;
  std::function<void()> leave_done_;
};

}  // namespace gaugevalve::daemon
