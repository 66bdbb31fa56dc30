// gaugevalve-agent: runs beside one endpoint, owns the endpoint's flows and relays them.

#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "agent_worker.h"
#include "datagram_service.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/daemon/command_line.h"
#include "gaugevalve/daemon/control_task.h"
#include "gaugevalve/daemon/drop_log.h"
#include "gaugevalve/daemon/exit_code.h"
#include "gaugevalve/daemon/incarnation.h"
#include "gaugevalve/daemon/log_loss_counter.h"
#include "gaugevalve/daemon/shutdown_signals.h"
#include "gaugevalve/daemon/static_view.h"
#include "gaugevalve/tasks/inbox.h"
#include "gaugevalve/tasks/task.h"
#include "gaugevalve/tasks/timer.h"
#include "gaugevalve/tasks/watch.h"
#include "gaugevalve/telemetry/admin_server.h"
#include "gaugevalve/telemetry/event.h"
#include "gaugevalve/telemetry/logging.h"
#include "http3_service.h"
#include "http3_setup.h"
#include "peer_outbox.h"
#include "prometheus/registry.h"
#include "request_service.h"

namespace {

using namespace gaugevalve;  // NOLINT(google-build-using-namespace): a program's only file

constexpr char kPurpose[] =
    "gaugevalve-agent --settings FILE: runs beside one endpoint, owns its flows and relays them.\n"
    "SIGHUP reads the certificate files again.\n"
    "Exit codes: 0 ended as asked, 1 failure, 2 findings, 3 ended by a second signal, 4 the drain "
    "took longer than --drain_timeout.";

constexpr std::size_t kStatusInboxCapacity = 16;
constexpr std::size_t kPeerOutboxCapacity = 1024;
constexpr base::Duration kDropLogPeriod = std::chrono::seconds(10);
constexpr base::Duration kDrainPollPeriod = std::chrono::milliseconds(100);
constexpr base::Duration kDeliveryRetryDelay = std::chrono::milliseconds(20);

// Raises the soft limit of file descriptors to the hard limit, since each flow needs a socket.
void RaiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

// Components of a running agent. Uses the main thread's loop.
class Agent {
 public:
  explicit Agent(const daemon::CommandLine& command_line)
      : command_line_(command_line),
        node_(command_line_.settings),
        identity_{node_.Id(), daemon::MakeIncarnation(), base::MakeServiceId(node_.agent->service)},
        registry_(std::make_shared<prometheus::Registry>()),
        statuses_(loop_.get(), kStatusInboxCapacity,
                  [this](AgentStatus status) { UpdateStatus(std::move(status)); }),
        peer_outbox_(loop_.get(), kPeerOutboxCapacity,
                     [this](const agent::OutgoingPeerMessage& message) { SendToPeer(message); }),
        worker_(
            {node_.data_address, *node_.egress_address, identity_.service, node_.agent->endpoint},
            [this](event_base* loop, agent::AgentOutput& output) {
              return MakeModule(loop, output);
            },
            [this](AgentStatus status) { statuses_.TrySend(std::move(status)); }, *registry_),
        admin_(loop_.get(), node_.admin_address, registry_),
        malformed_log_(*registry_, "gaugevalve_agent_datagrams_malformed_total"),
        drop_log_(*registry_, "gaugevalve_agent_datagrams_dropped_total"),
        log_losses_(*registry_),
        drop_timer_(loop_.get(), [this] { WriteDropLogs(); }),
        drain_timer_(loop_.get(), [this] { PollDrain(); }),
        delivery_timer_(loop_.get(), [this] { DeliverWaiting(); }),
        signals_(
            loop_.get(), [this] { StartDrain(); }, [this] { End(daemon::kForcedStop); }),
        reload_watch_(tasks::Watch::Signal(loop_.get(), SIGHUP, [this] { ReloadCertificate(); })) {}

