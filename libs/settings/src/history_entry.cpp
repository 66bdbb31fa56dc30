#include "gaugevalve/settings/history_entry.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "branch_yaml.h"
#include "edit_json.h"
#include "json_reader.h"

namespace gaugevalve::settings {
namespace {

constexpr std::uint64_t kFormatVersion = 1;
constexpr const char* kDocumentName = "store: settings history";
constexpr const char* kNoSettings = "{}\n";

std::optional<std::string> TextOf(const SettingsTree& tree, const std::string& service) {
  const Branch* const branch = tree.root.FindChild(service);
  if (branch == nullptr) {
    return std::nullopt;
  }
  return MakeSubtreeDocument(*branch).text;
}

nlohmann::ordered_json NullableText(const std::optional<std::string>& text) {
  return text ? nlohmann::ordered_json(*text) : nlohmann::ordered_json(nullptr);
}

void AddService(SettingsTree& tree, const std::string& service,
                const std::optional<std::string>& text) {
  if (text) {
    tree.root.children.emplace(service, ParseSubtreeDocument({service, *text}));
  }
}

}  // namespace

HistoryEntry MakeHistoryEntry(const RootDocument* before, const SettingsTree& tree_before,
                              const RootDocument& after, const SettingsTree& tree_after) {
  HistoryEntry entry;
  entry.revision = after.revision;
  entry.edit = after.edit;
  entry.root_before = before == nullptr ? kNoSettings : before->root_settings;
  entry.root_after = after.root_settings;

  std::set<std::string> names;
  for (const auto& [name, service] : tree_before.root.children) {
    names.insert(name);
  }
  for (const auto& [name, service] : tree_after.root.children) {
    names.insert(name);
  }
  for (const std::string& name : names) {
    SubtreeChange change{name, TextOf(tree_before, name), TextOf(tree_after, name)};
    if (change.before != change.after) {
      entry.services.push_back(std::move(change));
    }
  }
  return entry;
}

std::string FormatHistoryEntry(const HistoryEntry& entry) {
  nlohmann::ordered_json json;
  json["format_version"] = kFormatVersion;
  json["revision"] = entry.revision.value();
  WriteEdit(json, entry.edit);
  json["root_before"] = entry.root_before;
  json["root_after"] = entry.root_after;
  json["services"] = nlohmann::ordered_json::array();
  for (const SubtreeChange& change : entry.services) {
    json["services"].push_back({{"name", change.service},
                                {"before", NullableText(change.before)},
                                {"after", NullableText(change.after)}});
  }
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HistoryEntry ParseHistoryEntry(std::string_view text) {
  JsonReader reader(text, kDocumentName);
  reader.ExpectFormatVersion(kFormatVersion);
  reader.ThrowIfAny();
  HistoryEntry entry;
  entry.revision = base::Revision(reader.Number("revision"));
  entry.edit = ReadEdit(reader);
  entry.root_before = reader.Text("root_before");
  entry.root_after = reader.Text("root_after");
  for (JsonReader& item : reader.Objects("services")) {
    entry.services.push_back(
        {item.Text("name"), item.NullableText("before"), item.NullableText("after")});
    reader.Absorb(item);
  }
  reader.ThrowIfAny();
  return entry;
}

std::vector<TreeChange> ChangesOf(const HistoryEntry& entry) {
  SettingsTree before;
  SettingsTree after;
  before.root = ParseBranch(entry.root_before, Level::kRoot, "", kDocumentName, "");
  after.root = ParseBranch(entry.root_after, Level::kRoot, "", kDocumentName, "");
  for (const SubtreeChange& change : entry.services) {
    AddService(before, change.service, change.before);
    AddService(after, change.service, change.after);
  }
  return DiffTrees(before, after);
}

}  // namespace gaugevalve::settings
