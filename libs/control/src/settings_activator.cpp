#include "gaugevalve/control/settings_activator.h"

#include <utility>

#include "gaugevalve/control/control.pb.h"
#include "gaugevalve/control/record_keys.h"
#include "gaugevalve/settings/settings_tree.h"

namespace gaugevalve::control {
namespace {

std::optional<settings::SubtreeDocument> DecodeSubtree(const std::string& bytes) {
  proto::SubtreeRecord message;
  if (!message.ParseFromString(bytes)) {
    return std::nullopt;
  }
  return settings::SubtreeDocument{message.service(), message.text()};
}

// Returns the tree of the root's own settings, without services.
settings::SettingsTree RootOnly(settings::RootDocument root) {
  root.services.clear();
  return settings::AssembleTree(root, {});
}

void ThrowIfAnyFindings(base::Findings findings) {
  if (!findings.empty()) {
    throw base::FindingsError(std::move(findings));
  }
}

}  // namespace

ActivationResult SettingsActivator::Advance(const dissemination::RecordStore& records) {
  const dissemination::Record* record = records.Find(KeyOf(RecordKind::kSettingsRoot));
  if (record == nullptr) {
    return ActivationResult::kNothingNewer;
  }
  const base::Revision newest(record->stamp.version.major);
  if (newest == refused_) {
    return ActivationResult::kRefused;
  }
  try {
    if (newest > newest_known_) {
      ReadRoot(*record);
    }
    if (newest_known_ <= active_.revision) {
      return ActivationResult::kNothingNewer;
    }
    bool complete = true;
    for (const settings::SubtreeReference& reference : root_.services) {
      complete = ReadSubtree(records, reference) && complete;
    }
    if (!complete && !faults_.activate_partially) {
      return ActivationResult::kIncomplete;
    }
    Activate();
  } catch (const base::FindingsError& error) {
    findings_ = error.findings();
    refused_ = newest;
    return ActivationResult::kRefused;
  }
  return ActivationResult::kActivated;
}

void SettingsActivator::ReadRoot(const dissemination::Record& record) {
  root_ = settings::ParseRootDocument(*record.value);
  newest_known_ = root_.revision;
  findings_.clear();
  std::erase_if(subtrees_, [&](const auto& entry) { return root_.Find(entry.first) == nullptr; });
  if (root_.schema_version > schema_version_) {
    throw base::FindingsError(
        {{{"root", 0, 0, ""},
          "needs settings schema " + std::to_string(root_.schema_version) +
              "; this release understands " + std::to_string(schema_version_)}});
  }
}

// Parses the subtree that the reference names; returns false if that subtree isn't held.
bool SettingsActivator::ReadSubtree(const dissemination::RecordStore& records,
                                    const settings::SubtreeReference& reference) {
  const auto parsed = subtrees_.find(reference.service);
  if (parsed != subtrees_.end() && parsed->second.digest == reference.digest) {
    return true;
  }
  const dissemination::Record* record =
      records.Find(KeyOf(RecordKind::kSettingsSubtree, base::MakeServiceId(reference.service)));
  if (record == nullptr) {
    return false;
  }
  const std::optional<settings::SubtreeDocument> document = DecodeSubtree(*record->value);
  const bool named = document.has_value() &&
                     (document->Digest() == reference.digest || faults_.activate_partially);
  if (named) {
    subtrees_[reference.service] = {document->Digest(), settings::ParseSubtreeDocument(*document)};
  }
  return named;
}

void SettingsActivator::Activate() {
  settings::SettingsTree tree = RootOnly(root_);
  for (const auto& [service, subtree] : subtrees_) {
    tree.root.children.emplace(service, subtree.branch);
  }
  ThrowIfAnyFindings(settings::CheckTree(tree));
  active_.settings = std::make_shared<const settings::EffectiveSettings>(settings::Resolve(tree));
  active_.revision = root_.revision;
}

bool ServiceSettingsReader::Advance(const dissemination::RecordStore& records) {
  const dissemination::RecordKey subtree_key =
      KeyOf(RecordKind::kSettingsSubtree, base::MakeServiceId(service_));
  const dissemination::Record* subtree = records.Find(subtree_key);
  const dissemination::Record* defaults = records.Find(KeyOf(RecordKind::kSettingsDefaults));
  const bool unchanged = subtree == nullptr || defaults == nullptr ||
                         (subtree->stamp == subtree_stamp_ && defaults->stamp == defaults_stamp_);
  if (unchanged) {
    return false;
  }
  subtree_stamp_ = subtree->stamp;
  defaults_stamp_ = defaults->stamp;
  const std::optional<settings::SubtreeDocument> document = DecodeSubtree(*subtree->value);
  if (!document.has_value()) {
    return false;
  }
  try {
    settings::RootDocument root;
    root.root_settings = *defaults->value;
    settings::SettingsTree tree = RootOnly(root);
    tree.root.children.emplace(document->service, settings::ParseSubtreeDocument(*document));
    ThrowIfAnyFindings(settings::CheckTree(tree));
    const settings::EffectiveSettings effective = settings::Resolve(tree);
    settings_ = std::make_shared<const settings::ServiceSettings>(effective.services.at(0));
    findings_.clear();
  } catch (const base::FindingsError& error) {
    findings_ = error.findings();
    return false;
  }
  revision_ = base::Revision(subtree->stamp.version.major);
  return true;
}

}  // namespace gaugevalve::control
