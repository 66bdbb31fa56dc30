// How to embed the planner: three agents, one of which leaves, and what a node does with the
// deltas.
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "gaugevalve/routing/service_planner.h"
#include "gaugevalve/routing/table_codec.h"

namespace {

using namespace gaugevalve;  // NOLINT(google-build-using-namespace): an example for other projects

routing::AgentStatus MakeAgent(const std::string& name, routing::AgentLiveness liveness) {
  routing::AgentStatus status;
  status.entry.node = base::MakeNodeId(name);
  status.entry.incarnation = base::Incarnation(1);
  status.liveness = liveness;
  return status;
}

// A node that follows the planner: it has the table, and applies deltas as they come.
bool Follow(routing::BucketTable& table, const std::string& bytes) {
  return table.Apply(routing::DecodeDelta(bytes));
}

}  // namespace

int main() {
  const base::ServiceId service = base::MakeServiceId("drawings");
  routing::ServicePlanner planner(service, 1, 0, routing::PlannerSettings{});
  routing::BucketTable follower = planner.Table();  // no owner yet

  base::TimePoint now{};
  for (const auto liveness : {routing::AgentLiveness::kLive, routing::AgentLiveness::kLeaving}) {
    planner.SetAgents(
        {MakeAgent("east-1", liveness), MakeAgent("west-1", routing::AgentLiveness::kLive),
         MakeAgent("north-1", routing::AgentLiveness::kLive)},
        now);
    now += std::chrono::seconds(1);
    const std::optional<routing::TableDelta> delta = planner.Step(now);
    if (!delta) {
      continue;
    }
    const std::string bytes = routing::EncodeDelta(*delta);
    if (!Follow(follower, bytes)) {
      std::cerr << "the follower needs the whole table\n";
      return EXIT_FAILURE;
    }
    std::cout << "version " << delta->version << ": " << delta->changes.size()
              << " buckets changed, " << bytes.size() << " bytes\n";
  }
  return follower == planner.Table() ? EXIT_SUCCESS : EXIT_FAILURE;
}
