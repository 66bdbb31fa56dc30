#include "gaugevalve/routing/flow_chooser.h"

#include <algorithm>
#include <stdexcept>
#include <vector>

#include "gaugevalve/base/hash.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/routing/flow_cache.h"
#include "gaugevalve/routing/maglev_table.h"

namespace gaugevalve::routing {
namespace {

// Base class of the choosers below: stores the list of agents.
class ListChooser : public FlowChooser {
 public:
  void SetAgents(std::span<const base::NodeId> agents) override {
    agents_.assign(agents.begin(), agents.end());
  }

 protected:
  const std::vector<base::NodeId>& Agents() const { return agents_; }

  bool Knows(base::NodeId agent) const {
    return std::binary_search(agents_.begin(), agents_.end(), agent);
  }

 private:
  std::vector<base::NodeId> agents_;
};

class ModuloChooser final : public ListChooser {
 public:
  std::optional<base::NodeId> Choose(std::uint64_t flow_key_hash) override {
    if (Agents().empty()) {
      return std::nullopt;
    }
    return Agents()[flow_key_hash % Agents().size()];
  }
};

class RendezvousChooser final : public ListChooser {
 public:
  std::optional<base::NodeId> Choose(std::uint64_t flow_key_hash) override {
    if (Agents().empty()) {
      return std::nullopt;
    }
    const auto weight = [&](base::NodeId agent) {
      return base::HashPair(agent.value(), flow_key_hash);
    };
    return *std::max_element(
        Agents().begin(), Agents().end(),
        [&](base::NodeId left, base::NodeId right) { return weight(left) < weight(right); });
  }
};

class RandomChooser final : public ListChooser {
 public:
  explicit RandomChooser(std::uint64_t seed) : random_(seed) {}

  std::optional<base::NodeId> Choose(std::uint64_t /*flow_key_hash*/) override {
    if (Agents().empty()) {
      return std::nullopt;
    }
    return Agents()[random_.NextBelow(Agents().size())];
  }

 private:
  base::RandomSource random_;
};

class MaglevChooser final : public ListChooser {
 public:
  explicit MaglevChooser(std::size_t cache_capacity) : cache_(cache_capacity) {}

  void SetAgents(std::span<const base::NodeId> agents) override {
    ListChooser::SetAgents(agents);
    table_ = agents.empty() ? std::vector<base::NodeId>() : MakeMaglevTable(agents);
  }

  std::optional<base::NodeId> Choose(std::uint64_t flow_key_hash) override {
    if (table_.empty()) {
      return std::nullopt;
    }
    const std::optional<base::NodeId> cached = cache_.Find(flow_key_hash);
    if (cached && Knows(*cached)) {
      return cached;
    }
    const base::NodeId chosen = table_[flow_key_hash % table_.size()];
    cache_.Insert(flow_key_hash, chosen);
    return chosen;
  }

 private:
  std::vector<base::NodeId> table_;
  FlowCache cache_;
};

}  // namespace

std::string_view ToString(ChooserKind kind) {
  switch (kind) {
    case ChooserKind::kModulo:
      return "modulo";
    case ChooserKind::kMaglev:
      return "maglev";
    case ChooserKind::kRendezvous:
      return "rendezvous";
    case ChooserKind::kRandom:
      return "random";
  }
  throw std::invalid_argument("unknown kind of chooser");
}

std::unique_ptr<FlowChooser> MakeFlowChooser(ChooserKind kind, std::uint64_t seed,
                                             std::size_t cache_capacity) {
  switch (kind) {
    case ChooserKind::kModulo:
      return std::make_unique<ModuloChooser>();
    case ChooserKind::kMaglev:
      return std::make_unique<MaglevChooser>(cache_capacity);
    case ChooserKind::kRendezvous:
      return std::make_unique<RendezvousChooser>();
    case ChooserKind::kRandom:
      return std::make_unique<RandomChooser>(seed);
  }
  throw std::invalid_argument("unknown kind of chooser");
}

}  // namespace gaugevalve::routing
