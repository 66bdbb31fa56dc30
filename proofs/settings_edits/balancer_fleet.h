// Balancers of two releases and the coordinators that count them, around
// settings::CapabilityKeeper.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/settings/capability_keeper.h"
#include "model_store.h"
#include "mutation.h"

namespace gaugevalve::proofs {

inline constexpr std::size_t kCoordinatorCount = 2;

// What a release understands; every edit of the proof needs the newer one's.
inline constexpr std::uint32_t kOlderRelease = 0;
inline constexpr std::uint32_t kNewerRelease = 1;

// Every member is known at once to the coordinator that holds the lease, and the roster to every
// member. A coordinator that lost the lease is cut off from the others, but not from the store: it
// doesn't know that it lost it, nor who came and went since, and nobody hears its roster.
class BalancerFleet {
 public:
  BalancerFleet(ModelStore& store, Mutation mutation) : store_(&store), mutation_(mutation) {}

  // Makes a first balancer of the newer release and lets it be counted.
  void Start();

  void Join(std::uint32_t release);
  // The balancer at this place leaves; the first one stays.
  void Leave(std::size_t place);

  // Gives the lease to this coordinator. The others don't hear of it.
  void MoveLease(std::size_t who);

  // A minute passes and the coordinator does its work. Returns its transaction when it has one.
  std::optional<settings::StoreTransaction> Work(std::size_t who);

  void OnAnswer(std::size_t who, const settings::StoreTransactionAnswer& answer);
  void OnAnswerLost(std::size_t who, const ModelStore* store);

  // Returns whether every balancer in service understands this schema version.
  bool Understands(std::uint32_t schema_version) const;

  // Returns whether a balancer of the older release is in service.
  bool HasOlderInService() const { return !Understands(kNewerRelease); }

 private:
  struct Balancer {
    std::uint32_t release;
    bool is_in_service;
  };

  std::uint32_t Least() const;
  void PublishRoster(std::size_t who);
  void AdmitBalancers();

  ModelStore* store_;
  Mutation mutation_;
  std::vector<Balancer> balancers_;
  std::array<settings::CapabilityKeeper, kCoordinatorCount> keepers_;
  std::array<std::uint32_t, kCoordinatorCount> least_seen_{};
  std::size_t holder_ = 0;
  std::uint32_t must_understand_ = 0;  // of the newest roster
  base::TimePoint now_{std::chrono::hours(1)};
};

}  // namespace gaugevalve::proofs
