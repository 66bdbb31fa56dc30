// One operator's command line while it makes an edit: the shell around settings::TreeEditor.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "edit_oracle.h"
#include "gaugevalve/settings/tree_editor.h"
#include "model_store.h"
#include "mutation.h"

namespace gaugevalve::proofs {

// Follows the protocol of the editor, or a mutant of it. An operator works on one edit at a time
// and tells the oracle what it concluded.
class OperatorProcess {
 public:
  OperatorProcess(EditOracle& oracle, Mutation mutation) : oracle_(&oracle), mutation_(mutation) {}

  bool IsIdle() const { return !editor_.has_value(); }

  // Reads the store and plans the edit. An edit that the editor refuses is told as not applied.
  void Begin(const WantedEdit& edit, const ModelStore& store);

  // Returns what to send now: one transaction, but several for the mutant that writes one by one.
  std::vector<settings::StoreTransaction> Transactions() const;

  // Identifies the attempt that an answer belongs to; empty when idle.
  const std::string& AttemptId() const { return attempt_id_; }

  void OnAnswer(const settings::StoreTransactionAnswer& answer);

  // The answer to a transaction didn't come. `store` is null while the store is away.
  void OnAnswerLost(const ModelStore* store);

  // Looks up what became of the edit.
  void LookUp(const ModelStore& store);

 private:
  void Plan(const ModelStore& store);
  void Conclude();

  EditOracle* oracle_;
  Mutation mutation_;
  WantedEdit edit_;
  int attempts_ = 0;
  std::string attempt_id_;
  std::optional<settings::TreeEditor> editor_;
};

}  // namespace gaugevalve::proofs
