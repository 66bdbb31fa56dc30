#include "model_store.h"

#include <algorithm>

namespace gaugevalve::proofs {

using settings::ModRevision;
using settings::StoredEntry;

bool ModelStore::Holds(const settings::KeyCondition& condition) const {
  const auto found = values_.find(condition.key);
  const ModRevision present = found == values_.end() ? ModRevision(0) : found->second.mod_revision;
  return present == condition.mod_revision;
}

settings::StoreTransactionAnswer ModelStore::Run(const settings::StoreTransaction& transaction) {
  const auto holds = [this](const settings::KeyCondition& condition) { return Holds(condition); };
  if (!std::all_of(transaction.conditions.begin(), transaction.conditions.end(), holds)) {
    return {false, Read(transaction.reads_on_failure)};
  }
  ++revision_;
  for (const settings::KeyWrite& write : transaction.writes) {
    values_[write.key] = {write.value, ModRevision(revision_)};
  }
  for (const std::string& key : transaction.deletions) {
    values_.erase(key);
  }
  return {true, {}};
}

std::vector<StoredEntry> ModelStore::Read(const std::vector<std::string>& keys) const {
  std::vector<StoredEntry> entries;
  for (const std::string& key : keys) {
    const auto found = values_.find(key);
    if (found != values_.end()) {
      entries.push_back({key, found->second.text, found->second.mod_revision});
    }
  }
  return entries;
}

std::vector<StoredEntry> ModelStore::ReadPrefix(std::string_view prefix) const {
  std::vector<StoredEntry> entries;
  for (const auto& [key, value] : values_) {
    if (std::string_view(key).starts_with(prefix)) {
      entries.push_back({key, value.text, value.mod_revision});
    }
  }
  return entries;
}

void ModelStore::Put(const std::string& key, const std::string& value) {
  ++revision_;
  values_[key] = {value, ModRevision(revision_)};
}

}  // namespace gaugevalve::proofs
