// The module for `datagram` services: a connected UDP socket to the endpoint for each flow.
#pragma once

#include <event2/event.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "agent_output.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/daemon/reason_counters.h"
#include "gaugevalve/flow/flow_core.h"
#include "gaugevalve/tasks/udp_batch.h"
#include "gaugevalve/tasks/udp_socket.h"
#include "gaugevalve/tasks/watch.h"
#include "prometheus/gauge.h"
#include "prometheus/registry.h"
#include "service_module.h"

namespace gaugevalve::agent {

// Why a datagram was lost between the agent and its endpoint.
enum class EndpointFailure : std::uint8_t {
  kNoSocket,        // no socket could be opened for a new flow, which is closed again
  kNotSent,         // sending failed, or no process listens at the endpoint
  kOversizeAnswer,  // an answer exceeds the data path's maximum length
};

inline constexpr std::size_t kEndpointFailureCount = 3;

std::string_view ToString(EndpointFailure failure);

// Relays flows to the endpoint and its answers to the fabric's egress. The flow core makes the
// routing decisions; this class owns the sockets. Runs in the data task's thread.
class DatagramService final : public ServiceModule {
 public:
  // `loop` and `output` must outlive this.
  DatagramService(event_base* loop, AgentOutput& output, const base::SocketAddress& endpoint,
                  const flow::AgentIdentity& identity, const flow::FlowCoreSettings& settings,
                  prometheus::Registry& registry);

  void SetView(const control::ServiceView& service, base::TimePoint confirmed_at) override;
  void SetEndpoint(const settings::EndpointSettings& endpoint) override;
  void HandleDatagram(const wire::ProxyDatagram& datagram, wire::ForwardingHeader& header,
                      base::TimePoint now) override;
  void HandleTick(base::TimePoint now) override;
  void StartDraining(base::TimePoint now) override { core_.StartDraining(now); }
  void FillReport(routing::AgentReport& report) const override { core_.FillReport(report); }
  bool IsNamed() const override { return core_.Ownership().IsNamed(); }
  void PublishCounters() override;

 private:
  // The agent's side of one flow.
  struct EndpointSocket {
    tasks::UdpSocket socket;
    tasks::Watch readable;
  };

  void RelayToEndpoint(const flow::Relay& relay, const wire::ProxyDatagram& datagram);
  bool OpenSocket(flow::FlowId flow);
  void RelayAnswers(flow::FlowId flow);

  base::SystemClock clock_;
  event_base* loop_;
  AgentOutput* output_;
  base::SocketAddress endpoint_;
  flow::FlowCore core_;
  std::vector<std::optional<EndpointSocket>> sockets_;  // index = FlowId
  tasks::UdpReceiveBatch answers_;
  daemon::PublishedCounter opened_;
  daemon::PublishedCounter relayed_;
  daemon::ReasonCounters dropped_;
  daemon::ReasonCounters endpoint_failures_;
  prometheus::Gauge* open_flows_;
};

}  // namespace gaugevalve::agent
