#include "edit_command.h"

#include <chrono>
#include <random>

#include "gaugevalve/base/hash.h"
#include "gaugevalve/settings/subtree_document.h"

namespace gaugevalve::ctl {
namespace {

using settings::EditStatus;

// Returns 128 random bits in hexadecimal: edits of all operators must differ.
std::string MakeEditId() {
  std::random_device device;
  const auto draw = [&device] { return (std::uint64_t{device()} << 32U) | device(); };
  return settings::FormatDigest(settings::SubtreeDigest(draw())) +
         settings::FormatDigest(settings::SubtreeDigest(draw()));
}

std::uint64_t SecondsSinceEpoch() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(now).count());
}

std::string Indent(const std::string& lines) {
  std::string text;
  std::size_t start = 0;
  while (start < lines.size()) {
    const std::size_t end = lines.find('\n', start);
    text += "  " + lines.substr(start, end - start) + "\n";
    start = end == std::string::npos ? lines.size() : end + 1;
  }
  return text;
}

std::string DescribeWinner(const EditReport& report) {
  const settings::HistoryEntry& winner = *report.outcome.winner;
  const std::uint64_t winner_revision = winner.revision.value();
  const std::uint64_t present_revision = report.outcome.present_revision.value();
  std::string text = "Another edit came first; nothing of yours was applied.\nRevision " +
                     std::to_string(winner_revision) + " by " + winner.edit.author;
  text += winner.edit.comment.empty() ? "" : " (" + winner.edit.comment + ")";
  text += ":\n" + Indent(settings::DescribeChanges(settings::ChangesOf(winner)));
  if (present_revision > winner_revision) {
    text += "The tree is at revision " + std::to_string(present_revision) + " by now.\n";
  }
  return text + "Look at the tree and make your edit again if it is still right.\n";
}

std::string DescribeUndecided(const EditReport& report) {
  const std::string revision = std::to_string(report.planned_revision.value());
  return "The store's answer was lost and it did not say in time what became of the edit: " +
         report.store_error + "\nThe edit can only be revision " + revision +
         ". Once the store answers, `gaugevalvectl tree history` tells: if revision " + revision +
         " has the edit id " + report.edit_id +
         ", it was applied; if it has another, it was not and never will be.\n"
         "Until that revision exists the edit may still take effect.\n";
}

std::string DescribeReport(const EditReport& report) {
  switch (report.outcome.status) {
    case EditStatus::kCommitted: {
      const std::string how =
          report.outcome.was_looked_up ? " (an answer was lost; the history shows the edit)" : "";
      return "Committed as revision " + std::to_string(report.outcome.revision.value()) + how +
             ":\n" + Indent(settings::DescribeChanges(report.changes));
    }
    case EditStatus::kLostRace:
      return DescribeWinner(report);
    case EditStatus::kCapabilitiesChanged:
      return "A balancer joined or left meanwhile and changed what is supported; nothing was "
             "applied. Make the edit again.\n";
    case EditStatus::kPending:
    case EditStatus::kUndecided:
      return DescribeUndecided(report);
    case EditStatus::kUnknown:
      return "An answer was lost, and the history no longer reaches back to tell what became of "
             "the edit. Compare the tree with what you wanted.\n";
  }
  return "";
}

std::string_view StatusName(EditStatus status) {
  switch (status) {
    case EditStatus::kCommitted:
      return "committed";
    case EditStatus::kLostRace:
      return "lost_race";
    case EditStatus::kCapabilitiesChanged:
      return "capabilities_changed";
    case EditStatus::kPending:
    case EditStatus::kUndecided:
      return "undecided";
    case EditStatus::kUnknown:
      return "unknown";
  }
  return "";
}

ExitCode ExitCodeOf(EditStatus status) {
  switch (status) {
    case EditStatus::kCommitted:
      return ExitCode::kOk;
    case EditStatus::kLostRace:
    case EditStatus::kCapabilitiesChanged:
      return ExitCode::kLostRace;
    case EditStatus::kPending:
    case EditStatus::kUndecided:
    case EditStatus::kUnknown:
      return ExitCode::kOutcomeUnknown;
  }
  return ExitCode::kOutcomeUnknown;
}

}  // namespace

EditRunner MakeRunner(const CommandContext& context) {
  return EditRunner(context.store, context.options.timeout);
}

nlohmann::ordered_json ChangesToJson(const std::vector<settings::TreeChange>& changes) {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const settings::TreeChange& change : changes) {
    list.push_back(change.ToString());
  }
  return list;
}

ExitCode MakeEdit(const CommandContext& context, const settings::StoredTree& tree,
                  const std::vector<settings::TreeOperation>& operations) {
  const settings::EditDescription description{MakeEditId(), context.options.author,
                                              context.options.comment, SecondsSinceEpoch()};
  if (context.options.dry_run) {
    const settings::TreeEditor editor(tree, operations, description);
    context.Print("Would change:\n" + Indent(settings::DescribeChanges(editor.Changes())),
                  {{"status", "dry_run"}, {"changes", ChangesToJson(editor.Changes())}});
    return ExitCode::kOk;
  }
  return ReportEdit(context, MakeRunner(context).Edit(tree, operations, description));
}

ExitCode ReportEdit(const CommandContext& context, const EditReport& report) {
  nlohmann::ordered_json json;
  json["status"] = StatusName(report.outcome.status);
  json["edit_id"] = report.edit_id;
  json["planned_revision"] = report.planned_revision.value();
  json["was_looked_up"] = report.outcome.was_looked_up;
  json["changes"] = ChangesToJson(report.changes);
  if (report.outcome.winner) {
    const settings::HistoryEntry& winner = *report.outcome.winner;
    json["winner"] = {{"revision", winner.revision.value()},
                      {"author", winner.edit.author},
                      {"comment", winner.edit.comment},
                      {"changes", ChangesToJson(settings::ChangesOf(winner))}};
  }
  context.Print(DescribeReport(report), json);
  return ExitCodeOf(report.outcome.status);
}

}  // namespace gaugevalve::ctl
