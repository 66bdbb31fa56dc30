#include "gaugevalve/membership_simulation/hollow_group.h"

#include <sstream>
#include <utility>

namespace gaugevalve::membership_simulation {
namespace {

constexpr std::uint32_t kControlNetwork = 0x0a000000;  // 10.0.0.0
constexpr std::uint32_t kDataNetwork = 0x0b000000;     // 11.0.0.0
constexpr std::uint16_t kControlPort = 7000;
constexpr std::uint16_t kDataPort = 7001;
// The simulated time 0 in microseconds since the Unix epoch; incarnations are derived from it.
constexpr std::uint64_t kEpoch = 1'780'000'000'000'000;
// One node in this many is a balancer (660 of 4,460 in the target deployment).
constexpr std::size_t kNodesForEachBalancer = 7;
constexpr std::size_t kEndpointsForEachService = 4;

base::SocketAddress ControlAddress(std::size_t member) {
  return base::SocketAddress::Ipv4(kControlNetwork + static_cast<std::uint32_t>(member) + 1,
                                   kControlPort);
}

base::Incarnation IncarnationAt(base::TimePoint now) {
  return base::Incarnation(kEpoch + static_cast<std::uint64_t>(now.time_since_epoch().count()));
}

}  // namespace

HollowGroup::HollowGroup(simulation::Simulator& simulator, HollowGroupSettings settings)
    : simulator_(simulator), settings_(std::move(settings)) {
  const std::size_t zones = simulator_.Network().Zones().size();
  for (std::size_t member = 0; member < std::min(zones, settings_.members); ++member) {
    settings_.options.seeds.push_back(ControlAddress(member));
  }
  auto known = std::make_shared<std::vector<membership::Member>>();
  for (std::size_t member = 0; member < settings_.members; ++member) {
    Entry entry;
    entry.node = base::MakeNodeId("node-" + std::to_string(member));
    entry.metadata = MakeMetadata(member);
    members_.push_back(entry);
    known->push_back({entry.node, entry.metadata.process_incarnation,
                      entry.metadata.process_incarnation, membership::MemberState::kAlive,
                      simulator_.Now(),
                      std::make_shared<membership::MemberMetadata>(entry.metadata)});
  }
  preload_ = std::move(known);
  for (std::size_t member = 0; member < members_.size(); ++member) {
    members_[member].index =
        simulator_.AddNode({.zone = Zone(member), .address = ControlAddress(member)},
                           MakeProcess(member, settings_.is_preloaded));
  }
}

simulation::ZoneIndex HollowGroup::Zone(std::size_t member) const {
  return simulation::ZoneIndex(
      static_cast<std::uint16_t>(member % simulator_.Network().Zones().size()));
}

bool HollowGroup::IsRunning(std::size_t member) const {
  return simulator_.State(Index(member)) == simulation::NodeState::kRunning;
}

HollowMember& HollowGroup::Process(std::size_t member) {
  return dynamic_cast<HollowMember&>(*simulator_.Find(Index(member)));
}

const HollowMember& HollowGroup::Process(std::size_t member) const {
  return dynamic_cast<const HollowMember&>(*simulator_.Find(Index(member)));
}

void HollowGroup::Kill(std::size_t member) { simulator_.Kill(Index(member)); }

void HollowGroup::Restart(std::size_t member, base::Duration clock_error) {
  Entry& entry = members_.at(member);
  entry.has_left = false;
  entry.metadata.process_incarnation = IncarnationAt(simulator_.Now() - clock_error);
  simulator_.Restart(entry.index, MakeProcess(member, false));
}

void HollowGroup::Leave(std::size_t member) {
  members_.at(member).has_left = true;
  Process(member).Runner().Leave();
}

bool HollowGroup::HasCorrectView(std::size_t observer, std::string* difference) const {
  const membership::Membership& view = Process(observer).Core();
  std::size_t expected = 0;
  for (std::size_t member = 0; member < members_.size(); ++member) {
    if (!IsExpected(members_[member])) {
      continue;
    }
    ++expected;
    const membership::Member& truth = Process(member).Core().Self();
    const auto seen = view.Find(truth.node);
    const bool is_correct = seen && seen->state == membership::MemberState::kAlive &&
                            seen->incarnation == truth.incarnation &&
                            *seen->metadata == *truth.metadata;
    if (!is_correct) {
      if (difference != nullptr) {
        std::ostringstream text;
        text << "member " << observer << " sees " << member << " "
             << (seen ? membership::MemberStateName(seen->state) : "not at all") << " at "
             << (seen ? seen->incarnation : base::Incarnation(0)) << ", it is alive at "
             << truth.incarnation;
        *difference = text.str();
      }
      return false;
    }
  }
  if (view.LiveCount() != expected && difference != nullptr) {
    *difference = "member " + std::to_string(observer) + " counts " +
                  std::to_string(view.LiveCount()) + " live, there are " + std::to_string(expected);
  }
  return view.LiveCount() == expected;
}

bool HollowGroup::HasConverged(std::string* difference) const {
  for (std::size_t observer = 0; observer < members_.size(); ++observer) {
    if (IsExpected(members_[observer]) && !HasCorrectView(observer, difference)) {
      return false;
    }
  }
  return true;
}

membership::MemberMetadata HollowGroup::MakeMetadata(std::size_t member) const {
  const simulation::ZoneDescription& zone = simulator_.Network().Zones().at(Zone(member).value());
  membership::MemberMetadata metadata;
  const bool is_balancer = member % kNodesForEachBalancer == 0;
  metadata.role = is_balancer ? membership::Role::kBalancer : membership::Role::kAgent;
  metadata.region = zone.region;
  metadata.zone = zone.name;
  metadata.control_address = ControlAddress(member);
  metadata.data_address =
      base::SocketAddress::Ipv4(kDataNetwork + static_cast<std::uint32_t>(member) + 1, kDataPort);
  if (!is_balancer) {
    const std::string number = std::to_string(member / kEndpointsForEachService);
    metadata.service = base::MakeServiceId("service-" + number);
    metadata.endpoint_name = "endpoint-" + std::to_string(member);
  }
  metadata.process_incarnation = IncarnationAt(simulator_.Now());
  return metadata;
}

std::unique_ptr<HollowMember> HollowGroup::MakeProcess(std::size_t member, bool is_preloaded) {
  const Entry& entry = members_.at(member);
  HollowMemberSettings settings;
  settings.node = entry.node;
  settings.metadata = entry.metadata;
  settings.options = settings_.options;
  settings.seed = simulator_.Random().NextUint64();
  settings.preload = is_preloaded ? preload_ : nullptr;
  settings.listener = settings_.listener;
  return std::make_unique<HollowMember>(std::move(settings));
}

bool HollowGroup::IsExpected(const Entry& entry) const {
  return !entry.has_left && simulator_.State(entry.index) == simulation::NodeState::kRunning;
}

}  // namespace gaugevalve::membership_simulation
