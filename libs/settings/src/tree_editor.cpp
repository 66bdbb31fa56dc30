#include "gaugevalve/settings/tree_editor.h"

#include <algorithm>
#include <set>
#include <utility>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/settings/store_layout.h"

namespace gaugevalve::settings {
namespace {

// Until a coordinator has stored capabilities there are no balancers to hold back for.
constexpr Capabilities kAllOfThisRelease{kSchemaVersion};

const StoredEntry* FindEntry(const std::vector<StoredEntry>& entries, std::string_view key) {
  const auto match = [key](const StoredEntry& entry) { return entry.key == key; };
  const auto found = std::find_if(entries.begin(), entries.end(), match);
  return found == entries.end() ? nullptr : &*found;
}

// Returns 0 for a key that isn't there, as the store's comparisons do.
ModRevision ModRevisionOf(const StoredEntry* entry) {
  return entry == nullptr ? ModRevision(0) : entry->mod_revision;
}

[[noreturn]] void Refuse(std::string message) {
  throw base::FindingsError({{{"edit", 0, 0, ""}, std::move(message)}});
}

}  // namespace

std::string_view EditStatusWords(EditStatus status) {
  switch (status) {
    case EditStatus::kPending:
      return "not answered yet";
    case EditStatus::kCommitted:
      return "committed";
    case EditStatus::kLostRace:
      return "another edit came first; nothing of this one was applied";
    case EditStatus::kCapabilitiesChanged:
      return "what the balancers support changed meanwhile; nothing was applied";
    case EditStatus::kUndecided:
      return "the answer was lost; the edit is not in the tree but may still arrive";
    case EditStatus::kUnknown:
      return "the answer was lost and the history no longer tells the outcome";
  }
  return "";
}

TreeEditor::TreeEditor(StoredTree base, const std::vector<TreeOperation>& operations,
                       const EditDescription& edit)
    : base_(std::move(base)) {
  const SettingsTree tree_after = ApplyOperations(base_.tree, operations);
  changes_ = DiffTrees(base_.tree, tree_after);
  CheckEdit(tree_after);
  const RootDocument* const previous = base_.root ? &*base_.root : nullptr;
  next_root_ = MakeRootDocument(previous, tree_after, edit);
  PlanTransaction(tree_after);
}

void TreeEditor::CheckEdit(const SettingsTree& tree_after) const {
  if (changes_.empty()) {
    Refuse("changes nothing: the tree already is like this");
  }
  const std::uint32_t required = RequiredSchemaVersion(tree_after);
  const std::uint32_t supported = base_.capabilities.value_or(kAllOfThisRelease).schema_version;
  if (required > supported) {
    Refuse("needs settings schema " + std::to_string(required) +
           ", but a balancer in service understands only " + std::to_string(supported));
  }
  std::set<std::string> services;
  for (const TreeChange& change : changes_) {
    if (!change.path.names.empty()) {
      services.insert(change.path.names.front());
    }
  }
  if (services.size() > kMaxServicesInEdit) {
    Refuse("changes " + std::to_string(services.size()) + " services; at most " +
           std::to_string(kMaxServicesInEdit) + " in one edit: make it in parts");
  }
}

void TreeEditor::PlanTransaction(const SettingsTree& tree_after) {
  transaction_.conditions = {{std::string(kRootKey), base_.root_mod_revision},
                             {std::string(kCapabilitiesKey), base_.capabilities_mod_revision}};
  transaction_.writes.push_back({std::string(kRootKey), FormatRootDocument(next_root_)});
  const RootDocument* const previous = base_.root ? &*base_.root : nullptr;
  const HistoryEntry history = MakeHistoryEntry(previous, base_.tree, next_root_, tree_after);
  for (const SubtreeChange& change : history.services) {
    if (change.after) {
      transaction_.writes.push_back({SubtreeKey(change.service), *change.after});
    } else {
      transaction_.deletions.push_back(SubtreeKey(change.service));
    }
  }
  transaction_.writes.push_back({HistoryKey(next_root_.revision), FormatHistoryEntry(history)});
  if (next_root_.revision.value() > kHistoryLength) {
    const base::Revision oldest(next_root_.revision.value() - kHistoryLength);
    transaction_.deletions.push_back(HistoryKey(oldest));
  }
  transaction_.reads_on_failure = LookUpKeys();
}

std::vector<std::string> TreeEditor::LookUpKeys() const {
  return {std::string(kRootKey), std::string(kCapabilitiesKey), HistoryKey(next_root_.revision)};
}

bool TreeEditor::IsDecided() const {
  return outcome_.status != EditStatus::kPending && outcome_.status != EditStatus::kUndecided;
}

const EditOutcome& TreeEditor::OnAnswer(const StoreTransactionAnswer& answer) {
  if (IsDecided()) {
    return outcome_;
  }
  if (answer.succeeded) {
    outcome_.status = EditStatus::kCommitted;
    outcome_.revision = next_root_.revision;
    return outcome_;
  }
  Interpret(answer.reads);
  return outcome_;
}

const EditOutcome& TreeEditor::OnAnswerLost() {
  if (outcome_.status == EditStatus::kPending) {
    outcome_.status = EditStatus::kUndecided;
  }
  return outcome_;
}

const EditOutcome& TreeEditor::OnLookUp(const std::vector<StoredEntry>& entries) {
  if (!IsDecided()) {
    Interpret(entries);
  }
  return outcome_;
}

// What is concluded from a root or capabilities that were rewritten stays true whatever is still on
// its way: the transaction's conditions can never hold again.
void TreeEditor::Interpret(const std::vector<StoredEntry>& entries) {
  const StoredEntry* const root = FindEntry(entries, kRootKey);
  if (ModRevisionOf(root) == base_.root_mod_revision) {
    const StoredEntry* const capabilities = FindEntry(entries, kCapabilitiesKey);
    outcome_.status = ModRevisionOf(capabilities) == base_.capabilities_mod_revision
                          ? EditStatus::kUndecided
                          : EditStatus::kCapabilitiesChanged;
    return;
  }
  const StoredEntry* const history = FindEntry(entries, HistoryKey(next_root_.revision));
  if (root == nullptr || history == nullptr) {
    outcome_.status = EditStatus::kUnknown;
    return;
  }
  outcome_.present_revision = ParseRootDocument(root->value).revision;
  InterpretHistory(ParseHistoryEntry(history->value));
}

void TreeEditor::InterpretHistory(const HistoryEntry& entry) {
  if (entry.edit.edit_id == next_root_.edit.edit_id) {
    outcome_.status = EditStatus::kCommitted;
    outcome_.revision = next_root_.revision;
    outcome_.was_looked_up = true;
    return;
  }
  outcome_.status = EditStatus::kLostRace;
  outcome_.winner = entry;
}

}  // namespace gaugevalve::settings
