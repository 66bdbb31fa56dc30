#include "gaugevalve/control_simulation/simulated_store.h"

#include "gaugevalve/settings/store_layout.h"

namespace gaugevalve::control_simulation {

base::Revision SimulatedStore::Commit(const settings::SettingsTree& tree) {
  const settings::EditDescription edit{"edit-" + std::to_string(store_revision_), "simulation", "",
                                       0};
  root_ = settings::MakeRootDocument(root_.has_value() ? &*root_ : nullptr, tree, edit);
  settings_revision_at_ = ++store_revision_;
  const base::Revision at(settings_revision_at_);
  key_values_.clear();
  for (const settings::SubtreeDocument& document : settings::SplitTree(tree)) {
    const std::string key = settings::SubtreeKey(document.service);
    key_values_[key] = {key, document.text, at, at, 1, {}};
  }
  const std::string root_key(settings::kRootKey);
  key_values_[root_key] = {root_key, settings::FormatRootDocument(*root_), at, at, 1, {}};
  committed_[root_->revision] = settings::Resolve(tree);
  return root_->revision;
}

std::optional<store::WatchSnapshot> SimulatedStore::ReadSince(base::Revision known) {
  if (!available_ || settings_revision_at_ <= known.value()) {
    return std::nullopt;
  }
  ++reads_;
  store::WatchSnapshot snapshot{base::Revision(store_revision_), {}};
  for (const auto& [key, key_value] : key_values_) {
    snapshot.key_values.push_back(key_value);
  }
  return snapshot;
}

std::optional<settings::StoreTransactionAnswer> SimulatedStore::Run(
    const settings::StoreTransaction& transaction) {
  if (!available_) {
    return std::nullopt;
  }
  const settings::ModRevision held =
      capabilities_ ? capabilities_->mod_revision : settings::ModRevision(0);
  for (const settings::KeyCondition& condition : transaction.conditions) {
    const settings::ModRevision present = condition.key == settings::kCoordinatorLeaseKey
                                              ? settings::ModRevision(lease_token_)
                                              : held;
    if (present != condition.mod_revision) {
      settings::StoreTransactionAnswer failed;
      if (capabilities_) {
        failed.reads.push_back(*capabilities_);
      }
      return failed;
    }
  }
  for (const settings::KeyWrite& write : transaction.writes) {
    capabilities_ = {write.key, write.value, settings::ModRevision(++store_revision_)};
  }
  return settings::StoreTransactionAnswer{true, {}};
}

std::optional<settings::Capabilities> SimulatedStore::StoredCapabilities() const {
  return capabilities_ ? std::optional(settings::ParseCapabilities(capabilities_->value))
                       : std::nullopt;
}

std::optional<std::uint64_t> SimulatedStore::HoldLease(base::NodeId node, base::Duration ttl,
                                                       base::TimePoint now) {
  if (!available_) {
    return std::nullopt;
  }
  const bool lapsed = now >= lease_expires_;
  if (lapsed) {
    lease_holder_ = node;
    lease_token_ = ++store_revision_;
  }
  if (lease_holder_ != node) {
    return std::nullopt;
  }
  lease_expires_ = now + ttl;
  return lease_token_;
}

}  // namespace gaugevalve::control_simulation
