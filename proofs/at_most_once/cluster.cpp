#include "cluster.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace gaugevalve::proofs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kAgents = 3;
constexpr std::size_t kBuckets = 2;
constexpr std::uint32_t kRunEnds = 3;

}  // namespace

Cluster::Cluster(const requests::AtMostOnceMechanisms& mechanisms) : now_(seconds(10'000)) {
  limits_.mechanisms = mechanisms;
  for (std::uint64_t node = 1; node <= kAgents; ++node) {
    StartIncarnation(base::NodeId(node));
  }
  auto table = std::make_shared<routing::BucketTable>();
  for (const auto& [node, agent] : agents_) {
    table->agents.push_back({node, agent.incarnation, {}, ""});
  }
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    table->buckets.push_back({{}, base::NodeId(bucket % kAgents + 1), {}});
  }
  table_ = table;
  ++sequence_;
  auto first = std::make_shared<routing::BucketTable>(*table);
  first->version = {1, 0, sequence_};
  for (routing::Bucket& bucket : first->buckets) {
    bucket.version = first->version;
  }
  table_ = first;
  Quiesce();
  now_ += limits_.restore_time + seconds(1);
  last_loss_at_ = now_ - limits_.restore_time;
  Quiesce();
}

void Cluster::StartIncarnation(base::NodeId node) {
  // Clocks differ by less than the allowed clock_margin.
  const base::Duration clock_error =
      milliseconds(300) * (next_incarnation_ % 3) - milliseconds(300);
  Agent agent;
  agent.incarnation = base::Incarnation(next_incarnation_);
  ++next_incarnation_;
  agent.core = std::make_unique<requests::AtMostOnce>(node, agent.incarnation, limits_, now_,
                                                      now_.time_since_epoch() + clock_error);
  agents_[node] = std::move(agent);
}

base::NodeId Cluster::NodeAt(std::uint32_t number) const {
  return base::NodeId(number % kAgents + 1);
}

Cluster::Agent* Cluster::LiveAgent(base::NodeId node) {
  const auto found = agents_.find(node);
  return found == agents_.end() ? nullptr : &found->second;
}

Cluster::Agent* Cluster::ActiveAgent(base::NodeId node) {
  Agent* const agent = LiveAgent(node);
  return agent == nullptr || agent->frozen ? nullptr : agent;
}

void Cluster::Request(std::uint32_t agent, std::uint32_t key, bool is_new_key) {
  Agent* const receiver = ActiveAgent(NodeAt(agent));
  if (receiver == nullptr) {
    return;
  }
  if (is_new_key || keys_.empty()) {
    const std::uint64_t number = keys_.size();
    keys_.push_back({{number + 1, number}, now_, 0});
    key = static_cast<std::uint32_t>(number);
  }
  key %= static_cast<std::uint32_t>(keys_.size());
  ++counts_.requests;
  counts_.repeats += keys_[key].executions > 0 ? 1 : 0;
  requests::KeyedRequest request;
  request.id = requests::RequestId(next_request_);
  ++next_request_;
  request.key = keys_[key].digest;
  request.fingerprint = key;
  request.key_created_at = keys_[key].created_at.time_since_epoch();
  request.deadline = now_ + seconds(20);
  key_of_request_[request.id] = key;
  agent_of_request_[request.id] = NodeAt(agent);
  Apply(NodeAt(agent), receiver->core->Begin(request, now_));
}

void Cluster::FinishRun(std::uint32_t run, std::uint32_t outcome) {
  if (runs_.empty()) {
    return;
  }
  const std::size_t index = run % runs_.size();
  const Run ended = runs_[index];
  Agent* const agent = ActiveAgent(ended.agent);
  if (agent == nullptr || agent->incarnation != ended.incarnation) {
    return;
  }
  runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(index));
  requests::ExecutionState state = requests::ExecutionState::kAnswered;
  if (outcome % kRunEnds == 1) {
    state = requests::ExecutionState::kUnknown;
  } else if (outcome % kRunEnds == 2) {
    state = requests::ExecutionState::kNotRun;  // the endpoint refused it, so it may run again
    --keys_[ended.key].executions;
  }
  Apply(ended.agent, agent->core->Finish(ended.id, state, {201, "", ""}, now_));
}

void Cluster::AbandonRequest(std::uint32_t request) {
  const requests::RequestId id(request % next_request_);
  const auto found = agent_of_request_.find(id);
  Agent* const agent = found == agent_of_request_.end() ? nullptr : ActiveAgent(found->second);
  if (agent != nullptr) {
    Apply(found->second, agent->core->Abandon(id, now_));
  }
}

void Cluster::Apply(base::NodeId node, requests::AtMostOnceActions actions) {
  for (requests::OutgoingMessage& outgoing : actions.send) {
    messages_.push_back({node, std::move(outgoing)});
  }
  for (const requests::RequestId id : actions.run) {
    const std::uint32_t key = key_of_request_.at(id);
    runs_.push_back({node, agents_.at(node).incarnation, id, key});
    ++keys_[key].executions;
    ++counts_.runs;
    ran_twice_ = ran_twice_ || keys_[key].executions > 1;
  }
}

void Cluster::DeliverAt(std::size_t index) {
  const Message message = messages_[index];
  Agent* const receiver = ActiveAgent(message.outgoing.destination);
  const bool waits = receiver == nullptr && LiveAgent(message.outgoing.destination) != nullptr;
  if (waits) {
    return;  // the message stays in the socket of the frozen process
  }
  messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
  if (receiver != nullptr) {
    Apply(message.outgoing.destination,
          receiver->core->OnMessage(message.sender, message.outgoing.message, now_));
  }
}

