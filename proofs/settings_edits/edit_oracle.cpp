#include "edit_oracle.h"

#include <rapidcheck.h>

#include <algorithm>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/settings/history_entry.h"
#include "gaugevalve/settings/store_layout.h"
#include "gaugevalve/settings/stored_tree.h"

namespace gaugevalve::proofs {
namespace {

settings::StoredTree ReadWholeTree(const ModelStore& store) {
  try {
    return settings::ParseStoredTree(store.ReadPrefix(settings::kTreePrefix));
  } catch (const base::FindingsError& error) {
    RC_FAIL(std::string("the stored tree is not whole: ") + error.what());
  }
}

}  // namespace

std::vector<settings::TreeOperation> WantedEdit::Operations() const {
  std::vector<settings::TreeOperation> operations;
  for (const auto& [path, value] : values) {
    operations.emplace_back(
        settings::SetOperation{settings::TreePath::Parse(path, "proof"), value});
  }
  return operations;
}

void EditOracle::Check(const ModelStore& store) {
  CheckHistory(store);
  CheckTree(store);
}

void EditOracle::CheckHistory(const ModelStore& store) {
  std::vector<std::string> applied;
  for (const settings::StoredEntry& entry : store.ReadPrefix(settings::kHistoryPrefix)) {
    const settings::HistoryEntry history = settings::ParseHistoryEntry(entry.value);
    if (history.revision.value() > 1) {  // the first made the tree
      applied.push_back(history.edit.comment);
    }
  }
  RC_ASSERT(applied.size() >= applied_.size());
  RC_ASSERT(std::equal(applied_.begin(), applied_.end(), applied.begin()));
  applied_ = std::move(applied);

  const std::set<std::string> distinct(applied_.begin(), applied_.end());
  RC_ASSERT(distinct.size() == applied_.size());
  for (const std::string& name : told_committed_) {
    RC_ASSERT(distinct.contains(name));
  }
  for (const std::string& name : told_not_applied_) {
    RC_ASSERT(!distinct.contains(name));
  }
}

void EditOracle::CheckTree(const ModelStore& store) const {
  std::map<std::string, std::string> expected = initial_;
  for (const std::string& name : applied_) {
    for (const auto& [path, value] : wanted_.at(name).values) {
      expected[path] = value;
    }
  }
  const settings::StoredTree stored = ReadWholeTree(store);
  RC_ASSERT(stored.Revision().value() == applied_.size() + 1);
  for (const auto& [path, value] : expected) {
    const settings::TreePath tree_path = settings::TreePath::Parse(path, "proof");
    RC_ASSERT(settings::ReadPath(stored.tree, tree_path) == value + "\n");
  }
}

}  // namespace gaugevalve::proofs
