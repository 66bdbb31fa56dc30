// The platform's store as far as control nodes see it: committed revisions and one lease.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/settings/capabilities.h"
#include "gaugevalve/settings/effective_settings.h"
#include "gaugevalve/settings/root_document.h"
#include "gaugevalve/settings/settings_tree.h"
#include "gaugevalve/settings/store_transaction.h"
#include "gaugevalve/store/watch_session.h"

namespace gaugevalve::control_simulation {

// One store for a simulated deployment. Commits are the truth that an oracle compares against.
class SimulatedStore {
 public:
  // Commits a whole tree as the next revision; works also while the store is away for the nodes.
  base::Revision Commit(const settings::SettingsTree& tree);

  // While the store is away reads, watches, transactions and the lease fail.
  void SetAvailable(bool available) { available_ = available; }
  bool IsAvailable() const { return available_; }

  // Returns everything below the settings' prefix, or nothing when nothing is newer than `known`
  // (the store revision of an earlier read) or the store is away.
  std::optional<store::WatchSnapshot> ReadSince(base::Revision known);

  // Takes or renews the coordinator's lease for `ttl`; returns its fencing token, or nothing when
  // another node has it or the store is away.
  std::optional<std::uint64_t> HoldLease(base::NodeId node, base::Duration ttl,
                                         base::TimePoint now);

  // Runs a transaction on the capabilities; returns nothing while the store is away.
  std::optional<settings::StoreTransactionAnswer> Run(
      const settings::StoreTransaction& transaction);

  // Returns the capabilities stored, if any.
  std::optional<settings::Capabilities> StoredCapabilities() const;

  // Returns the text of every committed revision's effective settings.
  const std::map<base::Revision, settings::EffectiveSettings>& Committed() const {
    return committed_;
  }

  std::uint64_t ReadCount() const { return reads_; }

 private:
  bool available_ = true;
  std::uint64_t store_revision_ = 1;
  std::uint64_t settings_revision_at_ = 0;  // store revision of the newest commit
  std::optional<settings::RootDocument> root_;
  std::map<std::string, store::KeyValue> key_values_;
  std::map<base::Revision, settings::EffectiveSettings> committed_;
  std::optional<settings::StoredEntry> capabilities_;
  base::NodeId lease_holder_;
  std::uint64_t lease_token_ = 0;
  base::TimePoint lease_expires_{};
  std::uint64_t reads_ = 0;
};

}  // namespace gaugevalve::control_simulation
