// A few cores connected by a queue that drops, duplicates and reorders messages, in simulated time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "gaugevalve/dissemination/dissemination_core.h"

namespace gaugevalve::dissemination {

// Nodes 1..n, which all know each other. Messages are delivered at the next step, in random order.
class CoreCluster {
 public:
  CoreCluster(std::size_t nodes, std::uint64_t seed, double loss) : random_(seed), loss_(loss) {
    for (std::size_t index = 0; index < nodes; ++index) {
      Interest everything;
      everything.everything = true;
      Add(everything);
    }
  }

  // Adds a node with this interest and makes it known to all others.
  std::size_t Add(const Interest& interest) {
    DisseminationOptions options;
    options.self = base::NodeId(cores_.size() + 1);
    options.zone = "zone-" + std::to_string(cores_.size() % 3);
    options.interest = interest;
    randoms_.push_back(std::make_unique<base::RandomSource>(random_.NextUint64()));
    cores_.push_back(std::make_unique<DisseminationCore>(options, *randoms_.back()));
    peers_.push_back({options.self, options.zone, interest});
    for (std::size_t index = 0; index < cores_.size(); ++index) {
      for (const Peer& peer : peers_) {
        if (peer.node != peers_[index].node) {
          cores_[index]->UpsertPeer(peer);
        }
      }
    }
    return cores_.size() - 1;
  }

  DisseminationCore& Core(std::size_t index) { return *cores_[index]; }
  std::size_t Size() const { return cores_.size(); }

  void Publish(std::size_t index, const RecordKey& key, std::uint64_t version,
               const std::string& value) {
    Actions actions;
    cores_[index]->Publish(key, {version, 0}, value, now_, actions);
    Collect(index, actions);
  }

  // Runs for this long in steps of 5 ms.
  void Run(base::Duration duration) {
    constexpr base::Duration kStep = std::chrono::milliseconds(5);
    for (const base::TimePoint end = now_ + duration; now_ < end; now_ += kStep) {
      std::vector<Delivery> due;
      due.swap(in_flight_);
      for (std::size_t last = due.size(); last > 1; --last) {
        std::swap(due[last - 1], due[random_.NextBelow(last)]);
      }
      for (const Delivery& delivery : due) {
        Actions actions;
        cores_[delivery.to]->Receive(delivery.from, delivery.bytes, now_, actions);
        Collect(delivery.to, actions);
      }
      for (std::size_t index = 0; index < cores_.size(); ++index) {
        Actions actions;
        if (cores_[index]->NextDeadline() <= now_) {
          cores_[index]->Tick(now_, actions);
        }
        Collect(index, actions);
      }
    }
  }

  // Isolates a node from the others, or reconnects it.
  void SetIsolated(std::size_t index, bool isolated) {
    isolated_.resize(cores_.size());
    isolated_[index] = isolated;
  }

 private:
  struct Delivery {
    base::NodeId from;
    std::size_t to = 0;
    std::string bytes;
  };

  void Collect(std::size_t from, const Actions& actions) {
    isolated_.resize(cores_.size());
    for (const OutgoingMessage& message : actions.messages) {
      const std::size_t to = message.to.value() - 1;
      const bool is_isolated = isolated_[from] || isolated_[to];
      if (is_isolated || random_.NextUnit() < loss_) {
        continue;
      }
      in_flight_.push_back({peers_[from].node, to, message.bytes});
      if (random_.NextUnit() < loss_) {
        in_flight_.push_back({peers_[from].node, to, message.bytes});
      }
    }
  }

  base::RandomSource random_;
  double loss_;
  base::TimePoint now_{std::chrono::seconds(1)};
  std::vector<std::unique_ptr<base::RandomSource>> randoms_;
  std::vector<std::unique_ptr<DisseminationCore>> cores_;
  std::vector<Peer> peers_;
  std::vector<bool> isolated_;
  std::vector<Delivery> in_flight_;
};

}  // namespace gaugevalve::dissemination