void Cluster::DeliverMessage(std::uint32_t message) {
  if (!messages_.empty()) {
    DeliverAt(message % messages_.size());
  }
}

void Cluster::DeliverAll() {
  // Messages sent in response are delivered too, up to a bound.
  constexpr int kMaxDeliveries = 2'000;
  std::size_t index = 0;
  for (int delivery = 0; delivery < kMaxDeliveries && index < messages_.size(); ++delivery) {
    const std::size_t before = messages_.size();
    DeliverAt(index);
    index += messages_.size() >= before &&
                     LiveAgent(messages_[index].outgoing.destination) != nullptr &&
                     ActiveAgent(messages_[index].outgoing.destination) == nullptr
                 ? 1
                 : 0;
  }
}

void Cluster::LoseMessage(std::uint32_t message) {
  if (!messages_.empty()) {
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(message % messages_.size()));
  }
}

void Cluster::DuplicateMessage(std::uint32_t message) {
  if (!messages_.empty()) {
    const Message duplicate = messages_[message % messages_.size()];
    messages_.push_back(duplicate);
  }
}

void Cluster::MoveBucket(std::uint32_t bucket, std::uint32_t agent) {
  auto table = std::make_shared<routing::BucketTable>(*table_);
  if (table->agents.empty()) {
    return;
  }
  ++sequence_;
  table->version = {1, 0, sequence_};
  routing::Bucket& entry = table->buckets[bucket % kBuckets];
  entry.version = table->version;
  entry.owner = table->agents[agent % table->agents.size()].node;
  table_ = table;
}

void Cluster::DeliverTable(std::uint32_t agent) {
  const base::NodeId node = NodeAt(agent);
  Agent* const receiver = ActiveAgent(node);
  const routing::AgentEntry* const entry = table_->FindAgent(node);
  const bool listed =
      receiver != nullptr && entry != nullptr && entry->incarnation == receiver->incarnation;
  if (listed) {
    Apply(node, receiver->core->SetTable(table_, now_, now_));
  }
}

void Cluster::Kill(std::uint32_t agent) {
  const base::NodeId node = NodeAt(agent);
  if (LiveAgent(node) == nullptr || agents_.size() == 1) {
    return;
  }
  RemoveFromTable(agent);
  agents_.erase(node);
  ++counts_.kills;
}

void Cluster::Restart(std::uint32_t agent) {
  const base::NodeId node = NodeAt(agent);
  if (LiveAgent(node) != nullptr && table_->FindAgent(node) != nullptr) {
    return;
  }
  StartIncarnation(node);
  auto table = std::make_shared<routing::BucketTable>(*table_);
  ++sequence_;
  table->version = {1, 0, sequence_};
  table->agents.push_back({node, agents_.at(node).incarnation, {}, ""});
  std::sort(table->agents.begin(), table->agents.end(),
            [](const auto& left, const auto& right) { return left.node < right.node; });
  for (routing::Bucket& bucket : table->buckets) {
    if (bucket.owner == base::NodeId()) {
      bucket.owner = node;
      bucket.version = table->version;
    }
  }
  table_ = table;
}

void Cluster::Freeze(std::uint32_t agent) {
  if (Agent* const target = LiveAgent(NodeAt(agent))) {
    target->frozen = true;
  }
}

void Cluster::Thaw(std::uint32_t agent) {
  if (Agent* const target = LiveAgent(NodeAt(agent))) {
    target->frozen = false;
  }
}

bool Cluster::IsSettled() const {
  return std::none_of(agents_.begin(), agents_.end(), [&](const auto& entry) {
    const routing::AgentEntry* const listed = table_->FindAgent(entry.first);
    const bool counts = listed != nullptr && listed->incarnation == entry.second.incarnation;
    return counts && entry.second.core->IsRestoring();
  });
}

// Delivers messages until all copies are restored. The documented limits of the guarantee assume
// that this happens within restore_time of a loss. Frozen agents that are listed are thawed first.
void Cluster::Quiesce() {
  constexpr int kMaxRounds = 50;
  for (int round = 0; round < kMaxRounds; ++round) {
    for (std::uint32_t number = 0; number < kAgents; ++number) {
      if (table_->FindAgent(NodeAt(number)) != nullptr) {
        Thaw(number);
      }
      DeliverTable(number);
    }
    DeliverAll();
    for (auto& [node, agent] : agents_) {
      if (!agent.frozen) {
        Apply(node, agent.core->OnTimer(now_));
      }
    }
    DeliverAll();
    if (round > 0 && IsSettled()) {
      return;
    }
    now_ += limits_.resend_interval;
  }
}

void Cluster::RemoveFromTable(std::uint32_t agent) {
  const base::NodeId node = NodeAt(agent);
  if (table_->FindAgent(node) == nullptr) {
    return;
  }
  if (now_ - last_loss_at_ >= limits_.restore_time) {
    Quiesce();
  }
  last_loss_at_ = now_;
  auto table = std::make_shared<routing::BucketTable>(*table_);
  ++sequence_;
  table->version = {1, 0, sequence_};
  std::erase_if(table->agents, [&](const auto& entry) { return entry.node == node; });
  std::size_t next = 0;
  for (routing::Bucket& bucket : table->buckets) {
    if (bucket.owner == node) {
      bucket.owner = table->agents.empty() ? base::NodeId()
                                           : table->agents[next++ % table->agents.size()].node;
      bucket.version = table->version;
    }
  }
  table_ = table;
}

void Cluster::AdvanceTime(std::uint32_t step_ms) {
  now_ += milliseconds(step_ms);
  for (auto& [node, agent] : agents_) {
    if (!agent.frozen) {
      Apply(node, agent.core->OnTimer(now_));
    }
  }
}

}  // namespace gaugevalve::proofs
