#include "datagram_run.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace gaugevalve::load {
namespace {

constexpr base::Duration kTickInterval = std::chrono::milliseconds(5);

// Answers read from one flow's socket at a time: it waits for one, and a few may be duplicates.
constexpr std::size_t kDatagramsPerTurn = 8;

// Flow numbers of runs with different seeds don't overlap, so ledgers can tell the runs apart.
constexpr unsigned kSeedShift = 32;

// Longer than any process is frozen and any datagram delayed in the deployments under test.
constexpr base::Duration kPortQuarantine = std::chrono::seconds(30);

// Ports that the system may offer before one is free of quarantine. At 500 flows a second more than
// half of Linux's 28,000 are held back.
constexpr std::size_t kMaxPortOffers = 32;

}  // namespace

struct DatagramRun::Service {
  standins::NamedAddress target;
  ServiceReport* report = nullptr;
  double due_flows = 0;  // flows that the rate allows by now
  std::uint64_t open_flows = 0;
};

struct DatagramRun::OpenFlow {
  OpenFlow(DatagramRun& run, Service& its_service, DatagramFlow flow, tasks::UdpSocket its_socket)
      : service(its_service),
        core(std::move(flow)),
        socket(std::move(its_socket)),
        timer(run.loop_, [this, &run] { run.OnFlowTimer(*this); }),
        watch(tasks::Watch::Readable(run.loop_, socket.Descriptor(),
                                     [this, &run] { run.OnFlowReadable(*this); })) {}

  Service& service;
  DatagramFlow core;
  tasks::UdpSocket socket;
  tasks::Timer timer;
  tasks::Watch watch;
};

DatagramRun::DatagramRun(event_base* loop, const DatagramRunSettings& settings, RunReport& report)
    : loop_(loop),
      settings_(settings),
      report_(report),
      random_(settings.seed),
      received_(kDatagramsPerTurn),
      tick_(loop, [this] { OnTick(); }),
      ended_ports_(kPortQuarantine),
      used_ports_(settings.used_ports) {
  for (const standins::NamedAddress& target : settings_.services) {
    services_.push_back(std::make_unique<Service>(Service{target, &report_.services[target.name]}));
  }
}

DatagramRun::~DatagramRun() = default;

void DatagramRun::Start() {
  last_tick_ = clock_.Now();
  ends_at_ = last_tick_ + settings_.duration;
  tick_.StartPeriodic(kTickInterval);
}

void DatagramRun::EndSoon() {
  ending_ = true;
  const base::TimePoint now = clock_.Now();
  for (const auto& flow : flows_) {
    flow->core.EndSoon(now);
    Continue(*flow, now);
  }
}

void DatagramRun::OnTick() {
  RemoveEndedFlows();
  const base::TimePoint now = clock_.Now();
  if (!ending_ && now >= ends_at_) {
    EndSoon();
  }
  if (ending_ && flows_.empty()) {
    event_base_loopbreak(loop_);
    return;
  }
  if (!ending_) {
    for (const auto& service : services_) {
      OpenDueFlows(*service, now);
    }
  }
  last_tick_ = now;
}

void DatagramRun::OpenDueFlows(Service& service, base::TimePoint now) {
  const std::chrono::duration<double> elapsed = now - last_tick_;
  service.due_flows += elapsed.count() * settings_.flows_per_second;
  while (service.due_flows >= 1) {
    service.due_flows -= 1;
    if (service.open_flows < settings_.max_open_flows) {
      OpenOneFlow(service, now);
    }
  }
}

void DatagramRun::OpenOneFlow(Service& service, base::TimePoint now) {
  std::optional<tasks::UdpSocket> socket = ConnectFromFreshPort(service.target.address, now);
  if (!socket) {
    return;
  }
  used_ports_.insert(socket->LocalAddress().port);
  const std::uint64_t number = (settings_.seed << kSeedShift) + ++flows_opened_;
  const double mean_lifetime = static_cast<double>(settings_.mean_flow_lifetime.count());
  const base::Duration lifetime(static_cast<std::int64_t>(random_.NextExponential(mean_lifetime)));
  flows_.push_back(std::make_unique<OpenFlow>(
      *this, service, DatagramFlow(number, service.target.name, settings_.timing, now + lifetime),
      std::move(*socket)));
  ++service.open_flows;
  ++service.report->flows_opened;
  OnFlowTimer(*flows_.back());
}

std::optional<tasks::UdpSocket> DatagramRun::ConnectFromFreshPort(const base::SocketAddress& target,
                                                                  base::TimePoint now) {
  std::vector<tasks::UdpSocket> refused;  // kept open meanwhile, so that others are offered
  while (refused.size() < kMaxPortOffers) {
    tasks::UdpSocket socket = tasks::UdpSocket::Connect(target);
    const std::uint16_t port = socket.LocalAddress().port;
    if (!ended_ports_.Holds(port, now) && !settings_.used_ports.contains(port)) {
      return socket;
    }
    refused.push_back(std::move(socket));
  }
  return std::nullopt;
}

void DatagramRun::OnFlowTimer(OpenFlow& flow) {
  const base::TimePoint now = clock_.Now();
  const std::optional<standins::EchoRequest> request = flow.core.OnTimer(now);
  if (request) {
    flow.socket.Send(standins::EncodeEchoRequest(*request, settings_.payload_bytes));
  }
  Continue(flow, now);
}

void DatagramRun::OnFlowReadable(OpenFlow& flow) {
  const base::TimePoint now = clock_.Now();
  const std::size_t count = received_.Receive(flow.socket.Descriptor());
  for (std::size_t index = 0; index < count && !flow.core.HasEnded(); ++index) {
    JudgeDatagram(flow, received_.Datagram(index), now);
  }
  Continue(flow, now);
}

void DatagramRun::JudgeDatagram(OpenFlow& flow, std::span<const std::uint8_t> bytes,
                                base::TimePoint now) {
  ServiceReport& report = *flow.service.report;
  const std::optional<standins::EchoAnswer> answer = standins::DecodeEchoAnswer(bytes);
  if (!answer) {
    ++report.malformed;
    return;
  }
  const bool is_first_answer = flow.core.Endpoint().empty();
  const AnswerVerdict verdict = flow.core.OnAnswer(*answer, now);
  switch (verdict.kind) {
    case AnswerKind::kAnswer:
      ++report.answered;
      ++report.endpoints[answer->endpoint].requests;
      report.endpoints[answer->endpoint].flows += is_first_answer ? 1 : 0;
      report.latencies.Add(verdict.latency);
      break;
    case AnswerKind::kDuplicate:
      ++report.duplicates;
      break;
    case AnswerKind::kCrossed:
      ++report.crossed;
      break;
    case AnswerKind::kBreaking:
      break;  // counted when the flow is removed
  }
}

void DatagramRun::Continue(OpenFlow& flow, base::TimePoint now) {
  if (flow.core.HasEnded()) {
    flow.timer.Cancel();
    return;
  }
  flow.timer.StartOnce(std::max(flow.core.WakeUpAt() - now, base::Duration::zero()));
}

void DatagramRun::RemoveEndedFlows() {
  const base::TimePoint now = clock_.Now();
  std::erase_if(flows_, [this, now](const std::unique_ptr<OpenFlow>& flow) {
    if (!flow->core.HasEnded()) {
      return false;
    }
    --flow->service.open_flows;
    flow->service.report->RecordEnd(flow->core);
    ended_ports_.Add(flow->socket.LocalAddress().port, now);
    return true;
  });
}

}  // namespace gaugevalve::load
