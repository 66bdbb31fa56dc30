// Measures on the simulator how news spreads among hollow nodes that run the real dissemination
// core: time until everywhere, bytes a second for each node, duplicates, and catching up.
//
// Balancers hold all records: a root, a subtree and a table for each service. An agent holds its
// own service's two. Edits change a subtree and the root; table changes are a planner's small
// deltas.
#include <sys/resource.h>

#include <algorithm>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "gaugevalve/dissemination/dissemination_core.h"
#include "gaugevalve/simulation/simulator.h"

ABSL_FLAG(std::uint32_t, balancers, 100, "nodes that hold everything");
ABSL_FLAG(std::uint32_t, agents, 0, "nodes that hold one service's records");
ABSL_FLAG(std::uint32_t, services, 100, "services");
ABSL_FLAG(double, seconds, 60, "measured time, simulated seconds");
ABSL_FLAG(double, edits_per_second, 0.04, "settings edits (3,400 a day are 0.04 a second)");
ABSL_FLAG(double, tables_per_second, 2, "table changes");
ABSL_FLAG(std::uint32_t, burst, 0, "edits at once in the middle of the run");
ABSL_FLAG(double, loss, 0, "share of messages lost, repeated and reordered");
ABSL_FLAG(double, isolate_seconds, 0, "cut one balancer off for this long before the measurement");
ABSL_FLAG(std::uint32_t, relays, 5, "peers told of each new record");
ABSL_FLAG(std::uint32_t, eager_relays, 2, "of these, how many get its bytes at once");
ABSL_FLAG(double, request_timeout, 0.4, "seconds until another peer is asked for a record");
ABSL_FLAG(double, compare_interval, 0.6, "seconds between a balancer's comparisons");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the run");

namespace gaugevalve::dissemination {
namespace {

constexpr RecordKey kRoot{1, 0};
constexpr std::uint32_t kSubtreeKind = 2;
constexpr std::uint32_t kTableKind = 4;
constexpr std::size_t kSubtreeBytes = 700;
constexpr std::size_t kTableColumns = 768;
constexpr std::uint16_t kPort = 7000;
constexpr std::uint32_t kFirstAddress = 0x0A000001;

base::SocketAddress AddressOf(std::size_t index) {
  return base::SocketAddress::Ipv4(kFirstAddress + static_cast<std::uint32_t>(index), kPort);
}

// One change on its way.
struct Change {
  RecordVersion version;
  base::TimePoint published_at;
  std::size_t missing = 0;  // nodes that don't hold it or a newer one yet
};

// Follows the changes until they are everywhere.
class Tracker {
 public:
  void Publish(const RecordKey& key, const RecordVersion& version, std::size_t holders,
               base::TimePoint now) {
    pending_[key].push_back({version, now, holders});
  }

  // A node's record went from one version to another.
  void Hold(const RecordKey& key, const RecordVersion& from, const RecordVersion& to,
            base::TimePoint now) {
    std::vector<Change>& changes = pending_[key];
    for (Change& change : changes) {
      if (change.version > from && change.version <= to && --change.missing == 0) {
        delays_.push_back(now - change.published_at);
      }
    }
    std::erase_if(changes, [](const Change& change) { return change.missing == 0; });
  }

  // Returns the delay below which this share of the changes was everywhere, in seconds.
  double Quantile(double share) {
    if (delays_.empty()) {
      return 0;
    }
    std::sort(delays_.begin(), delays_.end());
    const auto place = static_cast<std::size_t>(share * static_cast<double>(delays_.size() - 1));
    return std::chrono::duration<double>(delays_[place]).count();
  }

  std::size_t DoneCount() const { return delays_.size(); }

  std::size_t PendingCount() const {
    std::size_t count = 0;
    for (const auto& [key, changes] : pending_) {
      count += changes.size();
    }
    return count;
  }

 private:
  std::map<RecordKey, std::vector<Change>> pending_;
  std::vector<base::Duration> delays_;
};

// A node that runs the core and nothing else.
class HollowNode final : public simulation::SimulatedNode {
 public:
  HollowNode(const DisseminationOptions& options, Tracker& tracker)
      : options_(options), tracker_(&tracker) {}

  void OnStart(simulation::NodeContext& context) override {
    context_ = &context;
    core_ = std::make_unique<DisseminationCore>(options_, context.Random());
  }

