// One edit of the stored tree, from the plan to its certain outcome. A core without sockets: the
// caller carries the transaction to the store and brings back what it hears.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gaugevalve/settings/history_entry.h"
#include "gaugevalve/settings/store_transaction.h"
#include "gaugevalve/settings/stored_tree.h"
#include "gaugevalve/settings/tree_operation.h"

namespace gaugevalve::settings {

// Services that one edit may change: a store takes a bounded number of steps in a transaction
// (etcd: 128 by default). An edit of more is refused with a finding; it can be made in parts.
inline constexpr std::size_t kMaxServicesInEdit = 100;

// What is known of an edit.
enum class EditStatus : std::uint8_t {
  kPending,              // the transaction has not been answered yet
  kCommitted,            // in the tree, for good
  kLostRace,             // another edit came first; nothing of this one was or will be applied
  kCapabilitiesChanged,  // what balancers support changed meanwhile; nothing was applied
  kUndecided,            // an answer was lost and the edit isn't in the tree, but may still arrive
  kUnknown,              // can't be found out any more: the history no longer reaches back
};

// Returns the status in words for people.
std::string_view EditStatusWords(EditStatus status);

// The outcome of an edit so far.
struct EditOutcome {
  EditStatus status = EditStatus::kPending;
  base::Revision revision;             // kCommitted: the revision the edit made
  bool was_looked_up = false;          // an answer was lost; the store's history told the outcome
  std::optional<HistoryEntry> winner;  // kLostRace: the edit that came first
  base::Revision present_revision;     // kLostRace: the tree's revision when the race was lost
};

// Plans an edit against one read of the tree and interprets what the store answers. Why the outcome
// is certain: the transaction holds only while the root is as it was read, and every edit writes
// the root. So the edit is applied at most once however often it is sent, it can only ever become
// the revision after the one read, and the history entry of that revision tells who got it.
// Not thread-safe.
class TreeEditor {
 public:
  // Throws base::FindingsError when the edit is refused: the operations or their result have
  // findings, nothing would change, too many services change, or a balancer in service could not
  // apply the result.
  TreeEditor(StoredTree base, const std::vector<TreeOperation>& operations,
             const EditDescription& edit);

  // Returns the one transaction of the edit. May be sent again, unchanged, as long as the status is
  // kPending or kUndecided.
  const StoreTransaction& Transaction() const { return transaction_; }

  // Returns the keys to read, as of one instant, after an answer was lost.
  std::vector<std::string> LookUpKeys() const;

  // Takes the store's answer to the transaction. Throws base::FindingsError when the store's
  // documents can't be read; the status is then unchanged.
  const EditOutcome& OnAnswer(const StoreTransactionAnswer& answer);

  // Notes that the answer to the transaction was lost: it may have been applied, or still be.
  const EditOutcome& OnAnswerLost();

  // Takes the entries of LookUpKeys() that exist. Throws as OnAnswer() does.
  const EditOutcome& OnLookUp(const std::vector<StoredEntry>& entries);

  const EditOutcome& Outcome() const { return outcome_; }

  // Returns what the edit changes.
  const std::vector<TreeChange>& Changes() const { return changes_; }

  // Returns the root that the edit makes, with its revision.
  const RootDocument& NextRoot() const { return next_root_; }

 private:
  void CheckEdit(const SettingsTree& tree_after) const;
  void PlanTransaction(const SettingsTree& tree_after);
  void Interpret(const std::vector<StoredEntry>& entries);
  void InterpretHistory(const HistoryEntry& entry);
  bool IsDecided() const;

  StoredTree base_;
  std::vector<TreeChange> changes_;
  RootDocument next_root_;
  StoreTransaction transaction_;
  EditOutcome outcome_;
};

}  // namespace gaugevalve::settings
