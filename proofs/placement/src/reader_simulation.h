// Simulation of balancers of which a few read the store, with injected faults.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/placement/balancer_core.h"
#include "gaugevalve/placement/balancer_gossip.h"
#include "gaugevalve/placement/store_call_scheduler.h"

namespace gaugevalve::proofs {

// Protections of the cores. Each mutant disables one of them.
struct ReaderSimulationSettings {
  base::Duration change_limit = std::chrono::seconds(6);  // as configured on balancers
  bool detects_failed_calls = true;  // a failed call is not a contact with the store
};

// One step is 100 ms. Each balancer that runs and is served by the store has to have each version
// within kLimit of its change. The store may reject any balancer, with or without an answer. Broken
// links between balancers are one-way.
class ReaderSimulation {
 public:
  static constexpr std::size_t kBalancers = 9;
  static constexpr base::Duration kLimit = std::chrono::seconds(6);

  explicit ReaderSimulation(const ReaderSimulationSettings& settings);

  void Advance();
  void AdvanceOneSecond();
  void Change();
  void Restart(std::uint32_t choice);
  void Pause(std::uint32_t choice);  // for two seconds
  void PauseReaders();
  void ToggleStoreRejection(std::uint32_t choice);  // for one balancer
  void RejectReadersAtStore();
  void ToggleStoreSilence();              // for all balancers
  void ToggleLink(std::uint32_t choice);  // breaks or restores one direction
  void EndFaultsAndSettle();              // ends all faults and waits 8 s

  const std::optional<std::string>& Violation() const { return violation_; }
  std::size_t ChangesSeen() const { return changes_seen_; }
  std::size_t Calls() const { return calls_; }

 private:
  struct Message {
    base::SocketAddress sender;
    placement::BalancerGreeting greeting;
  };

  struct Call {
    placement::StartStoreCall started;
    base::TimePoint started_at{};
    std::uint64_t known_version = 0;  // of the balancer at its start
    bool is_lost = false;             // the connection stays silent
  };

  struct Balancer {
    std::unique_ptr<placement::BalancerCore> core;
    std::unique_ptr<placement::BalancerGossip> gossip;
    std::deque<Message> inbox;
    std::optional<base::TimePoint> paused_until;
    base::TimePoint next_round{};
    base::TimePoint healthy_since{};  // running and served by the store
    bool is_rejected = false;
    bool is_silent = false;  // rejected without an answer
    std::unique_ptr<placement::StoreCallScheduler> scheduler;
    std::map<placement::StoreCallId, Call> calls;
  };

  void Start(std::size_t index);
  void Run(std::size_t index);
  void Take(std::size_t index, const Message& message);
  void RunCalls(std::size_t index);
  void RunCall(std::size_t index, Call& call);
  void EndCall(std::size_t index, placement::StoreCallId call, placement::StoreCallEnd end);
  void ExecuteCalls(std::size_t index);
  void SetVersion(std::size_t index, std::uint64_t version);
  void Send(std::size_t index, const std::vector<placement::OutgoingGreeting>& greetings);
  void PauseOne(std::size_t index);
  void SetStoreRejection(std::size_t index, bool is_rejected, bool is_silent);
  std::vector<std::size_t> Readers();
  void Check();

  ReaderSimulationSettings settings_;
  base::RandomSource random_{1};
  base::TimePoint now_{std::chrono::seconds(100)};
  std::vector<Balancer> balancers_;
  std::vector<bool> broken_links_ = std::vector<bool>(kBalancers * kBalancers);
  std::vector<base::TimePoint> changes_;  // times of version 1 and later ones
  std::optional<std::string> violation_;
  std::size_t changes_seen_ = 0;
  std::size_t calls_ = 0;
  bool is_store_silent_ = false;
};

}  // namespace gaugevalve::proofs