  void OnMessage(const simulation::Message& message) override {
    const std::uint64_t sender = message.source.value() + 1;
    Actions actions;
    core_->Receive(base::NodeId(sender), message.bytes, context_->Now(), actions);
    Perform(actions);
  }

  void OnTimer(simulation::TimerToken token) override {
    if (token == armed_) {
      armed_at_ = base::TimePoint::max();
      Actions actions;
      core_->Tick(context_->Now(), actions);
      Perform(actions);
    }
  }

  void Publish(const RecordKey& key, const RecordVersion& version, std::string value) {
    Actions actions;
    core_->Publish(key, version, std::move(value), context_->Now(), actions);
    Perform(actions);
  }

  DisseminationCore& Core() { return *core_; }

 private:
  void Perform(const Actions& actions) {
    for (const OutgoingMessage& message : actions.messages) {
      context_->Send(AddressOf(message.to.value() - 1), 0, message.bytes);
    }
    for (const RecordKey& key : actions.changed) {
      const RecordVersion version = core_->Records().StampOf(key).version;
      tracker_->Hold(key, versions_[key], version, context_->Now());
      versions_[key] = version;
    }
    const base::TimePoint due = std::max(core_->NextDeadline(), context_->Now());
    if (due < armed_at_) {
      armed_at_ = due;
      context_->SetTimer(due - context_->Now(), ++armed_);
    }
  }

  DisseminationOptions options_;
  Tracker* tracker_;
  simulation::NodeContext* context_ = nullptr;
  std::unique_ptr<DisseminationCore> core_;
  std::map<RecordKey, RecordVersion> versions_;
  simulation::TimerToken armed_ = 0;
  base::TimePoint armed_at_ = base::TimePoint::max();
};

// The deployment, its workload and the report.
class Benchmark {
 public:
  Benchmark()
      : random_(absl::GetFlag(FLAGS_seed)),
        simulator_(absl::GetFlag(FLAGS_seed), simulation::NetworkModel(Zones(), {})),
        balancers_(absl::GetFlag(FLAGS_balancers)),
        services_(absl::GetFlag(FLAGS_services)) {
    const std::size_t nodes = balancers_ + absl::GetFlag(FLAGS_agents);
    for (std::size_t node = 0; node < nodes; ++node) {
      AddNode(node);
    }
    MakeRecords();
    for (std::size_t node = 0; node < nodes; ++node) {
      Load(node);
    }
    for (std::size_t node = 0; node < nodes; ++node) {
      Introduce(node);
    }
  }

  void Run() {
    simulator_.RunFor(std::chrono::seconds(5));
    const double isolated = absl::GetFlag(FLAGS_isolate_seconds);
    if (isolated > 0) {
      simulator_.Network().IsolateNode(simulation::NodeIndex(0));
      Work(isolated, 1, 0);
      simulator_.Network().HealPartitions();
      MeasureCatchUp();
    }
    tracker_ = {};
    simulation::NetworkFaults faults;
    faults.loss = absl::GetFlag(FLAGS_loss);
    faults.duplication = faults.loss;
    faults.reordering = faults.loss;
    simulator_.Network().SetFaults(faults);
    const std::vector<DisseminationCounters> before = Counters();
    const double cpu_before = CpuSeconds();
    const double seconds = absl::GetFlag(FLAGS_seconds);
    Work(seconds / 2, 0, 0);
    Work(seconds / 2, 0, absl::GetFlag(FLAGS_burst));
    const double cpu = CpuSeconds() - cpu_before;
    const std::vector<DisseminationCounters> after = Counters();
    simulator_.RunFor(std::chrono::seconds(30));
    Report(before, after, seconds, cpu);
  }

 private:
  static std::vector<simulation::ZoneDescription> Zones() {
    return {{"north", "n1"}, {"north", "n2"}, {"north", "n3"}, {"north", "n4"},
            {"south", "s1"}, {"south", "s2"}, {"south", "s3"}};
  }

  std::uint32_t ServiceOf(std::size_t agent) const {
    return static_cast<std::uint32_t>((agent - balancers_) % services_) + 1;
  }

  Interest InterestOf(std::size_t node) const {
    Interest interest;
    interest.everything = node < balancers_;
    interest.scope = interest.everything ? 0 : ServiceOf(node);
    return interest;
  }

