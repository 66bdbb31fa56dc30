#include "gaugevalve/placement/node_message.h"

#include <algorithm>

#include "gaugevalve/placement/forward_header.h"
#include "gaugevalve/placement/placement.pb.h"

namespace gaugevalve::placement {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::uint32_t kMaxMilliseconds = 3'600'000;  // an hour; longer durations are clamped
constexpr std::size_t kMaxTextBytes = 200;             // limit for a zone's or endpoint's name
constexpr unsigned kPortBits = 16;
constexpr std::uint32_t kMaxAgents = 100'000;  // larger reported numbers of agents are clamped

std::uint32_t ToMilliseconds(base::Duration duration) {
  const auto count = duration_cast<milliseconds>(duration).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(count, 0, static_cast<std::int64_t>(kMaxMilliseconds)));
}

base::Duration FromMilliseconds(std::uint32_t count) {
  return milliseconds(std::min(count, kMaxMilliseconds));
}

std::uint32_t ToNumber(const base::SocketAddress& address) {
  constexpr unsigned kBitsPerByte = 8;
  std::uint32_t number = 0;
  for (std::size_t index = 0; index < sizeof(number); ++index) {
    number = (number << kBitsPerByte) | address.address[index];
  }
  return number;
}

void Fill(const ListedAgent& agent, proto::KnownNode& node) {
  node.set_address(ToNumber(agent.address));
  node.set_service(agent.service.value());
  node.set_zone(agent.zone);
  node.set_is_stopping(agent.is_stopping);
}

ListedAgent ReadListed(const proto::KnownNode& node, std::uint16_t port) {
  return {base::SocketAddress::Ipv4(node.address(), port), base::ServiceId(node.service()),
          node.zone(), node.is_stopping()};
}

void Fill(const EvacuatedZones& evacuated, proto::EvacuatedZones& message) {
  message.set_version(evacuated.version);
  for (const std::string& zone : evacuated.zones) {
    message.add_zones(zone);
  }
}

// Reads a list of evacuated zones. One that is too long or has too long names is ignored.
EvacuatedZones ReadEvacuated(const proto::EvacuatedZones& message) {
  const bool has_fault =
      static_cast<std::size_t>(message.zones_size()) > EvacuatedZones::kMaxZones ||
      std::any_of(message.zones().begin(), message.zones().end(),
                  [](const std::string& zone) { return zone.size() > kMaxTextBytes; });
  return has_fault
             ? EvacuatedZones{}
             : EvacuatedZones{message.version(), {message.zones().begin(), message.zones().end()}};
}

void Fill(const HeldAddresses& held, proto::AgentReport& message) {
  for (const base::SocketAddress& address : held.addresses) {
    message.add_held_addresses(std::uint64_t{ToNumber(address)} << kPortBits | address.port);
  }
  message.set_has_all_held_addresses(!held.may_be_more);
}

// Reads the list of held addresses. One that is too long is truncated and marked as incomplete.
HeldAddresses ReadHeld(const proto::AgentReport& message) {
  HeldAddresses held;
  const auto count = std::min<std::size_t>(static_cast<std::size_t>(message.held_addresses_size()),
                                           HeldAddresses::kMaxAddresses);
  for (std::size_t index = 0; index < count; ++index) {
    const std::uint64_t number = message.held_addresses(static_cast<int>(index));
    held.addresses.push_back(base::SocketAddress::Ipv4(
        static_cast<std::uint32_t>(number >> kPortBits), static_cast<std::uint16_t>(number)));
  }
  std::sort(held.addresses.begin(), held.addresses.end());
  const bool is_cut = static_cast<std::size_t>(message.held_addresses_size()) > count;
  held.may_be_more = is_cut || !message.has_all_held_addresses();
  return held;
}

