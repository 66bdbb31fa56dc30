#include "gaugevalve/settings/capability_keeper.h"

#include <algorithm>
#include <string>
#include <utility>

#include "gaugevalve/settings/store_layout.h"

namespace gaugevalve::settings {

void CapabilityKeeper::OnLeaseHeld(KeyCondition lease) {
  if (lease_ == lease) {
    return;
  }
  OnLeaseLost();
  lease_ = std::move(lease);
}

void CapabilityKeeper::OnLeaseLost() {
  lease_.reset();
  stored_.reset();
  mod_revision_ = ModRevision(0);
  is_certain_ = false;
  sent_.reset();
  rising_to_ = 0;
  next_try_ = {};
}

std::optional<StoreTransaction> CapabilityKeeper::Tick(std::uint32_t least, base::TimePoint now) {
  if (!lease_ || sent_ || !MustWrite(least, now) || now < next_try_) {
    return std::nullopt;
  }
  const bool must_wait = stored_ && least > stored_->schema_version && !MayRise(now);
  sent_ = must_wait ? stored_->schema_version : least;
  const std::string key(kCapabilitiesKey);
  StoreTransaction transaction;
  transaction.conditions = {*lease_, {key, mod_revision_}};
  transaction.writes = {{key, FormatCapabilities({*sent_})}};
  transaction.reads_on_failure = {key};
  return transaction;
}

// While it isn't certain what the store has, a write settles it: it succeeds on what was read last,
// and then no earlier one can.
bool CapabilityKeeper::MustWrite(std::uint32_t least, base::TimePoint now) {
  const bool rises = stored_ && least > stored_->schema_version;
  if (!rises) {
    rising_to_ = 0;
  } else if (rising_to_ != least) {
    rising_to_ = least;
    rising_since_ = now;
  }
  return !is_certain_ || least < stored_->schema_version || (rises && MayRise(now));
}

bool CapabilityKeeper::MayRise(base::TimePoint now) const {
  return now >= rising_since_ + options_.raise_after;
}

void CapabilityKeeper::OnAnswer(const StoreTransactionAnswer& answer, base::TimePoint now) {
  if (!lease_ || !sent_) {
    return;
  }
  const std::uint32_t sent = *std::exchange(sent_, std::nullopt);
  if (answer.succeeded) {
    // The key's revision isn't in the answer: the next write fails once and reads it.
    stored_ = Capabilities{sent};
    is_certain_ = true;
    return;
  }
  is_certain_ = false;
  next_try_ = now;
  TakeReads(answer.reads);
}

void CapabilityKeeper::TakeReads(const std::vector<StoredEntry>& reads) {
  const ModRevision known = mod_revision_;
  stored_.reset();
  mod_revision_ = ModRevision(0);
  for (const StoredEntry& entry : reads) {
    if (entry.key == kCapabilitiesKey) {
      mod_revision_ = entry.mod_revision;
      stored_ = ParseCapabilities(entry.value);
    }
  }
  const bool lease_is_lost = mod_revision_ == known;  // so the other condition failed
  if (lease_is_lost) {
    OnLeaseLost();
  }
}

void CapabilityKeeper::OnAnswerLost(base::TimePoint now) {
  if (sent_) {
    sent_.reset();
    is_certain_ = false;
    next_try_ = now + options_.retry_after;
  }
}

std::optional<std::uint32_t> CapabilityKeeper::Bound() const {
  if (!lease_ || !is_certain_) {
    return std::nullopt;
  }
  return std::max({stored_->schema_version, rising_to_, sent_.value_or(0)});
}

}  // namespace gaugevalve::settings
