// The control side of a daemon: a ControlNode with its sockets, timers and store client.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gaugevalve/base/clock.h"
#include "gaugevalve/control/control_node.h"
#include "gaugevalve/control/readiness.h"
#include "gaugevalve/control/status_document.h"
#include "gaugevalve/lease/lease_task.h"
#include "gaugevalve/settings/node_settings.h"
#include "gaugevalve/store/store_client.h"
#include "gaugevalve/tasks/timer.h"
#include "gaugevalve/telemetry/admin_server.h"
#include "gaugevalve/transport/nng_peer_transport.h"

namespace gaugevalve::daemon {

// What the daemon gives its control task.
struct ControlTaskSettings {
  settings::NodeSettings node;
  base::Incarnation life;
  base::SocketAddress data_address;  // as bound
};

// Runs on the loop of the thread that makes it and owns everything of its own; the data task gets
// immutable views. A balancer that is among the store's readers has a store client, a watch on the
// settings and a candidate for the coordinator's lease; the others don't touch the store.
class ControlTask final : private store::WatchObserver {
 public:
  // Hands a view to the data task; returns false when its inbox is full: it is offered again.
  using ViewHandler = std::function<bool(std::shared_ptr<const control::NodeView>)>;

  // Called when a newer process has this node's name: this one must end.
  using SupersededHandler = std::function<void()>;

  // Listens on the node's control address and adds /status, /explain and a readiness check to
  // `admin`. `loop` and `admin` must outlive the task. Throws transport::TransportError when it
  // can't listen.
  ControlTask(event_base* loop, const ControlTaskSettings& settings, telemetry::AdminServer& admin,
              ViewHandler view_handler, SupersededHandler superseded_handler);
  ~ControlTask() override;
  ControlTask(const ControlTask&) = delete;
  ControlTask& operator=(const ControlTask&) = delete;

  // Joins the group.
  void Start();

  // Takes the data task's newest report (agents).
  void UpdateReport(const routing::AgentReport& report);

  // Tells the group that this node gives up its work: planners take its buckets away.
  void StartLeaving();

  // Says farewell and calls `done` once others have had time to hear it.
  void Leave(std::function<void()> done);

  // Sends a message of the daemon's own to a live member; it may be lost, and is when the node
  // isn't known here.
  void SendToNode(base::NodeId node, transport::MessageKind kind, const std::string& payload);

  // Sets who takes messages of a kind that isn't the control task's own.
  void SetReceiver(transport::MessageKind kind, transport::PeerTransport::Receiver receiver);

  // Returns the control address, with the port the system chose.
  base::SocketAddress ControlAddress() const;

 private:
  // What a reader of the store has. Destroyed from the end to the front.
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
  void ReviewStoreAccess();
  void OpenStore();
  void RunTransaction(const settings::StoreTransaction& transaction);
  void Perform(control::ControlActions& actions);
  void Log(const control::ControlActions& actions) const;
  void OfferView();
  void AddHandlers(telemetry::AdminServer& admin);
  control::StoreStatus StoreState() const;

  event_base* loop_;
  settings::NodeSettings settings_;
  base::SystemClock clock_;
  ViewHandler view_handler_;
  SupersededHandler superseded_handler_;
  std::unique_ptr<transport::NngPeerTransport> transport_;
  std::unique_ptr<control::ControlNode> node_;
  control::Readiness readiness_;
  std::optional<StoreAccess> store_;
  base::TimePoint unwanted_since_{};  // the store isn't this node's to read since then
  base::TimePoint next_review_{};
  std::shared_ptr<const control::NodeView> waiting_view_;
  tasks::Timer timer_;
  tasks::Timer farewell_timer_;
  std::function<void()> farewell_done_;
};

}  // namespace gaugevalve::daemon
