// Balancers that leave the store to a few of them, in simulated time, and an adversary.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/placement/balancer_core.h"
#include "gaugevalve/placement/balancer_gossip.h"

namespace gaugevalve::proofs {

// What a mutant takes away.
struct ReaderSimulationSettings {
  base::Duration change_limit = std::chrono::seconds(6);  // that the balancers believe in
  bool detects_failed_calls = true;  // a call that fails says nothing of the newest configuration
};

// One step is a tenth of a second. A balancer has to have each version within kLimit of its change,
// if all that time it ran and the store served it. The store may turn any of them away, silently or
// not; cuts between balancers are one-way.
class ReaderSimulation {
 public:
  static constexpr std::size_t kBalancers = 9;
  static constexpr base::Duration kLimit = std::chrono::seconds(6);

  explicit ReaderSimulation(const ReaderSimulationSettings& settings);

  void Advance();
  void AdvanceOneSecond();  // a second
  void Change();
  void Restart(std::uint32_t choice);
  void Pause(std::uint32_t choice);  // ends after two seconds
  void PauseReaders();
  void ToggleStoreRejection(std::uint32_t choice);  // until the next call for the same one
  void RejectReadersAtStore();
  void ToggleLink(
      std::uint32_t choice);  // from one to another; until the next call for the same two
  void EndFaultsAndSettle();  // ends all faults

  const std::optional<std::string>& Violation() const { return violation_; }
  std::size_t ChangesSeen() const { return changes_seen_; }
  std::size_t Calls() const { return calls_; }

 private:
  struct Message {
    base::SocketAddress sender;
    placement::BalancerGreeting greeting;
  };

  struct Balancer {
    std::unique_ptr<placement::BalancerCore> core;
    std::unique_ptr<placement::BalancerGossip> gossip;
    std::deque<Message> inbox;
    std::optional<base::TimePoint> paused_until;
    base::TimePoint next_round{};
    base::TimePoint healthy_since{};           // running, and served by the store
    std::optional<base::TimePoint> call_ends;  // of the call under way
    bool is_rejected = false;
    bool is_silent = false;  // turned away without an answer
    bool call_fails = false;
    std::uint64_t watched = 0;  // version that the watch under way began with; 0 for a read
  };

  void Start(std::size_t index);
  void Run(std::size_t index);
  void Take(std::size_t index, const Message& message);
  void CallStore(std::size_t index);
  void EndCall(std::size_t index);
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
  std::vector<base::TimePoint> changes_;  // of version 1 on
  std::optional<std::string> violation_;
  std::size_t changes_seen_ = 0;
  std::size_t calls_ = 0;
};

}  // namespace gaugevalve::proofs
