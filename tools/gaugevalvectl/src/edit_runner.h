// Carries an edit to the store and stays with it until its outcome is certain.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/settings/tree_editor.h"
#include "settings_store.h"

namespace gaugevalve::ctl {

// The store could not be asked, or refused; what was asked had no effect.
class StoreAwayError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// How an edit ended.
struct EditReport {
  settings::EditOutcome outcome;
  std::vector<settings::TreeChange> changes;
  base::Revision planned_revision;  // that the edit would make
  std::string edit_id;
  std::string store_error;  // the store client's last message, if any
};

// Reads the tree and makes edits within a time limit. Not thread-safe.
class EditRunner {
 public:
  // Attempts at one edit or read. Each may ask the store twice: to write and to look up.
  static constexpr int kAttempts = 3;

  // History entries read at once: a store takes a bounded number of steps in a transaction.
  static constexpr std::size_t kMaxHistory = 100;

  // `store` must outlive the runner. `timeout` is for a whole edit.
  EditRunner(SettingsStore& store, base::Duration timeout)
      : store_(store), call_timeout_(timeout / (2 * kAttempts)) {}

  // Returns the tree as of one instant. Throws StoreAwayError or base::FindingsError.
  settings::StoredTree ReadTree();

  // Returns the history entry of a revision. Throws StoreAwayError, or base::FindingsError when
  // there is none.
  settings::HistoryEntry ReadHistory(base::Revision revision);

  // Returns up to `limit` newest history entries, the newest first; at most kMaxHistory. Throws as
  // ReadHistory() does.
  std::vector<settings::HistoryEntry> ReadRecentHistory(std::size_t limit);

  // Makes the edit on the tree that was read and waits for a certain outcome, or until the attempts
  // are used up: then the outcome is kUndecided. Throws base::FindingsError when the edit is
  // refused and StoreAwayError when it certainly had no effect.
  EditReport Edit(settings::StoredTree tree, const std::vector<settings::TreeOperation>& operations,
                  const settings::EditDescription& description);

 private:
  std::vector<settings::StoredEntry> Read(const std::vector<KeyRange>& ranges);

  SettingsStore& store_;
  base::Duration call_timeout_;
};

}  // namespace gaugevalve::ctl
