// Runs flows against `datagram` services over real sockets and fills in a report.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "datagram_flow.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/standins/address_flags.h"
#include "gaugevalve/tasks/timer.h"
#include "gaugevalve/tasks/udp_batch.h"
#include "gaugevalve/tasks/udp_socket.h"
#include "gaugevalve/tasks/watch.h"
#include "port_quarantine.h"
#include "run_report.h"

namespace gaugevalve::load {

// The load of a run. Rates and limits are for each service.
struct DatagramRunSettings {
  std::vector<standins::NamedAddress> services;  // by name, with their virtual address
  double flows_per_second = 0;
  std::uint64_t max_open_flows = 0;     // a flow that is due above it isn't opened
  base::Duration duration{};            // for which flows are opened
  base::Duration mean_flow_lifetime{};  // exponentially distributed
  FlowTiming timing;
  std::size_t payload_bytes = 0;
  std::uint64_t seed = 1;
  std::set<std::uint16_t> used_ports{};  // source ports of earlier runs: no flow has one of them
};

// Opens flows at the set rate, each on a socket and a source port of its own, which no other flow
// has within 30 s of its end. A flow for which no such port is found isn't opened. When the
// duration is over, flows end with the answer they wait for; then the loop is made to end. Runs on
// the loop's thread; loop and report must outlive it.
class DatagramRun {
 public:
  DatagramRun(event_base* loop, const DatagramRunSettings& settings, RunReport& report);
  ~DatagramRun();

  // Starts the run. At most once.
  void Start();

  // Ends the run early, as when the duration is over.
  void EndSoon();

  // Returns the source ports of earlier runs and of this one's flows.
  const std::set<std::uint16_t>& UsedPorts() const { return used_ports_; }

 private:
  struct OpenFlow;
  struct Service;

  void OnTick();
  void OpenDueFlows(Service& service, base::TimePoint now);
  void OpenOneFlow(Service& service, base::TimePoint now);
  std::optional<tasks::UdpSocket> ConnectFromFreshPort(const base::SocketAddress& target,
                                                       base::TimePoint now);
  void OnFlowTimer(OpenFlow& flow);
  void OnFlowReadable(OpenFlow& flow);
  void JudgeDatagram(OpenFlow& flow, std::span<const std::uint8_t> bytes, base::TimePoint now);
  void Continue(OpenFlow& flow, base::TimePoint now);
  void RemoveEndedFlows();

  event_base* loop_;
  DatagramRunSettings settings_;
  RunReport& report_;
  base::SystemClock clock_;
  base::RandomSource random_;
  tasks::UdpReceiveBatch received_;
  tasks::Timer tick_;
  base::TimePoint last_tick_{};
  base::TimePoint ends_at_{};
  bool ending_ = false;
  std::uint64_t flows_opened_ = 0;
  std::vector<std::unique_ptr<Service>> services_;
  std::vector<std::unique_ptr<OpenFlow>> flows_;
  PortQuarantine ended_ports_;
  std::set<std::uint16_t> used_ports_;
};

}  // namespace gaugevalve::load
