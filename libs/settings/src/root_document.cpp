#include "gaugevalve/settings/root_document.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "branch_yaml.h"
#include "edit_json.h"
#include "json_reader.h"

namespace gaugevalve::settings {
namespace {

constexpr std::uint64_t kFormatVersion = 1;
constexpr const char* kDocumentName = "store: settings root";

std::string ExportRootFields(const SettingsTree& tree) {
  Branch fields_only;
  fields_only.fields = tree.root.fields;
  return ExportBranch(fields_only);
}

SubtreeReference ReadReference(JsonReader& reader) {
  SubtreeReference reference;
  reference.service = reader.Text("name");
  const std::optional<SubtreeDigest> digest = ParseDigest(reader.Text("digest"));
  if (!digest) {
    reader.Add("digest", "is not 16 hexadecimal digits");
  }
  reference.digest = digest.value_or(SubtreeDigest());
  reference.changed_in = base::Revision(reader.Number("changed_in"));
  return reference;
}

const SubtreeDocument* FindDocument(const std::vector<SubtreeDocument>& subtrees,
                                    const SubtreeReference& reference) {
  const auto match = [&reference](const SubtreeDocument& document) {
    return document.service == reference.service && document.Digest() == reference.digest;
  };
  const auto found = std::find_if(subtrees.begin(), subtrees.end(), match);
  return found == subtrees.end() ? nullptr : &*found;
}

}  // namespace

const SubtreeReference* RootDocument::Find(std::string_view service) const {
  const auto match = [service](const SubtreeReference& reference) {
    return reference.service == service;
  };
  const auto found = std::find_if(services.begin(), services.end(), match);
  return found == services.end() ? nullptr : &*found;
}

std::string FormatRootDocument(const RootDocument& root) {
  nlohmann::ordered_json json;
  json["format_version"] = kFormatVersion;
  json["revision"] = root.revision.value();
  json["schema_version"] = root.schema_version;
  WriteEdit(json, root.edit);
  json["root_settings"] = root.root_settings;
  json["services"] = nlohmann::ordered_json::array();
  for (const SubtreeReference& reference : root.services) {
    json["services"].push_back({{"name", reference.service},
                                {"digest", FormatDigest(reference.digest)},
                                {"changed_in", reference.changed_in.value()}});
  }
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

RootDocument ParseRootDocument(std::string_view text) {
  JsonReader reader(text, kDocumentName);
  reader.ExpectFormatVersion(kFormatVersion);
  reader.ThrowIfAny();
  RootDocument root;
  root.revision = base::Revision(reader.Number("revision"));
  root.schema_version = static_cast<std::uint32_t>(reader.Number("schema_version"));
  root.edit = ReadEdit(reader);
  root.root_settings = reader.Text("root_settings");
  for (JsonReader& item : reader.Objects("services")) {
    root.services.push_back(ReadReference(item));
    reader.Absorb(item);
  }
  reader.ThrowIfAny();
  return root;
}

RootDocument MakeRootDocument(const RootDocument* previous, const SettingsTree& tree,
                              const EditDescription& edit) {
  RootDocument root;
  root.revision = base::Revision(previous == nullptr ? 1 : previous->revision.value() + 1);
  root.schema_version = RequiredSchemaVersion(tree);
  root.edit = edit;
  root.root_settings = ExportRootFields(tree);
  for (const SubtreeDocument& document : SplitTree(tree)) {
    SubtreeReference reference{document.service, document.Digest(), root.revision};
    const SubtreeReference* const old =
        previous == nullptr ? nullptr : previous->Find(document.service);
    if (old != nullptr && old->digest == reference.digest) {
      reference.changed_in = old->changed_in;
    }
    root.services.push_back(std::move(reference));
  }
  return root;
}

std::vector<SubtreeDocument> SplitTree(const SettingsTree& tree) {
  std::vector<SubtreeDocument> documents;
  documents.reserve(tree.root.children.size());
  for (const auto& [name, service] : tree.root.children) {
    documents.push_back(MakeSubtreeDocument(service));
  }
  return documents;
}

SettingsTree AssembleTree(const RootDocument& root, const std::vector<SubtreeDocument>& subtrees) {
  SettingsTree tree;
  tree.root = ParseBranch(root.root_settings, Level::kRoot, "", kDocumentName, "");
  base::Findings findings;
  for (const SubtreeReference& reference : root.services) {
    const SubtreeDocument* const document = FindDocument(subtrees, reference);
    if (document == nullptr) {
      findings.push_back({{"store", 0, 0, "services." + reference.service},
                          "no subtree with digest " + FormatDigest(reference.digest)});
      continue;
    }
    tree.root.children.emplace(reference.service, ParseSubtreeDocument(*document));
  }
  if (findings.empty()) {
    findings = CheckTree(tree);
  }
  if (!findings.empty()) {
    throw base::FindingsError(std::move(findings));
  }
  return tree;
}

}  // namespace gaugevalve::settings
