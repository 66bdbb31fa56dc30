// Keeps in the store what all balancers in service understand.
#pragma once

#include <cstdint>
#include <optional>

#include "gaugevalve/base/time.h"
#include "gaugevalve/settings/capabilities.h"
#include "gaugevalve/settings/store_transaction.h"

namespace gaugevalve::settings {

struct CapabilityKeeperOptions {
  // The least must have been higher for this long before it is stored: a balancer that only was
  // away for a moment comes back. Lowering waits for nothing.
  base::Duration raise_after = std::chrono::minutes(1);
  // A transaction that could not be run, or was refused, is followed by another after this time.
  base::Duration retry_after = std::chrono::seconds(2);
};

// Decision core, used by the holder of the coordinator's lease. Not thread-safe.
//
// Each write compares the lease's key and the revision of the capabilities that was last read, so a
// coordinator that lost its lease, or a write that was delayed, changes nothing. Why edits are
// safe: edits compare the key too, and a balancer goes in service only when it understands Bound(),
// which is never below what the store has or may come to have.
class CapabilityKeeper {
 public:
  explicit CapabilityKeeper(const CapabilityKeeperOptions& options = {}) : options_(options) {}

  // The lease is held; `lease` is the condition that it still is.
  void OnLeaseHeld(KeyCondition lease);

  void OnLeaseLost();

  // `least` is the least schema version among the balancers that are there. Returns the transaction
  // to run when one is due; its answer must be given before another is returned.
  std::optional<StoreTransaction> Tick(std::uint32_t least, base::TimePoint now);

  // Takes the store's answer. Throws base::FindingsError when the stored document can't be read.
  void OnAnswer(const StoreTransactionAnswer& answer, base::TimePoint now);

  // The answer didn't come: the transaction may have been applied, or still be.
  void OnAnswerLost(base::TimePoint now);

  // Returns the schema version a balancer must understand to go in service now: the most that the
  // store has or may come to have. Nothing while that isn't known.
  std::optional<std::uint32_t> Bound() const;

 private:
  bool MustWrite(std::uint32_t least, base::TimePoint now);
  bool MayRise(base::TimePoint now) const;
  void TakeReads(const std::vector<StoredEntry>& reads);

  CapabilityKeeperOptions options_;
  std::optional<KeyCondition> lease_;
  std::optional<Capabilities> stored_;  // as last read or known to be written
  ModRevision mod_revision_;            // as last read; 0: absent, or never read
  bool is_certain_ = false;             // no write of ours may still be on its way
  std::optional<std::uint32_t> sent_;   // the value of the transaction that awaits its answer
  std::uint32_t rising_to_ = 0;         // a higher least is being waited for; 0: none
  base::TimePoint rising_since_{};
  base::TimePoint next_try_{};
};

}  // namespace gaugevalve::settings
