// Simulates a service of several agents with faults of the agents and the network, and counts the
// executions of each key.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "gaugevalve/requests/at_most_once.h"

namespace gaugevalve::proofs {

// Numbers of events in a run, to check that the property was actually exercised.
struct ClusterCounts {
  std::size_t requests = 0;  // that reached a live agent
  std::size_t repeats = 0;   // of these, with a key that ran or may have run
  std::size_t runs = 0;      // executions that an agent started
  std::size_t kills = 0;     // of live agents
};

// The system under test. Each method is one event that may occur at any time; its numbers select
// among the existing agents, keys, runs and messages. Execution counts are checked as they change.
class Cluster {
 public:
  explicit Cluster(const requests::AtMostOnceMechanisms& mechanisms);

  // A caller sends a request to an agent, with an existing key or, if `is_new_key`, with a new one.
  void Request(std::uint32_t agent, std::uint32_t key, bool is_new_key);
  void FinishRun(std::uint32_t run, std::uint32_t outcome);
  void AbandonRequest(std::uint32_t request);

  void DeliverMessage(std::uint32_t message);
  void DeliverAll();
  void LoseMessage(std::uint32_t message);
  void DuplicateMessage(std::uint32_t message);

  // The planner moves a bucket to another agent. Tables reach agents only through DeliverTable().
  void MoveBucket(std::uint32_t bucket, std::uint32_t agent);
  void DeliverTable(std::uint32_t agent);

  // The process dies and loses its memory; it may restart as a new incarnation.
  void Kill(std::uint32_t agent);
  void Restart(std::uint32_t agent);

  // The process freezes or continues, without noticing the pause.
  void Freeze(std::uint32_t agent);
  void Thaw(std::uint32_t agent);

  // The planner removes an agent that it cannot reach from the table; the agent may be live.
  void RemoveFromTable(std::uint32_t agent);

  void AdvanceTime(std::uint32_t milliseconds);

  // Returns whether a key ran more than once.
  bool RanTwice() const { return ran_twice_; }

  const ClusterCounts& Counts() const { return counts_; }

 private:
  // One incarnation of an agent, while its memory exists.
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
    int executions = 0;  // number of executions that happened or may have happened
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
