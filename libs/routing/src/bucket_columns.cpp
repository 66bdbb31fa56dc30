#include "bucket_columns.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>

#include "gaugevalve/routing/table_codec.h"

namespace gaugevalve::routing {
namespace {

constexpr std::size_t kMaxBuckets = std::numeric_limits<std::uint16_t>::max();

// Assigns the numbers that stand for nodes in a message.
class NodeNumbers {
 public:
  NodeNumbers(const std::vector<AgentEntry>& agents, proto::BucketColumns& message)
      : message_(message) {
    for (const AgentEntry& agent : agents) {
      Add(agent.node);
    }
  }

  std::uint32_t Of(base::NodeId node) {
    if (node == base::NodeId()) {
      return 0;
    }
    const auto known = numbers_.find(node);
    if (known != numbers_.end()) {
      return known->second;
    }
    message_.add_other_nodes(node.value());
    return Add(node);
  }

 private:
  std::uint32_t Add(base::NodeId node) {
    const auto number = static_cast<std::uint32_t>(numbers_.size() + 1);
    numbers_.emplace(node, number);
    return number;
  }

  proto::BucketColumns& message_;
  std::map<base::NodeId, std::uint32_t> numbers_;
};

// Reads the columns of one message bucket by bucket.
class ColumnReader {
 public:
  ColumnReader(const proto::BucketColumns& message, const std::vector<AgentEntry>& agents)
      : message_(message) {
    if (message.other_nodes_size() > static_cast<int>(kMaxAgentsInMessage)) {
      throw DecodeError("buckets: too many other nodes");
    }
    nodes_.emplace_back();
    for (const AgentEntry& agent : agents) {
      nodes_.push_back(agent.node);
    }
    for (const std::uint64_t node : message.other_nodes()) {
      nodes_.emplace_back(node);
    }
    for (const proto::TableVersion& version : message.versions()) {
      versions_.push_back(FromProto(version));
    }
  }

  Bucket Read(int index) {
    Bucket bucket;
    bucket.version = VersionOf(message_.version_numbers(index));
    bucket.owner = NodeOf(message_.owners(index));
    const std::uint32_t length = message_.chain_lengths(index);
    if (length > kMaxPreviousOwners) {
      throw DecodeError("buckets: a chain is too long");
    }
    for (std::uint32_t member = 0; member < length; ++member) {
      AppendToChain(bucket);
    }
    return bucket;
  }

  bool AtEnd() const { return next_member_ == message_.chain_members_size(); }

 private:
  TableVersion VersionOf(std::uint32_t number) const {
    if (number >= versions_.size()) {
      throw DecodeError("buckets: unknown version number");
    }
    return versions_[number];
  }

  base::NodeId NodeOf(std::uint32_t number) const {
    if (number >= nodes_.size()) {
      throw DecodeError("buckets: unknown node number");
    }
    return nodes_[number];
  }

  void AppendToChain(Bucket& bucket) {
    if (AtEnd()) {
      throw DecodeError("buckets: chain members are missing");
    }
    const base::NodeId node = NodeOf(message_.chain_members(next_member_));
    ++next_member_;
    const bool twice = std::find(bucket.previous_owners.begin(), bucket.previous_owners.end(),
                                 node) != bucket.previous_owners.end();
    if (twice || node == bucket.owner || node == base::NodeId()) {
      throw DecodeError("buckets: a chain holds an agent twice, the bucket's owner or node 0");
    }
    bucket.previous_owners.push_back(node);
  }

  const proto::BucketColumns& message_;
  std::vector<base::NodeId> nodes_;
  std::vector<TableVersion> versions_;
  int next_member_ = 0;
};

}  // namespace

void ToProto(const TableVersion& version, proto::TableVersion& message) {
  message.set_epoch(version.epoch);
  message.set_generation(version.generation);
  message.set_sequence(version.sequence);
}

TableVersion FromProto(const proto::TableVersion& message) {
  return {message.epoch(), message.generation(), message.sequence()};
}

void ToProto(const std::vector<const Bucket*>& buckets, const std::vector<AgentEntry>& agents,
             proto::BucketColumns& message) {
  NodeNumbers numbers(agents, message);
  std::map<TableVersion, std::uint32_t> versions;
  for (const Bucket* bucket : buckets) {
    const auto next = static_cast<std::uint32_t>(versions.size());
    const auto [version, added] = versions.try_emplace(bucket->version, next);
    if (added) {
      ToProto(bucket->version, *message.add_versions());
    }
    message.add_version_numbers(version->second);
    message.add_owners(numbers.Of(bucket->owner));
    message.add_chain_lengths(static_cast<std::uint32_t>(bucket->previous_owners.size()));
    for (const base::NodeId node : bucket->previous_owners) {
      message.add_chain_members(numbers.Of(node));
    }
  }
}

std::vector<Bucket> FromProto(const proto::BucketColumns& message,
                              const std::vector<AgentEntry>& agents) {
  const int count = message.owners_size();
  if (count > static_cast<int>(kMaxBuckets)) {
    throw DecodeError("buckets: too many entries");
  }
  if (message.version_numbers_size() != count || message.chain_lengths_size() != count) {
    throw DecodeError("buckets: the columns differ in length");
  }
  ColumnReader reader(message, agents);
  std::vector<Bucket> buckets;
  buckets.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    buckets.push_back(reader.Read(index));
  }
  if (!reader.AtEnd()) {
    throw DecodeError("buckets: chain members are left over");
  }
  return buckets;
}

}  // namespace gaugevalve::routing