void Fill(const AgentReport& report, proto::AgentReport& message) {
  message.set_life(report.incarnation.value());
  message.set_sequence(report.sequence);
  message.set_service(report.service.value());
  message.set_zone(report.zone);
  message.set_standing(static_cast<std::uint32_t>(report.standing));
  message.set_endpoint(report.endpoint.id);
  message.set_endpoint_started_ms(report.endpoint.started_ms);
  message.set_announcement(report.announcement);
  message.set_capacity(report.load.capacity);
  message.set_busy(report.load.busy);
  message.set_busy_average(static_cast<float>(report.load.busy_average));
  message.set_open_flows(report.load.open_flows);
  message.set_warm_up_left_ms(ToMilliseconds(report.load.warm_up_left));
  message.set_answer_time_us(static_cast<std::uint32_t>(report.load.answer_time.count()));
  message.set_period_ms(ToMilliseconds(report.period));
  message.set_wants_memory(report.wants_memory);
  message.set_is_ejected(report.is_ejected);
  message.set_agent_count(static_cast<std::uint32_t>(report.agent_count));
  message.set_routes_version(report.routes_version);
  if (report.evacuated.version != 0) {
    Fill(report.evacuated, *message.mutable_evacuated());
  }
  Fill(report.held, message);
  for (const std::uint32_t count : report.load.queued) {
    message.add_queued(count);
  }
  for (const ListedAgent& agent : report.fellows) {
    Fill(agent, *message.add_fellows());
  }
}

std::optional<AgentReport> ReadReport(const proto::AgentReport& message, std::uint16_t port) {
  const bool has_known_standing =
      message.standing() <= static_cast<std::uint32_t>(EndpointStanding::kAbsent);
  const bool has_short_text =
      message.zone().size() <= kMaxTextBytes && message.endpoint().size() <= kMaxTextBytes;
  if (!has_known_standing || !has_short_text) {
    return std::nullopt;
  }
  AgentReport report;
  report.incarnation = base::Incarnation(message.life());
  report.sequence = message.sequence();
  report.service = base::ServiceId(message.service());
  report.zone = message.zone();
  report.standing = static_cast<EndpointStanding>(message.standing());
  report.endpoint = {message.endpoint(), message.endpoint_started_ms()};
  report.announcement = message.announcement();
  report.load.capacity = message.capacity();
  report.load.busy = message.busy();
  report.load.busy_average = message.busy_average();
  report.load.open_flows = message.open_flows();
  report.load.warm_up_left = FromMilliseconds(message.warm_up_left_ms());
  report.load.answer_time = base::Duration(message.answer_time_us());
  report.period = FromMilliseconds(message.period_ms());
  report.wants_memory = message.wants_memory();
  report.is_ejected = message.is_ejected();
  report.agent_count = std::min(message.agent_count(), kMaxAgents);
  report.routes_version = message.routes_version();
  report.evacuated = ReadEvacuated(message.evacuated());
  report.held = ReadHeld(message);
  const auto queued =
      std::min<std::size_t>(static_cast<std::size_t>(message.queued_size()), kPriorityCount);
  for (std::size_t priority = 0; priority < queued; ++priority) {
    report.load.queued[priority] = message.queued(static_cast<int>(priority));
  }
  for (const proto::KnownNode& node : message.fellows()) {
    report.fellows.push_back(ReadListed(node, port));
  }
  return report;
}

void Fill(const BalancerGreeting& greeting, proto::BalancerGreeting& message) {
  message.set_life(greeting.incarnation.value());
  message.set_routes_version(greeting.routes_version);
  for (const BalancerAge& balancer : greeting.balancers) {
    proto::KnownNode& node = *message.add_balancers();
    node.set_address(ToNumber(balancer.address));
    node.set_age_ms(ToMilliseconds(balancer.age));
  }
  for (const ListedAgent& agent : greeting.agents) {
    Fill(agent, *message.add_agents());
  }
  message.set_health_check_path(greeting.health_check_path);
  message.set_wants_answer(greeting.wants_answer);
  if (greeting.memory) {
    Fill(*greeting.memory, *message.mutable_memory());
    message.set_memory_age_ms(ToMilliseconds(greeting.memory_age));
  }
  message.set_agent_count(static_cast<std::uint32_t>(greeting.agent_count));
  message.set_wants_fellows(greeting.wants_fellows);
  message.set_is_learning(greeting.is_learning);
  message.set_store_age_ms_and_one(greeting.store_age ? ToMilliseconds(*greeting.store_age) + 1
                                                      : 0);
  if (greeting.evacuated.version != 0) {
    Fill(greeting.evacuated, *message.mutable_evacuated());
  }
  if (greeting.warm_up) {
    message.mutable_warm_up()->set_openings_per_second(
        static_cast<float>(greeting.warm_up->openings_per_second));
    message.mutable_warm_up()->set_duration_ms(ToMilliseconds(greeting.warm_up->duration));
  }
  for (const RequestClass& item : greeting.classes) {
    proto::RequestClass& part = *message.add_classes();
    part.set_priority(item.priority);
    part.set_target_latency_ms(ToMilliseconds(item.target_latency));
    part.set_time_limit_ms(ToMilliseconds(item.time_limit));
  }
}