  void AddNode(std::size_t node) {
    const std::vector<simulation::ZoneDescription> zones = Zones();
    DisseminationOptions options;
    options.self = base::NodeId(node + 1);
    options.zone = zones[node % zones.size()].name;
    options.interest = InterestOf(node);
    options.relays = absl::GetFlag(FLAGS_relays);
    options.eager_relays = absl::GetFlag(FLAGS_eager_relays);
    options.request_timeout = Seconds(absl::GetFlag(FLAGS_request_timeout));
    options.compare_interval = Seconds(absl::GetFlag(FLAGS_compare_interval));
    auto life = std::make_unique<HollowNode>(options, tracker_);
    nodes_.push_back(life.get());
    const simulation::ZoneIndex zone(static_cast<std::uint16_t>(node % zones.size()));
    simulator_.AddNode({zone, AddressOf(node)}, std::move(life));
  }

  void MakeRecords() {
    for (std::uint32_t service = 1; service <= services_; ++service) {
      values_[{kSubtreeKind, service}] = Noise(kSubtreeBytes, "abcdefghijklmnopqrstuvwxyz: \n");
      values_[{kTableKind, service}] = Noise(kTableColumns, "\1\2\3\4");
      values_[kRoot] += RootLine(service, random_.NextUint64());
    }
  }

  std::string Noise(std::size_t size, const std::string& alphabet) {
    std::string text(size, ' ');
    for (char& letter : text) {
      letter = alphabet[random_.NextBelow(alphabet.size())];
    }
    return text;
  }

  // As a RootDocument has it: a service, its digest and the revision that changed it.
  static std::string RootLine(std::uint32_t service, std::uint64_t digest) {
    std::ostringstream line;
    line << "{\"service\":\"service-" << std::setw(6) << service << "\",\"digest\":\"" << std::hex
         << std::setfill('0') << std::setw(16) << digest << "\"}\n";
    return line.str();
  }

  // Before the nodes know each other, so that nothing is sent.
  void Load(std::size_t node) {
    const Interest interest = InterestOf(node);
    for (const auto& [key, value] : values_) {
      if (interest.Covers(key)) {
        nodes_[node]->Publish(key, {1, 0}, value);
      }
    }
  }

  void Introduce(std::size_t node) {
    const std::vector<simulation::ZoneDescription> zones = Zones();
    // Agents talk to balancers only.
    const std::size_t known = node < balancers_ ? nodes_.size() : balancers_;
    for (std::size_t peer = 0; peer < known; ++peer) {
      if (peer != node) {
        nodes_[node]->Core().UpsertPeer(
            {base::NodeId(peer + 1), zones[peer % zones.size()].name, InterestOf(peer)});
      }
    }
  }

  std::size_t HoldersOf(const RecordKey& key) const {
    std::size_t holders = 0;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      holders += InterestOf(node).Covers(key) ? 1 : 0;
    }
    return holders;
  }

  // Makes the changes of this many seconds, by balancers from `first_author` on.
  void Work(double seconds, std::size_t first_author, std::uint32_t burst) {
    for (std::uint32_t edit = 0; edit < burst; ++edit) {
      Edit(first_author);
    }
    const base::TimePoint end = simulator_.Now() + Seconds(seconds);
    const double rate =
        absl::GetFlag(FLAGS_edits_per_second) + absl::GetFlag(FLAGS_tables_per_second);
    if (rate <= 0) {
      simulator_.RunFor(Seconds(seconds));
    }
    while (simulator_.Now() < end && rate > 0) {
      simulator_.RunFor(Seconds(random_.NextExponential(1 / rate)));
      const bool is_edit = random_.NextUnit() * rate < absl::GetFlag(FLAGS_edits_per_second);
      const std::size_t author = first_author + random_.NextBelow(balancers_ - first_author);
      if (is_edit) {
        Edit(author);
      } else {
        Change({kTableKind, RandomService()}, author, 3);
      }
    }
  }

  static base::Duration Seconds(double seconds) {
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
  }

  std::uint32_t RandomService() {
    return static_cast<std::uint32_t>(random_.NextBelow(services_)) + 1;
  }

  void Edit(std::size_t author) {
    Change({kSubtreeKind, RandomService()}, author, 2);
    Change(kRoot, author, 16);
  }

