// What all editing commands share: make the edit, report its outcome.
#pragma once

#include <vector>

#include "command_context.h"
#include "edit_runner.h"
#include "gaugevalve/settings/tree_operation.h"

namespace gaugevalve::ctl {

// Returns a runner with the command's store and time limit.
EditRunner MakeRunner(const CommandContext& context);

// Makes an edit of `tree` and reports it; with --dry_run only says what it would change.
ExitCode MakeEdit(const CommandContext& context, const settings::StoredTree& tree,
                  const std::vector<settings::TreeOperation>& operations);

// Reports an edit's end and returns the exit code that goes with it.
ExitCode ReportEdit(const CommandContext& context, const EditReport& report);

// Returns the changes as a JSON list of texts.
nlohmann::ordered_json ChangesToJson(const std::vector<settings::TreeChange>& changes);

}  // namespace gaugevalve::ctl
