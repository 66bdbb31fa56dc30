// The agent's data task: a thread with the data socket and the service's module.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "agent_output.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/control/node_view.h"
#include "gaugevalve/daemon/loop_monitor.h"
#include "gaugevalve/daemon/reason_counters.h"
#include "gaugevalve/quic/credentials.h"
#include "gaugevalve/routing/agent_report.h"
#include "gaugevalve/tasks/inbox.h"
#include "gaugevalve/tasks/task.h"
#include "gaugevalve/tasks/timer.h"
#include "gaugevalve/tasks/udp_batch.h"
#include "gaugevalve/tasks/udp_socket.h"
#include "service_module.h"

namespace gaugevalve::agent {

using ViewPointer = std::shared_ptr<const control::NodeView>;

// Asks the data task to drain.
struct StartDraining {};

// A message about requests from another agent of the service.
struct PeerMessage {
  base::NodeId sender;
  std::string payload;
};

// Other agents of the service that the control task has heard.
struct ContactReport {
  std::vector<routing::AgentContact> contacts;
};

// A message from another task of this agent to the data task: a newer view, a request to drain, a
// newer certificate or contacts with other agents.
using AgentMessage =
    std::variant<ViewPointer, StartDraining, quic::CertificateCredentials, ContactReport>;

// Status that the data task reports a few times per second.
struct AgentStatus {
  routing::AgentReport report;  // for the planner
  bool is_named = false;        // the tables still list this agent
};

// Parameters of the data task.
struct AgentWorkerSettings {
  base::SocketAddress data_address;
  base::SocketAddress egress_address;
  base::ServiceId service;
  std::string endpoint = {};  // name in the settings tree; empty if it has no settings there
};

// Receives datagrams from balancers and other agents, decodes them and gives them to the service's
// module. Takes no lock; other threads communicate with it through Send() only.
class AgentWorker {
 public:
  // Creates the module on the data task's loop. Called once, from the constructor.
  using ModuleFactory =
      std::function<std::unique_ptr<ServiceModule>(event_base* loop, AgentOutput& output)>;

  // Called in the data task's thread; must not block.
  using StatusHandler = std::function<void(AgentStatus status)>;

  // Binds the data port; throws std::system_error, naming the address, when that fails.
  AgentWorker(const AgentWorkerSettings& settings, const ModuleFactory& make_module,
              StatusHandler status_handler, prometheus::Registry& registry);

  // Starts the task.
  void Start() { task_.Start(); }

  // Stops the thread and waits for it to end. Open flows are broken off.
  void Stop();

  // Sends the task a message. Returns false when its inbox is full: try again later. Any thread.
  bool Send(AgentMessage message) { return inbox_.TrySend(std::move(message)); }

  // Sends the task a message of another agent, through an inbox of its own: other agents send as
  // fast as they like. Returns false when it is full; the message may be dropped. Any thread.
  bool Send(PeerMessage message) { return peer_inbox_.TrySend(std::move(message)); }

  // Returns the address bound, with the port the system chose.
  base::SocketAddress DataAddress() const { return socket_.LocalAddress(); }

 private:
  void OnMessage(const AgentMessage& message);
  void ApplyView(const control::NodeView& view);
  void OnReadable();
  void OnTick();
  void HandleDatagram(std::size_t index, base::TimePoint now);

  base::SystemClock clock_;
  AgentWorkerSettings settings_;
  tasks::UdpSocket socket_;
  tasks::UdpReceiveBatch received_;
  AgentOutput output_;
  StatusHandler status_handler_;
  daemon::PublishedCounter received_count_;
  daemon::ReasonCounters malformed_;
  tasks::Task task_;
  daemon::LoopMonitor loop_monitor_;
  std::unique_ptr<ServiceModule> module_;
  tasks::Inbox<AgentMessage> inbox_;
  tasks::Inbox<PeerMessage> peer_inbox_;
  tasks::Watch readable_;
  tasks::Timer tick_timer_;
};

}  // namespace gaugevalve::agent
