// Embeds the dissemination core: three nodes in one process exchange a record and a change of it.
#include <iostream>
#include <memory>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/dissemination/dissemination_core.h"

namespace {

using namespace gaugevalve;                 // NOLINT(google-build-using-namespace)
using namespace gaugevalve::dissemination;  // NOLINT(google-build-using-namespace)

constexpr std::size_t kNodes = 3;
constexpr RecordKey kGreeting{1, 0};

// The core of one node. A program would hand its messages to sockets instead of to neighbours.
struct Node {
  explicit Node(std::uint64_t number) : random(number), core(Options(number), random) {}

  static DisseminationOptions Options(std::uint64_t number) {
    DisseminationOptions options;
    options.self = base::NodeId(number);
    options.zone = "only";
    options.interest.everything = true;
    return options;
  }

  base::RandomSource random;
  DisseminationCore core;
};

// Delivers what one node has to say, and what the others answer.
void Deliver(std::vector<std::unique_ptr<Node>>& nodes, std::size_t from, const Actions& actions,
             base::TimePoint now) {
  for (const RecordKey& key : actions.changed) {
    const Record& record = *nodes[from]->core.Records().Find(key);
    std::cout << "node " << from + 1 << " holds version " << record.stamp.version.major << ": "
              << *record.value << '\n';
  }
  for (const OutgoingMessage& message : actions.messages) {
    const std::size_t to = message.to.value() - 1;
    Actions answer;
    nodes[to]->core.Receive(base::NodeId(from + 1), message.bytes, now, answer);
    Deliver(nodes, to, answer, now);
  }
}

}  // namespace

int main() {
  std::vector<std::unique_ptr<Node>> nodes;
  for (std::uint64_t number = 1; number <= kNodes; ++number) {
    nodes.push_back(std::make_unique<Node>(number));
  }
  for (const std::unique_ptr<Node>& node : nodes) {
    for (std::uint64_t peer = 1; peer <= kNodes; ++peer) {
      if (nodes[peer - 1] != node) {
        node->core.UpsertPeer({base::NodeId(peer), "only", Node::Options(peer).interest});
      }
    }
  }
  base::TimePoint now{};
  for (std::uint64_t version = 1; version <= 2; ++version) {
    Actions actions;
    nodes[0]->core.Publish(kGreeting, {version, 0}, version == 1 ? "hello" : "hello again", now,
                           actions);
    Deliver(nodes, 0, actions, now);
    now += std::chrono::seconds(1);
    for (std::size_t index = 0; index < kNodes; ++index) {
      Actions due;
      nodes[index]->core.Tick(now, due);
      Deliver(nodes, index, due, now);
    }
  }
  return 0;
}
