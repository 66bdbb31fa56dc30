#include "gaugevalve/routing/maglev_table.h"

#include "gaugevalve/base/hash.h"

namespace gaugevalve::routing {
namespace {

constexpr std::uint64_t kOffsetSeed = 0x6f66667365740001;
constexpr std::uint64_t kSkipSeed = 0x736b697000000002;

// One agent's permutation of the table's entries.
class Permutation {
 public:
  Permutation(base::NodeId agent, std::size_t size)
      : size_(size),
        place_(base::HashPair(agent.value(), kOffsetSeed) % size),
        skip_(base::HashPair(agent.value(), kSkipSeed) % (size - 1) + 1) {}

  // Returns the next position; each position comes once in `size` calls.
  std::size_t Next() {
    const std::size_t place = place_;
    place_ = (place_ + skip_) % size_;
    return place;
  }

 private:
  std::size_t size_;
  std::size_t place_;
  std::size_t skip_;
};

}  // namespace

std::vector<base::NodeId> MakeMaglevTable(std::span<const base::NodeId> agents,
                                          std::size_t table_size) {
  std::vector<Permutation> permutations;
  permutations.reserve(agents.size());
  for (const base::NodeId agent : agents) {
    permutations.emplace_back(agent, table_size);
  }
  std::vector<base::NodeId> table(table_size);
  for (std::size_t filled = 0; filled < table_size; ++filled) {
    const std::size_t turn = filled % agents.size();
    std::size_t place = permutations[turn].Next();
    while (table[place] != base::NodeId()) {
      place = permutations[turn].Next();
    }
    table[place] = agents[turn];
  }
  return table;
}

}  // namespace gaugevalve::routing
