// What must be true of the store, told by a list of edits and nothing else.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "gaugevalve/settings/tree_operation.h"
#include "model_store.h"

namespace gaugevalve::proofs {

// One edit that an operator wants: values for some paths. All values of a run differ.
struct WantedEdit {
  std::string name;
  std::map<std::string, std::string> values;  // path -> value

  // Returns the steps of the edit.
  std::vector<settings::TreeOperation> Operations() const;
};

// Remembers each edit and what its operator was told, and checks the store against them.
class EditOracle {
 public:
  // `values` are those of the tree before any edit.
  explicit EditOracle(std::map<std::string, std::string> values) : initial_(std::move(values)) {}

  void OnWanted(const WantedEdit& edit) { wanted_.emplace(edit.name, edit); }

  // An operator was told that the edit is in force, or that it never will be.
  void OnToldCommitted(const std::string& name) { told_committed_.insert(name); }
  void OnToldNotApplied(const std::string& name) { told_not_applied_.insert(name); }

  // Fails by RapidCheck's assertions when the store isn't as the edits say.
  void Check(const ModelStore& store);

  // Returns the edits in the store, in the order of their revisions.
  const std::vector<std::string>& Applied() const { return applied_; }

 private:
  void CheckHistory(const ModelStore& store);
  void CheckTree(const ModelStore& store) const;

  std::map<std::string, std::string> initial_;
  std::map<std::string, WantedEdit> wanted_;
  std::set<std::string> told_committed_;
  std::set<std::string> told_not_applied_;
  std::vector<std::string> applied_;  // as of the last check; only ever grows at its end
};

}  // namespace gaugevalve::proofs
