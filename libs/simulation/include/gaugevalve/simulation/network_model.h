// What the simulated network does to a message: latency by zone, loss, duplication, reordering, and
// partitions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/container/inlined_vector.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/strong_id.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::simulation {

// A node of the simulation, counted from 0 in the order of AddNode().
using NodeIndex = base::StrongId<struct NodeIndexTag, std::uint32_t>;

// A zone of the simulation: the index into the network's zones.
using ZoneIndex = base::StrongId<struct ZoneIndexTag, std::uint16_t>;

struct ZoneDescription {
  std::string region;
  std::string name;
};

// One-way latencies by how far apart two nodes are.
struct LatencyProfile {
  base::Duration within_zone = std::chrono::microseconds(250);
  base::Duration between_zones = std::chrono::microseconds(1500);
  base::Duration between_regions = std::chrono::milliseconds(25);
};

// Faults that hold for every message. Probabilities are in [0, 1].
struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  double reordering = 0;                                            // share that is held back
  base::Duration reordering_delay = std::chrono::milliseconds(50);  // by at most this long
  double jitter = 0.1;  // of the latency, added at random
};

// Decides for each message when its copies arrive. Not thread-safe.
class NetworkModel {
 public:
  // Latencies that one message has: none when it is lost, two when it is duplicated.
  using Deliveries = absl::InlinedVector<base::Duration, 2>;

  NetworkModel(std::vector<ZoneDescription> zones, const LatencyProfile& latencies);

  const std::vector<ZoneDescription>& Zones() const { return zones_; }

  // Sets the one-way latency between two zones, in both directions.
  void SetLatency(ZoneIndex first, ZoneIndex second, base::Duration one_way);
  base::Duration Latency(ZoneIndex from, ZoneIndex to) const;

  void SetFaults(const NetworkFaults& faults) { faults_ = faults; }

  // Cuts messages `from` one zone `to` another; BlockZones() cuts both directions.
  void BlockOneWay(ZoneIndex from, ZoneIndex to);
  void BlockZones(ZoneIndex first, ZoneIndex second);
  // Cuts everything between two regions, given by name.
  void BlockRegions(const std::string& first, const std::string& second);
  // Cuts messages from one node to another, in this direction only.
  void BlockNodes(NodeIndex from, NodeIndex to);
  // Cuts a node off from all others.
  void IsolateNode(NodeIndex node);
  void ReconnectNode(NodeIndex node);
  // Ends every partition and isolation; latencies and NetworkFaults stay.
  void HealPartitions();

  // Returns when the copies of one message arrive, counted from now.
  Deliveries Plan(NodeIndex from, ZoneIndex from_zone, NodeIndex to, ZoneIndex to_zone,
                  base::RandomSource& random) const;

 private:
  std::vector<ZoneIndex> ZonesOf(const std::string& region) const;
  std::size_t Slot(ZoneIndex from, ZoneIndex to) const;
  bool IsBlocked(NodeIndex from, ZoneIndex from_zone, NodeIndex to, ZoneIndex to_zone) const;
  base::Duration DrawLatency(ZoneIndex from, ZoneIndex to, base::RandomSource& random) const;

  std::vector<ZoneDescription> zones_;
  std::vector<base::Duration> latencies_;  // index = Slot()
  std::vector<bool> blocked_;              // index = Slot()
  absl::flat_hash_set<std::uint64_t> blocked_node_pairs_;
  absl::flat_hash_set<NodeIndex> isolated_nodes_;
  NetworkFaults faults_;
};

}  // namespace gaugevalve::simulation
