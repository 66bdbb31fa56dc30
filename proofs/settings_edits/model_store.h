// The store that the operators of the proof write to: keys, one revision counter, transactions.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/settings/store_transaction.h"

namespace gaugevalve::proofs {

// Follows the published semantics of an etcd transaction: all conditions are compared, then all
// writes are done under one new revision, or none.
class ModelStore {
 public:
  // Does the transaction and returns the answer.
  settings::StoreTransactionAnswer Run(const settings::StoreTransaction& transaction);

  // Returns the entries of these keys that exist.
  std::vector<settings::StoredEntry> Read(const std::vector<std::string>& keys) const;

  // Returns all entries whose key begins with the prefix.
  std::vector<settings::StoredEntry> ReadPrefix(std::string_view prefix) const;

  // Writes one key without a condition.
  void Put(const std::string& key, const std::string& value);

 private:
  struct Value {
    std::string text;
    settings::ModRevision mod_revision;
  };

  bool Holds(const settings::KeyCondition& condition) const;

  std::map<std::string, Value> values_;
  std::uint64_t revision_ = 1;
};

}  // namespace gaugevalve::proofs
