#include "operator_process.h"

#include <utility>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/settings/store_layout.h"
#include "gaugevalve/settings/stored_tree.h"

namespace gaugevalve::proofs {

using settings::EditStatus;

void OperatorProcess::Begin(const WantedEdit& edit, const ModelStore& store) {
  edit_ = edit;
  attempts_ = 0;
  oracle_->OnWanted(edit);
  Plan(store);
}

void OperatorProcess::Plan(const ModelStore& store) {
  std::vector<settings::StoredEntry> entries = store.ReadPrefix(settings::kTreePrefix);
  for (settings::StoredEntry& entry : store.Read({std::string(settings::kCapabilitiesKey)})) {
    entries.push_back(std::move(entry));
  }
  ++attempts_;
  attempt_id_ = edit_.name + "#" + std::to_string(attempts_);
  try {
    editor_.emplace(settings::ParseStoredTree(entries), edit_.Operations(),
                    settings::EditDescription{attempt_id_, "operator", edit_.name, 0});
  } catch (const base::FindingsError&) {
    oracle_->OnToldNotApplied(edit_.name);
    editor_.reset();
    attempt_id_.clear();
  }
}

std::vector<settings::StoreTransaction> OperatorProcess::Transactions() const {
  settings::StoreTransaction whole = editor_->Transaction();
  if (mutation_ == Mutation::kNoCompare) {
    whole.conditions.clear();
  }
  if (mutation_ == Mutation::kNoCapabilityCompare) {
    std::erase_if(whole.conditions, [](const settings::KeyCondition& condition) {
      return condition.key == settings::kCapabilitiesKey;
    });
  }
  if (mutation_ != Mutation::kSeparateWrites) {
    return {whole};
  }
  std::vector<settings::StoreTransaction> parts;
  for (const settings::KeyWrite& write : whole.writes) {
    parts.push_back({{}, {write}, {}, {}});
  }
  parts.front().conditions = whole.conditions;
  parts.front().reads_on_failure = whole.reads_on_failure;
  return parts;
}

void OperatorProcess::OnAnswer(const settings::StoreTransactionAnswer& answer) {
  if (mutation_ == Mutation::kTrustFailedCompare && !answer.succeeded) {
    oracle_->OnToldNotApplied(edit_.name);
    editor_.reset();
    attempt_id_.clear();
    return;
  }
  editor_->OnAnswer(answer);
  Conclude();
}

void OperatorProcess::OnAnswerLost(const ModelStore* store) {
  editor_->OnAnswerLost();
  if (mutation_ == Mutation::kBlindRetry && store != nullptr) {
    Plan(*store);
  }
}

void OperatorProcess::LookUp(const ModelStore& store) {
  editor_->OnLookUp(store.Read(editor_->LookUpKeys()));
  const bool is_undecided = editor_->Outcome().status == EditStatus::kUndecided;
  if (mutation_ == Mutation::kGiveUpAsNotApplied && is_undecided) {
    oracle_->OnToldNotApplied(edit_.name);
    editor_.reset();
    attempt_id_.clear();
    return;
  }
  Conclude();
}

void OperatorProcess::Conclude() {
  switch (editor_->Outcome().status) {
    case EditStatus::kPending:
    case EditStatus::kUndecided:
      return;
    case EditStatus::kCommitted:
      oracle_->OnToldCommitted(edit_.name);
      break;
    case EditStatus::kLostRace:
    case EditStatus::kCapabilitiesChanged:
      oracle_->OnToldNotApplied(edit_.name);
      break;
    case EditStatus::kUnknown:
      break;
  }
  editor_.reset();
  attempt_id_.clear();
}

}  // namespace gaugevalve::proofs