  // Runs until the process should end. Returns the exit code.
  int Run() {
    PublishFirstView();
    worker_.Start();
    drop_timer_.StartPeriodic(kDropLogPeriod);
    telemetry::Event(telemetry::Level::kInfo, "agent_started")
        .Field("name", node_.name)
        .Field("service", node_.agent->service)
        .Field("data", worker_.DataAddress())
        .Field("admin", admin_.BoundAddress());
    event_base_dispatch(loop_.get());
    worker_.Stop();
    telemetry::Event(telemetry::Level::kInfo, "agent_stopped").Field("exit_code", exit_code_);
    return exit_code_;
  }

 private:
  using AgentStatus = agent::AgentStatus;

  std::unique_ptr<agent::ServiceModule> MakeModule(event_base* loop, agent::AgentOutput& output) {
    if (agent::ServesHttp3(node_)) {
      return MakeHttp3Module(loop, output);
    }
    return std::make_unique<agent::DatagramService>(loop, output, *node_.agent->datagram_address,
                                                    identity_, flow::FlowCoreSettings(),
                                                    *registry_);
  }

  std::unique_ptr<agent::ServiceModule> MakeHttp3Module(event_base* loop,
                                                        agent::AgentOutput& output) {
    agent::Http3Files files = agent::LoadHttp3Files(node_);
    agent::RequestServiceSettings requests;
    requests.identity = identity_;
    requests.endpoint = *node_.agent->http_address;
    auto backend = std::make_unique<agent::RequestService>(
        loop, requests,
        [this](base::NodeId destination, std::string payload, transport::TrafficClass traffic) {
          peer_outbox_.Send({destination, std::move(payload), traffic});
        },
        *registry_);
    return std::make_unique<agent::Http3Service>(
        loop, output,
        agent::Http3ServiceSettings{identity_, {}, {}, files.codec, files.credentials},
        std::move(backend), *registry_);
  }

  void ReloadCertificate() {
    if (!agent::ServesHttp3(node_)) {
      return;
    }
    if (auto credentials = agent::ReloadCertificate(node_)) {
      Deliver(std::move(credentials));
    }
  }

  // With static settings the first view never changes. Otherwise the control task sends newer ones.
  void PublishFirstView() {
    if (node_.static_settings) {
      worker_.Send(daemon::MakeStaticView(node_, identity_.incarnation));
      return;
    }
    control_ = std::make_unique<daemon::ControlTask>(
        loop_.get(),
        daemon::ControlTaskSettings{node_, identity_.incarnation, worker_.DataAddress()}, admin_,
        *registry_, [this](const agent::ViewPointer& view) { return worker_.Send(view); },
        [this] { End(daemon::kFailure); });
    control_->SetContactHandler([this](std::vector<routing::AgentContact> contacts) {
      return worker_.Send(agent::ContactReport{std::move(contacts)});
    });
    control_->SetReceiver(
        transport::MessageKind::kRequestHandOver, [this](const transport::Envelope& envelope) {
          if (!worker_.Send(agent::PeerMessage{envelope.sender.node, envelope.payload})) {
            control_->RecordDroppedMessages(daemon::PeerMessageDrop::kInboxFull, 1,
                                            envelope.sender.node);
          }
        });
    control_->Start();
  }

  // Sends the data task a message that must not be lost; repeats it while the inbox is full.
  void Deliver(agent::AgentMessage message) {
    undelivered_.push_back(std::move(message));
    DeliverWaiting();
  }

  void DeliverWaiting() {
    while (!undelivered_.empty() && worker_.Send(undelivered_.front())) {
      undelivered_.pop_front();
    }
    if (!undelivered_.empty()) {
      delivery_timer_.StartOnce(kDeliveryRetryDelay);
    }
  }

  void SendToPeer(const agent::OutgoingPeerMessage& message) {
    if (control_ != nullptr) {
      control_->SendToNode(message.destination, transport::MessageKind::kRequestHandOver,
                           message.payload, message.traffic);
    }
  }