RequestClass ReadClass(const proto::RequestClass& message) {
  RequestClass read;
  read.priority =
      static_cast<std::uint8_t>(std::min<std::size_t>(message.priority(), kPriorityCount - 1));
  read.target_latency = FromMilliseconds(message.target_latency_ms());
  read.time_limit = FromMilliseconds(message.time_limit_ms());
  return read;
}

BalancerGreeting ReadGreeting(const proto::BalancerGreeting& message, std::uint16_t port) {
  BalancerGreeting greeting;
  greeting.incarnation = base::Incarnation(message.life());
  greeting.routes_version = message.routes_version();
  for (const proto::KnownNode& node : message.balancers()) {
    greeting.balancers.push_back(
        {base::SocketAddress::Ipv4(node.address(), port), FromMilliseconds(node.age_ms())});
  }
  for (const proto::KnownNode& node : message.agents()) {
    greeting.agents.push_back(ReadListed(node, port));
  }
  if (message.health_check_path().size() <= kMaxTextBytes) {
    greeting.health_check_path = message.health_check_path();
  }
  greeting.wants_answer = message.wants_answer();
  if (message.has_memory()) {
    greeting.memory = ReadReport(message.memory(), port);
    greeting.memory_age = FromMilliseconds(message.memory_age_ms());
  }
  greeting.agent_count = std::min(message.agent_count(), kMaxAgents);
  greeting.wants_fellows = message.wants_fellows();
  greeting.is_learning = message.is_learning();
  if (message.store_age_ms_and_one() > 0) {
    greeting.store_age = FromMilliseconds(message.store_age_ms_and_one() - 1);
  }
  greeting.evacuated = ReadEvacuated(message.evacuated());
  if (message.has_warm_up() && message.warm_up().openings_per_second() >= 0) {
    greeting.warm_up = WarmUpRate{message.warm_up().openings_per_second(),
                                  FromMilliseconds(message.warm_up().duration_ms())};
  }
  for (const proto::RequestClass& item : message.classes()) {
    greeting.classes.push_back(ReadClass(item));
  }
  return greeting;
}

}  // namespace

std::string EncodeAgentListing(const AgentListing& listing) {
  proto::AgentListing message;
  for (const ListedAgent& agent : listing.agents) {
    Fill(agent, *message.add_agents());
  }
  message.set_agent_count(static_cast<std::uint32_t>(listing.agent_count));
  return message.SerializeAsString();
}

std::optional<AgentListing> DecodeAgentListing(std::string_view bytes, std::uint16_t port) {
  proto::AgentListing message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  AgentListing listing;
  for (const proto::KnownNode& node : message.agents()) {
    listing.agents.push_back(ReadListed(node, port));
  }
  listing.agent_count = std::min(message.agent_count(), kMaxAgents);
  return listing;
}

std::string EncodeNodeMessage(const NodeMessage& message) {
  proto::NodeMessage content;
  if (const auto* report = std::get_if<AgentReport>(&message)) {
    Fill(*report, *content.mutable_report());
  } else {
    Fill(std::get<BalancerGreeting>(message), *content.mutable_greeting());
  }
  ForwardHeader header;
  header.kind = MessageKind::kControl;
  const auto bytes = EncodeForwardHeader(header);
  std::string datagram(bytes.begin(), bytes.end());
  content.AppendToString(&datagram);
  return datagram;
}

std::optional<NodeMessage> DecodeNodeMessage(std::span<const std::uint8_t> datagram,
                                             std::uint16_t port) {
  if (datagram.size() < ForwardHeader::kSize) {
    return std::nullopt;
  }
  const std::span<const std::uint8_t> body = datagram.subspan(ForwardHeader::kSize);
  proto::NodeMessage content;
  if (!content.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
    return std::nullopt;
  }
  if (content.has_report()) {
    const std::optional<AgentReport> report = ReadReport(content.report(), port);
    return report ? std::optional<NodeMessage>(*report) : std::nullopt;
  }
  if (content.has_greeting()) {
    return ReadGreeting(content.greeting(), port);
  }
  return std::nullopt;
}

}  // namespace gaugevalve::placement