  // Changes this many bytes of a record in a row, except the first of the line.
  void Change(const RecordKey& key, std::size_t author, std::size_t bytes) {
    std::string& value = values_[key];
    const std::size_t place = random_.NextBelow(value.size() - bytes);
    for (std::size_t offset = 0; offset < bytes; ++offset) {
      value[place + offset] = static_cast<char>('0' + random_.NextBelow(10));
    }
    const RecordVersion version{++version_ + 1, 0};
    tracker_.Publish(key, version, HoldersOf(key), simulator_.Now());
    nodes_[author]->Publish(key, version, value);
  }

  void MeasureCatchUp() {
    const base::TimePoint started = simulator_.Now();
    const auto caught_up = [&] {
      return nodes_[0]->Core().Records().Digests().Root() ==
             nodes_[1]->Core().Records().Digests().Root();
    };
    const bool done = simulator_.RunUntil(caught_up, std::chrono::minutes(5));
    std::cout << "catch-up of a balancer after " << absl::GetFlag(FLAGS_isolate_seconds)
              << " s: " << std::chrono::duration<double>(simulator_.Now() - started).count()
              << (done ? " s\n" : " s and not done\n");
  }

  std::vector<DisseminationCounters> Counters() {
    std::vector<DisseminationCounters> counters;
    for (HollowNode* node : nodes_) {
      counters.push_back(node->Core().Counters());
    }
    return counters;
  }

  static double CpuSeconds() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec) +
           static_cast<double>(usage.ru_utime.tv_usec) / 1e6;
  }

  void Report(const std::vector<DisseminationCounters>& before,
              const std::vector<DisseminationCounters>& after, double seconds, double cpu) {
    double balancer_bytes = 0;
    double most_bytes = 0;
    double agent_bytes = 0;
    double duplicates = 0;
    double updates = 0;
    std::uint64_t without_base = 0;
    std::uint64_t dropped = 0;
    std::uint64_t expired = 0;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      const double bytes =
          static_cast<double>(after[node].bytes_sent - before[node].bytes_sent) / seconds;
      (node < balancers_ ? balancer_bytes : agent_bytes) += bytes;
      most_bytes = std::max(most_bytes, bytes);
      duplicates +=
          static_cast<double>(after[node].duplicates_received - before[node].duplicates_received);
      updates += static_cast<double>(after[node].updates_received - before[node].updates_received);
      without_base += after[node].patches_without_base - before[node].patches_without_base;
      dropped += after[node].queue_dropped - before[node].queue_dropped;
      expired += after[node].answers_expired - before[node].answers_expired;
    }
    const auto agents = static_cast<double>(nodes_.size() - balancers_);
    std::cout << std::fixed << std::setprecision(2) << "balancers " << balancers_ << " agents "
              << agents << " services " << services_ << " changes " << tracker_.DoneCount()
              << " not everywhere after 30 s " << tracker_.PendingCount()
              << " | everywhere after, s: p50 " << tracker_.Quantile(0.5) << " p99 "
              << tracker_.Quantile(0.99) << " max " << tracker_.Quantile(1)
              << " | sent, B/s: balancer mean " << balancer_bytes / static_cast<double>(balancers_)
              << " most " << most_bytes << " agent mean " << (agents > 0 ? agent_bytes / agents : 0)
              << " | duplicates per update " << duplicates / std::max(1.0, updates - duplicates)
              << " | patches without base " << without_base << " queue dropped " << dropped
              << " answers expired " << expired << " | cpu per node, % "
              << 100 * cpu / (static_cast<double>(nodes_.size()) * seconds) << " | seed "
              << absl::GetFlag(FLAGS_seed) << '\n';
  }

  base::RandomSource random_;
  Tracker tracker_;
  simulation::Simulator simulator_;
  std::size_t balancers_;
  std::uint32_t services_;
  std::vector<HollowNode*> nodes_;  // owned by the simulator
  std::map<RecordKey, std::string> values_;
  std::uint64_t version_ = 1;
};

}  // namespace
}  // namespace gaugevalve::dissemination

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Measures how records spread among simulated nodes.");
  absl::ParseCommandLine(argc, argv);
  gaugevalve::dissemination::Benchmark().Run();
  return 0;
}
