// gaugevalve-balancer: receives the datagrams that the fabric distributes over the balancers,
// chooses the agent of each and forwards it.

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include "balancer_worker.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/connection_id/codec.h"
#include "gaugevalve/connection_id/key_set.h"
#include "gaugevalve/daemon/command_line.h"
#include "gaugevalve/daemon/control_task.h"
#include "gaugevalve/daemon/drop_log.h"
#include "gaugevalve/daemon/exit_code.h"
#include "gaugevalve/daemon/incarnation.h"
#include "gaugevalve/daemon/log_loss_counter.h"
#include "gaugevalve/daemon/shutdown_signals.h"
#include "gaugevalve/daemon/static_view.h"
#include "gaugevalve/forwarding/codec_router.h"
#include "gaugevalve/tasks/task.h"
#include "gaugevalve/tasks/timer.h"
#include "gaugevalve/telemetry/admin_server.h"
#include "gaugevalve/telemetry/event.h"
#include "gaugevalve/telemetry/logging.h"
#include "prometheus/registry.h"

namespace {

using namespace gaugevalve;  // NOLINT(google-build-using-namespace): a program's only file

constexpr char kPurpose[] =
    "gaugevalve-balancer --settings FILE: receives datagrams from the network's fabric and "
    "forwards each to the agent that owns its flow.\n"
    "Exit codes: 0 ended as asked, 1 failure, 2 findings, 3 ended by a second signal.";

constexpr base::Duration kDropLogPeriod = std::chrono::seconds(10);
constexpr base::Duration kDrainPollPeriod = std::chrono::milliseconds(100);
// A draining balancer ends once it has received no datagram for this time: the fabric then no
// longer sends to it.
constexpr base::Duration kDrainQuietTime = std::chrono::seconds(1);

// Returns a router that uses the key file of the settings, or null if they name none. Throws
// base::FindingsError if the key file is invalid.
std::unique_ptr<const forwarding::ConnectionIdRouter> MakeRouter(
    const settings::NodeSettings& node) {
  if (node.connection_id_key_file.empty()) {
    return nullptr;
  }
  base::Findings findings;
  const auto keys = connection_id::KeySet::Load(node.connection_id_key_file, findings);
  if (!findings.empty()) {
    throw base::FindingsError(std::move(findings));
  }
  return std::make_unique<forwarding::CodecRouter>(
      std::make_shared<const connection_id::Codec>(keys));
}

// Components of a running balancer. Uses the main thread's loop.
class Balancer {
 public:
  explicit Balancer(const daemon::CommandLine& command_line)
      : command_line_(command_line),
        registry_(std::make_shared<prometheus::Registry>()),
        router_(MakeRouter(command_line.settings)),
        worker_(command_line.settings.data_address, flow::SourceLimiterSettings(), router_.get(),
                *registry_),
        admin_(loop_.get(), command_line.settings.admin_address, registry_),
        malformed_log_(*registry_, "gaugevalve_balancer_datagrams_malformed_total"),
        drop_log_(*registry_, "gaugevalve_balancer_datagrams_dropped_total"),
        log_losses_(*registry_),
        drop_timer_(loop_.get(), [this] { WriteDropLogs(); }),
        drain_timer_(loop_.get(), [this] { PollDrain(); }),
        signals_(
            loop_.get(), [this] { StartDrain(); }, [this] { End(daemon::kForcedStop); }) {}

  // Runs until the process should end. Returns the exit code.
  int Run() {
    PublishFirstView();
    worker_.Start();
    drop_timer_.StartPeriodic(kDropLogPeriod);
    telemetry::Event(telemetry::Level::kInfo, "balancer_started")
        .Field("name", command_line_.settings.name)
        .Field("data", worker_.DataAddress())
        .Field("admin", admin_.BoundAddress());
    event_base_dispatch(loop_.get());
    worker_.Stop();
    telemetry::Event(telemetry::Level::kInfo, "balancer_stopped").Field("exit_code", exit_code_);
    return exit_code_;
  }

 private:
  // With static settings the first view never changes. Otherwise the control task sends newer ones.
  void PublishFirstView() {
    const settings::NodeSettings& node = command_line_.settings;
    if (node.static_settings) {
      worker_.PublishView(daemon::MakeStaticView(node, base::Incarnation()));
      return;
    }
    control_ = std::make_unique<daemon::ControlTask>(
        loop_.get(),
        daemon::ControlTaskSettings{node, daemon::MakeIncarnation(), worker_.DataAddress()}, admin_,
        *registry_, [this](const balancer::ViewPointer& view) { return worker_.PublishView(view); },
        [this] { End(daemon::kFailure); });
    control_->Start();
  }

  void WriteDropLogs() {
    malformed_log_.Write();
    drop_log_.Write();
    log_losses_.Update();
  }

  void StartDrain() {
    telemetry::Event(telemetry::Level::kInfo, "drain_started")
        .Field("name", command_line_.settings.name);
    admin_.AddReadinessCheck([] { return std::vector<std::string>{"draining"}; });
    drain_started_ = clock_.Now();
    drain_timer_.StartPeriodic(kDrainPollPeriod);
    if (control_ != nullptr) {
      control_->StartLeaving();
    }
  }

  void PollDrain() {
    const base::TimePoint now = clock_.Now();
    const base::TimePoint last = std::max(worker_.LastDatagramAt(), drain_started_);
    if (now - last >= kDrainQuietTime || now - drain_started_ >= command_line_.drain_timeout) {
      drain_timer_.Cancel();
      LeaveAndEnd();
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
  base::SystemClock clock_;
  tasks::LoopPointer loop_ = tasks::MakeLoop();
  std::shared_ptr<prometheus::Registry> registry_;
  std::unique_ptr<const forwarding::ConnectionIdRouter> router_;  // null without keys
  balancer::BalancerWorker worker_;
  telemetry::AdminServer admin_;
  std::unique_ptr<daemon::ControlTask> control_;  // null with static settings
  daemon::DropLog malformed_log_;
  daemon::DropLog drop_log_;
  daemon::LogLossCounter log_losses_;
  tasks::Timer drop_timer_;
  tasks::Timer drain_timer_;
  daemon::ShutdownSignals signals_;
  base::TimePoint drain_started_{};
  int exit_code_ = daemon::kSuccess;
};

int Main(int argc, char** argv) {
  const daemon::CommandLine command_line =
      daemon::ParseCommandLine(argc, argv, settings::NodeRole::kBalancer, kPurpose);
  if (command_line.check_only) {
    return daemon::kSuccess;
  }
  const telemetry::LoggingSession logging(command_line.log_level, STDERR_FILENO);
  daemon::EndProcess(Balancer(command_line).Run());
}

}  // namespace

int main(int argc, char** argv) { return gaugevalve::daemon::RunMain(Main, argc, argv); }