  // Counts the messages that the outbox has refused since the last call.
  void RecordRefusedMessages() {
    const std::uint64_t refused = peer_outbox_.RefusedCount();
    if (refused > recorded_refusals_) {
      control_->RecordDroppedMessages(daemon::PeerMessageDrop::kOutboxFull,
                                      refused - recorded_refusals_, std::nullopt);
      recorded_refusals_ = refused;
    }
  }

  void UpdateStatus(AgentStatus status) {
    status_ = std::move(status);
    if (control_ != nullptr) {
      RecordRefusedMessages();
      control_->UpdateReport(status_.report);
    }
  }

  void WriteDropLogs() {
    malformed_log_.Write();
    drop_log_.Write();
    log_losses_.Update();
  }

  void StartDrain() {
    telemetry::Event(telemetry::Level::kInfo, "drain_started")
        .Field("open_flows", status_.report.open_flows);
    admin_.AddReadinessCheck([] { return std::vector<std::string>{"draining"}; });
    drain_started_ = clock_.Now();
    Deliver(agent::StartDraining());
    if (control_ != nullptr) {
      control_->StartLeaving();
    }
    drain_timer_.StartPeriodic(kDrainPollPeriod);
  }

  // An agent without flows must keep running while tables list it, since others ask it for flows.
  void PollDrain() {
    const bool is_draining = status_.report.state == routing::AgentState::kDraining;
    const bool is_released = !status_.is_named || node_.static_settings.has_value();
    if (is_draining && status_.report.open_flows == 0 && is_released) {
      drain_timer_.Cancel();
      LeaveAndEnd();
    } else if (clock_.Now() - drain_started_ >= command_line_.drain_timeout) {
      telemetry::Event(telemetry::Level::kWarning, "drain_timed_out")
          .Field("open_flows", status_.report.open_flows);
      End(daemon::kDrainTimeout);
    }
  }

  void LeaveAndEnd() {
    if (control_ == nullptr) {
      End(daemon::kSuccess);
    } else {
      control_->Leave([this] { End(daemon::kSuccess); });
    }
  }

  void End(daemon::ExitCode exit_code) {
    exit_code_ = exit_code;
    event_base_loopbreak(loop_.get());
  }

  daemon::CommandLine command_line_;
  const settings::NodeSettings& node_;
  flow::AgentIdentity identity_;
  base::SystemClock clock_;
  tasks::LoopPointer loop_ = tasks::MakeLoop();
  std::shared_ptr<prometheus::Registry> registry_;
  AgentStatus status_;
  tasks::Inbox<AgentStatus> statuses_;
  agent::PeerOutbox peer_outbox_;
  std::uint64_t recorded_refusals_ = 0;  // of the outbox
  agent::AgentWorker worker_;
  telemetry::AdminServer admin_;
  std::unique_ptr<daemon::ControlTask> control_;  // null with static settings
  daemon::DropLog malformed_log_;
  daemon::DropLog drop_log_;
  daemon::LogLossCounter log_losses_;
  tasks::Timer drop_timer_;
  tasks::Timer drain_timer_;
  std::deque<agent::AgentMessage> undelivered_;
  tasks::Timer delivery_timer_;
  daemon::ShutdownSignals signals_;
  tasks::Watch reload_watch_;
  base::TimePoint drain_started_{};
  int exit_code_ = daemon::kSuccess;
};

int Main(int argc, char** argv) {
  const daemon::CommandLine command_line =
      daemon::ParseCommandLine(argc, argv, settings::NodeRole::kAgent, kPurpose);
  if (command_line.check_only) {
    if (agent::ServesHttp3(command_line.settings)) {
      agent::LoadHttp3Files(command_line.settings);
    }
    return daemon::kSuccess;
  }
  RaiseDescriptorLimit();
  const telemetry::LoggingSession logging(command_line.log_level, STDERR_FILENO);
  daemon::EndProcess(Agent(command_line).Run());
}

}  // namespace

int main(int argc, char** argv) { return gaugevalve::daemon::RunMain(Main, argc, argv); }
