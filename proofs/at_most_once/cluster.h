// A service of a few agents with everything that can go wrong between them, and the oracle that
// counts executions.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "gaugevalve/requests/at_most_once.h"

namespace gaugevalve::proofs {

// What happened to a cluster, to show that a property wasn't about nothing.
struct ClusterCounts {
  std::size_t requests = 0;  // that reached a live agent
  std::size_t repeats = 0;   // of these, with a key that ran or may have run
  std::size_t runs = 0;      // executions that an agent began
  std::size_t kills = 0;     // of agents that lived
};

// The system under test. Every method is one event that may come at any moment; the numbers choose
// among what is there. Execution counts are checked as they happen.
class Cluster {
 public:
  explicit Cluster(const requests::AtMostOnceMechanisms& mechanisms);

  // A caller sends a request with one of a few keys to an agent; `is_new_key` begins a new key.
  void Request(std::uint32_t agent, std::uint32_t key, bool is_new_key);
  void FinishRun(std::uint32_t run, std::uint32_t outcome);
  void AbandonRequest(std::uint32_t request);

  void DeliverMessage(std::uint32_t message);
  void DeliverAll();
  void LoseMessage(std::uint32_t message);
  void DuplicateMessage(std::uint32_t message);

  // The planner gives a bucket to another agent; tables reach agents only by DeliverTable().
  void MoveBucket(std::uint32_t bucket, std::uint32_t agent);
  void DeliverTable(std::uint32_t agent);

  // The process dies and its memory with it; it may start again as a new life.
  void Kill(std::uint32_t agent);
  void Restart(std::uint32_t agent);

  // The process stands still, or goes on, without noticing.
  void Freeze(std::uint32_t agent);
  void Thaw(std::uint32_t agent);

  // The planner takes an agent that it can't reach out of the table, rightly or not.
  void RemoveFromTable(std::uint32_t agent);

  void AdvanceTime(std::uint32_t milliseconds);

  // Returns whether a key ran more than once.
  bool RanTwice() const { return ran_twice_; }

  const ClusterCounts& Counts() const { return counts_; }

 private:
  // One life of an agent, as long as its memory exists.
  struct Agent {
    base::Incarnation incarnation;
    std::unique_ptr<requests::AtMostOnce> core;
    bool frozen = false;
  };

  struct Message {
    base::NodeId sender;
    requests::OutgoingMessage outgoing;
  };

  struct Run {
    base::NodeId agent;
    base::Incarnation incarnation;
    requests::RequestId id;
    std::uint32_t key = 0;
  };

  struct Key {
    requests::KeyDigest digest;
    base::TimePoint created_at;
    int executions = 0;  // that happened or may have happened
  };

  base::NodeId NodeAt(std::uint32_t number) const;
  Agent* LiveAgent(base::NodeId node);
  Agent* ActiveAgent(base::NodeId node);
  void StartIncarnation(base::NodeId node);
  void Apply(base::NodeId node, requests::AtMostOnceActions actions);
  void DeliverAt(std::size_t index);
  void Quiesce();
  bool IsSettled() const;

  requests::AtMostOnceLimits limits_;
  base::TimePoint now_;
  std::uint64_t next_incarnation_ = 1;
  std::uint64_t next_request_ = 1;
  std::uint32_t sequence_ = 0;
  std::map<base::NodeId, Agent> agents_;
  std::shared_ptr<const routing::BucketTable> table_;
  std::vector<Message> messages_;
  std::vector<Run> runs_;
  std::vector<Key> keys_;
  std::map<requests::RequestId, std::uint32_t> key_of_request_;
  std::map<requests::RequestId, base::NodeId> agent_of_request_;
  base::TimePoint last_loss_at_;
  bool ran_twice_ = false;
  ClusterCounts counts_;
};

}  // namespace gaugevalve::proofs
