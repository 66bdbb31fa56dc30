#include "gaugevalve/routing/movement.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <string>

#include "gaugevalve/base/hash.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/routing/flow_chooser.h"
#include "gaugevalve/routing/service_planner.h"

namespace gaugevalve::routing {
namespace {

constexpr std::size_t kKeyCount = 60'000;
constexpr std::uint64_t kKeySeed = 20'240'601;
constexpr std::size_t kMinCacheCapacity = 1;  // measures Maglev's table without its flow cache

using Owners = std::vector<base::NodeId>;  // index = key

std::vector<base::NodeId> NodesOf(std::size_t count) {
  std::vector<base::NodeId> nodes;
  for (std::size_t number = 0; number < count; ++number) {
    nodes.push_back(base::MakeNodeId("agent-" + std::to_string(number)));
  }
  std::sort(nodes.begin(), nodes.end());
  return nodes;
}

std::uint64_t KeyHash(std::size_t key) { return base::HashPair(kKeySeed, key); }

Owners ChooseAll(FlowChooser& chooser) {
  Owners owners;
  owners.reserve(kKeyCount);
  for (std::size_t key = 0; key < kKeyCount; ++key) {
    owners.push_back(chooser.Choose(KeyHash(key)).value());
  }
  return owners;
}

Owners OwnersIn(const BucketTable& table) {
  Owners owners;
  owners.reserve(kKeyCount);
  for (std::size_t key = 0; key < kKeyCount; ++key) {
    owners.push_back(table.buckets[table.BucketOf(KeyHash(key)).value()].owner);
  }
  return owners;
}

std::vector<AgentStatus> StatusesOf(std::size_t count) {
  std::vector<AgentStatus> statuses;
  for (const base::NodeId node : NodesOf(count)) {
    AgentStatus status;
    status.entry.node = node;
    statuses.push_back(status);
  }
  return statuses;
}

// Runs planning steps until no step has changed the table for kStableSteps.
void StepUntilStable(ServicePlanner& planner, base::TimePoint& now) {
  constexpr int kStableSteps = 90;  // steps of 1 s; longer than the move budget can delay a move
  for (int quiet = 0; quiet < kStableSteps; ++quiet) {
    now += std::chrono::seconds(1);
    if (planner.Step(now)) {
      quiet = 0;
    }
  }
}

Movement Compare(std::string policy, const Owners& before, const Owners& after,
                 std::size_t agents_before, std::size_t agents_after) {
  Movement movement;
  movement.policy = std::move(policy);
  movement.before = agents_before;
  movement.after = agents_after;
  std::size_t moved = 0;
  std::map<base::NodeId, std::size_t> keys_of;
  for (std::size_t key = 0; key < kKeyCount; ++key) {
    moved += before[key] != after[key] ? 1 : 0;
    ++keys_of[after[key]];
  }
  std::size_t most = 0;
  for (const auto& [node, keys] : keys_of) {
    most = std::max(most, keys);
  }
  const auto difference = static_cast<double>(
      agents_before > agents_after ? agents_before - agents_after : agents_after - agents_before);
  movement.moved = static_cast<double>(moved) / kKeyCount;
  movement.minimum = difference / static_cast<double>(std::max(agents_before, agents_after));
  movement.imbalance = static_cast<double>(most * agents_after) / kKeyCount;
  return movement;
}

Movement MeasurePlanner(std::size_t before, std::size_t after, std::size_t bucket_count) {
  PlannerSettings settings;
  settings.bucket_count = bucket_count;
  settings.cold_start_ramp = base::Duration::zero();
  ServicePlanner planner(base::ServiceId(1), 1, 0, settings);
  base::TimePoint now{};
  planner.SetAgents(StatusesOf(before), now);
  StepUntilStable(planner, now);
  const Owners owners_before = OwnersIn(planner.Table());
  planner.SetAgents(StatusesOf(after), now);
  StepUntilStable(planner, now);
  return Compare("planner", owners_before, OwnersIn(planner.Table()), before, after);
}

Movement MeasureChooser(ChooserKind kind, std::size_t before, std::size_t after) {
  const std::unique_ptr<FlowChooser> chooser = MakeFlowChooser(kind, 0, kMinCacheCapacity);
  chooser->SetAgents(NodesOf(before));
  const Owners owners_before = ChooseAll(*chooser);
  chooser->SetAgents(NodesOf(after));
  return Compare(std::string(ToString(kind)), owners_before, ChooseAll(*chooser), before, after);
}

}  // namespace

std::vector<Movement> MeasureMovement(std::size_t before, std::size_t after,
                                      std::size_t bucket_count) {
  return {MeasurePlanner(before, after, bucket_count),
          MeasureChooser(ChooserKind::kRendezvous, before, after),
          MeasureChooser(ChooserKind::kMaglev, before, after),
          MeasureChooser(ChooserKind::kModulo, before, after)};
}

}  // namespace gaugevalve::routing
