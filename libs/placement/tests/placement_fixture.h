// Addresses, packets, reports and routes shared by the placement tests.
#pragma once

#include <string>

#include "gaugevalve/placement/agent_report.h"
#include "gaugevalve/placement/flow_packet.h"
#include "gaugevalve/placement/forward_header.h"
#include "gaugevalve/placement/route_table.h"

namespace gaugevalve::placement::testing {

inline constexpr std::uint16_t kNodePort = 7000;
inline const base::ServiceId orders_service = base::MakeServiceId("orders");
inline const base::ServiceId drawings_service = base::MakeServiceId("drawings");
inline const base::SocketAddress virtual_address = base::SocketAddress::Ipv4(0xc6120001, 443);

inline base::TimePoint At(std::int64_t milliseconds) {
  return base::TimePoint(std::chrono::milliseconds(milliseconds));
}

inline base::SocketAddress Node(std::uint32_t number) {
  return base::SocketAddress::Ipv4(0x0a000000 + number, kNodePort);
}

inline FlowKey Flow(std::uint16_t port, const base::SocketAddress& destination = virtual_address) {
  return {base::SocketAddress::Ipv4(0x64400007, port), destination};
}

inline FlowPacket Opening(const FlowKey& flow, std::uint32_t sequence = 100) {
  FlowPacket packet;
  packet.flow = flow;
  packet.is_opening = true;
  packet.is_synchronizing = true;
  packet.sequence = sequence;
  return packet;
}

inline FlowPacket Data(const FlowKey& flow, std::uint32_t sequence, std::uint16_t size = 10) {
  FlowPacket packet;
  packet.flow = flow;
  packet.is_acknowledging = true;
  packet.sequence = sequence;
  packet.acknowledged = 5000;
  packet.data_size = size;
  return packet;
}

inline AgentReport Report(std::uint64_t sequence, std::uint32_t busy = 0,
                          EndpointStanding standing = EndpointStanding::kAdmitting) {
  AgentReport report;
  report.incarnation = base::Incarnation(7);
  report.sequence = sequence;
  report.service = orders_service;
  report.zone = "east";
  report.standing = standing;
  report.endpoint = {"i-1"};
  report.load.capacity = 4;
  report.load.busy = busy;
  report.load.busy_average = busy;
  report.load.answer_time = std::chrono::milliseconds(50);
  return report;
}

inline RouteTable Routes(std::uint64_t version) {
  RouteTable table;
  table.version = version;
  Route route;
  route.address = virtual_address;
  route.services = {{orders_service, 1}};
  route.request_class.target_latency = std::chrono::milliseconds(250);
  table.routes[virtual_address] = route;
  return table;
}

}  // namespace gaugevalve::placement::testing
