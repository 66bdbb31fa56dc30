#include "gaugevalve/control/settings_publisher.h"

#include <map>

#include "gaugevalve/control/control.pb.h"
#include "gaugevalve/control/record_keys.h"
#include "gaugevalve/settings/root_document.h"
#include "gaugevalve/settings/store_layout.h"

namespace gaugevalve::control {
namespace {

// Returns the newest value of each key.
std::map<std::string, std::string> NewestByKey(const std::vector<store::KeyValue>& key_values) {
  std::map<std::string, store::KeyValue> newest;
  for (const store::KeyValue& key_value : key_values) {
    store::KeyValue& known = newest[key_value.key];
    if (known.mod_revision <= key_value.mod_revision) {
      known = key_value;
    }
  }
  std::map<std::string, std::string> values;
  for (auto& [key, key_value] : newest) {
    values[key] = std::move(key_value.value);
  }
  return values;
}

std::string EncodeSubtree(const settings::SubtreeDocument& document) {
  proto::SubtreeRecord message;
  message.set_service(document.service);
  message.set_text(document.text);
  return message.SerializeAsString();
}

bool IsHeld(const dissemination::RecordStore& held, const dissemination::RecordKey& key,
            const dissemination::RecordVersion& version) {
  const dissemination::Record* record = held.Find(key);
  return record != nullptr && record->stamp.version >= version;
}

// Appends the record of the subtree if the read contains the text that the root names.
void AppendSubtree(const settings::SubtreeReference& reference,
                   const std::map<std::string, std::string>& values,
                   const dissemination::RecordStore& held, SettingsRecords& result) {
  const dissemination::RecordKey key =
      KeyOf(RecordKind::kSettingsSubtree, base::MakeServiceId(reference.service));
  const dissemination::RecordVersion version = VersionOf(reference.changed_in);
  if (IsHeld(held, key, version)) {
    return;
  }
  const std::string store_key = settings::SubtreeKey(reference.service);
  const auto found = values.find(store_key);
  const bool present = found != values.end();
  const settings::SubtreeDocument document{reference.service, present ? found->second : ""};
  if (!present || document.Digest() != reference.digest) {
    result.findings.push_back({{"store", 0, 0, store_key},
                               "the text of this service in the store is missing or doesn't match "
                               "the digest in the root"});
    return;
  }
  result.records.push_back({key, version, EncodeSubtree(document)});
}

}  // namespace

SettingsRecords RecordsFromStore(const std::vector<store::KeyValue>& key_values,
                                 const dissemination::RecordStore& held) {
  SettingsRecords result;
  const std::map<std::string, std::string> values = NewestByKey(key_values);
  const auto root_value = values.find(std::string(settings::kRootKey));
  if (root_value == values.end()) {
    return result;  // nothing was committed yet, or no root in this delivery
  }
  settings::RootDocument root;
  try {
    root = settings::ParseRootDocument(root_value->second);
  } catch (const base::FindingsError& error) {
    result.findings = error.findings();
    return result;
  }
  for (const settings::SubtreeReference& reference : root.services) {
    AppendSubtree(reference, values, held, result);
  }
  const dissemination::RecordVersion version = VersionOf(root.revision);
  const dissemination::RecordKey defaults = KeyOf(RecordKind::kSettingsDefaults);
  const dissemination::Record* held_defaults = held.Find(defaults);
  const bool defaults_changed =
      held_defaults == nullptr || *held_defaults->value != root.root_settings;
  if (defaults_changed && !IsHeld(held, defaults, version)) {
    result.records.push_back({defaults, version, root.root_settings});
  }
  const dissemination::RecordKey key = KeyOf(RecordKind::kSettingsRoot);
  if (!IsHeld(held, key, version)) {
    result.records.push_back({key, version, root_value->second});
  }
  return result;
}

}  // namespace gaugevalve::control
