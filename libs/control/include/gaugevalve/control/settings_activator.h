// Activates settings on a balancer: only complete committed revisions, and never an older one than
// before.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/dissemination/record_store.h"
#include "gaugevalve/settings/effective_settings.h"
#include "gaugevalve/settings/field_schema.h"
#include "gaugevalve/settings/root_document.h"

namespace gaugevalve::control {

// The active revision.
struct ActiveSettings {
  base::Revision revision;                                      // 0: none yet
  std::shared_ptr<const settings::EffectiveSettings> settings;  // null: none yet
};

// Result of an attempt to activate a revision.
enum class ActivationResult : std::uint8_t {
  kNothingNewer = 0,
  kActivated = 1,
  kIncomplete = 2,  // the newest root names subtrees that haven't arrived yet
  kRefused = 3,     // the revision can't be applied here, see Findings()
};

// Deliberate faults, by which proofs show that they detect them. Never set in production.
struct InjectedFaults {
  bool activate_partially = false;
};

// Decision core over the records held. Not thread-safe.
//
// The root record names the subtree of every service by digest. A revision is activated when the
// subtree held for each service has the digest that the root names, so that all parts are of one
// commit. While a part is missing or belongs to a later revision already, the active revision
// stays.
class SettingsActivator {
 public:
  // `schema_version` is the newest settings schema that this node understands.
  explicit SettingsActivator(const InjectedFaults& faults = {},
                             std::uint32_t schema_version = settings::kSchemaVersion)
      : faults_(faults), schema_version_(schema_version) {}

  // Activates the revision of the newest root if it is complete and newer than the active one. Must
  // be called when the root or a subtree changed; a call without a change is cheap.
  ActivationResult Advance(const dissemination::RecordStore& records);

  const ActiveSettings& Active() const { return active_; }

  // Returns the newest revision whose root is known. While it is larger than the active revision,
  // activation lags.
  base::Revision NewestKnown() const { return newest_known_; }

  // Returns why the newest root was refused, or nothing.
  const base::Findings& Findings() const { return findings_; }

 private:
  struct ParsedSubtree {
    settings::SubtreeDigest digest;
    settings::Branch branch;
  };

  void ReadRoot(const dissemination::Record& record);
  bool ReadSubtree(const dissemination::RecordStore& records,
                   const settings::SubtreeReference& reference);
  void Activate();

  InjectedFaults faults_;
  std::uint32_t schema_version_;
  ActiveSettings active_;
  base::Revision newest_known_;
  base::Revision refused_;
  settings::RootDocument root_;                    // root document of newest_known_
  std::map<std::string, ParsedSubtree> subtrees_;  // by service; only those that the root names
  base::Findings findings_;
};

// Reads the settings of the service that an agent belongs to. An agent applies its subtree as soon
// as it arrives, because each is a committed state of that service.
class ServiceSettingsReader {
 public:
  // `service` is the name in the settings tree.
  explicit ServiceSettingsReader(std::string service) : service_(std::move(service)) {}

  // Reads the records again; returns true when the settings changed.
  bool Advance(const dissemination::RecordStore& records);

  // Returns the revision that last changed the service's subtree; 0 for none.
  base::Revision Revision() const { return revision_; }

  // Returns the settings, or null while there are none.
  std::shared_ptr<const settings::ServiceSettings> Settings() const { return settings_; }

  const base::Findings& Findings() const { return findings_; }

 private:
  std::string service_;
  dissemination::RecordStamp subtree_stamp_;
  dissemination::RecordStamp defaults_stamp_;
  base::Revision revision_;
  std::shared_ptr<const settings::ServiceSettings> settings_;
  base::Findings findings_;
};

}  // namespace gaugevalve::control
