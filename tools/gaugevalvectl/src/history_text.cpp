#include "history_text.h"

#include <ctime>

#include "edit_command.h"

namespace gaugevalve::ctl {
namespace {

std::string FormatTime(std::uint64_t seconds_since_epoch) {
  const auto time = static_cast<std::time_t>(seconds_since_epoch);
  std::tm parts{};
  char text[32] = {};
  gmtime_r(&time, &parts);
  std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

}  // namespace

nlohmann::ordered_json HistoryToJson(const settings::HistoryEntry& entry) {
  return {{"revision", entry.revision.value()},
          {"edit_id", entry.edit.edit_id},
          {"author", entry.edit.author},
          {"comment", entry.edit.comment},
          {"edited_at", FormatTime(entry.edit.edited_at)},
          {"changes", ChangesToJson(settings::ChangesOf(entry))}};
}

std::string HistoryToText(const settings::HistoryEntry& entry) {
  std::string text = "revision " + std::to_string(entry.revision.value()) + "  " +
                     FormatTime(entry.edit.edited_at) + "  " + entry.edit.author + "  " +
                     entry.edit.edit_id;
  text += entry.edit.comment.empty() ? "\n" : "  " + entry.edit.comment + "\n";
  for (const settings::TreeChange& change : settings::ChangesOf(entry)) {
    text += "  " + change.ToString() + "\n";
  }
  return text;
}

}  // namespace gaugevalve::ctl
