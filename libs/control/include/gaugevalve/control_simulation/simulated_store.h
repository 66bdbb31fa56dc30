// Simulated store as control nodes use it: committed revisions and one lease.
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

// Store of a simulated deployment. Its commits are the reference that an oracle compares nodes
// with.
class SimulatedStore {
 public:
  // Commits a whole tree as the next revision, also while the store is unavailable to nodes.
  base::Revision Commit(const settings::SettingsTree& tree);

  // While the store is unavailable, reads, watches, transactions and the lease fail.
  void SetAvailable(bool available) { available_ = available; }
  bool IsAvailable() const { return available_; }

  // Returns all entries below the settings' prefix; nothing if none is newer than `known`, the
  // store revision of an earlier read, or the store is unavailable.
  std::optional<store::WatchSnapshot> ReadSince(base::Revision known);

  // Acquires or renews the coordinator's lease for `ttl`. Returns its fencing token; nothing if
  // another node has the lease or the store is unavailable.
  std::optional<std::uint64_t> HoldLease(base::NodeId node, base::Duration ttl,
                                         base::TimePoint now);

  // Runs a transaction on the capabilities; returns nothing while the store is unavailable.
  std::optional<settings::StoreTransactionAnswer> Run(
      const settings::StoreTransaction& transaction);

  // Returns the capabilities stored, if any.
  std::optional<settings::Capabilities> StoredCapabilities() const;

  // Returns the effective settings of every committed revision.
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
