#include "edit_runner.h"

#include <algorithm>
#include <utility>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/settings/store_layout.h"

namespace gaugevalve::ctl {
namespace {

using settings::EditStatus;

bool IsOpen(const settings::EditOutcome& outcome) {
  return outcome.status == EditStatus::kPending || outcome.status == EditStatus::kUndecided;
}

}  // namespace

std::vector<settings::StoredEntry> EditRunner::Read(const std::vector<KeyRange>& ranges) {
  ReadReply reply;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    reply = store_.Read(ranges, call_timeout_);
    if (reply.outcome == StoreOutcome::kOk) {
      return std::move(reply.entries);
    }
  }
  throw StoreAwayError("the store can't be read: " + reply.error);
}

settings::StoredTree EditRunner::ReadTree() {
  return settings::ParseStoredTree(Read({{std::string(settings::kTreePrefix), true},
                                         {std::string(settings::kCapabilitiesKey), false}}));
}

settings::HistoryEntry EditRunner::ReadHistory(base::Revision revision) {
  const std::string key = settings::HistoryKey(revision);
  const std::vector<settings::StoredEntry> entries = Read({{key, false}});
  if (entries.empty()) {
    throw base::FindingsError({{{"store: settings history", 0, 0, ""},
                                "no revision " + std::to_string(revision.value())}});
  }
  return settings::ParseHistoryEntry(entries.front().value);
}

std::vector<settings::HistoryEntry> EditRunner::ReadRecentHistory(std::size_t limit) {
  const base::Revision newest = ReadTree().Revision();
  const std::size_t wanted = std::min(limit, kMaxHistory);
  const std::uint64_t oldest = newest.value() > wanted ? newest.value() - wanted + 1 : 1;
  std::vector<KeyRange> ranges;
  for (std::uint64_t revision = newest.value(); revision >= oldest; --revision) {
    ranges.push_back({settings::HistoryKey(base::Revision(revision)), false});
  }
  std::vector<settings::HistoryEntry> history;
  if (ranges.empty()) {
    return history;
  }
  for (const settings::StoredEntry& entry : Read(ranges)) {
    history.push_back(settings::ParseHistoryEntry(entry.value));
  }
  return history;
}

EditReport EditRunner::Edit(settings::StoredTree tree,
                            const std::vector<settings::TreeOperation>& operations,
                            const settings::EditDescription& description) {
  settings::TreeEditor editor(std::move(tree), operations, description);
  EditReport report{{}, editor.Changes(), editor.NextRoot().revision, description.edit_id, ""};
  const std::vector<std::string> look_up_keys = editor.LookUpKeys();
  std::vector<KeyRange> look_up;
  look_up.reserve(look_up_keys.size());
  for (const std::string& key : look_up_keys) {
    look_up.push_back({key, false});
  }

  for (int attempt = 0; attempt < kAttempts && IsOpen(editor.Outcome()); ++attempt) {
    const RunReply run = store_.Run(editor.Transaction(), call_timeout_);
    if (run.outcome == StoreOutcome::kOk) {
      editor.OnAnswer(run.answer);
      break;
    }
    report.store_error = run.error;
    if (run.outcome == StoreOutcome::kUnknown) {
      editor.OnAnswerLost();
    }
    if (editor.Outcome().status == EditStatus::kUndecided) {
      const ReadReply read = store_.Read(look_up, call_timeout_);
      if (read.outcome == StoreOutcome::kOk) {
        editor.OnLookUp(read.entries);
      }
    }
  }
  report.outcome = editor.Outcome();
  if (report.outcome.status == EditStatus::kPending) {
    throw StoreAwayError("the store can't be written: " + report.store_error);
  }
  return report;
}

}  // namespace gaugevalve::ctl
