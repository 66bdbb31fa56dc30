// Puts settings in force on a balancer: a committed revision, whole, never an older one again.
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

// A revision in force.
struct ActiveSettings {
  base::Revision revision;                                      // 0: none yet
  std::shared_ptr<const settings::EffectiveSettings> settings;  // null: none yet
};

// What an attempt to activate came to.
enum class ActivationResult : std::uint8_t {
  kNothingNewer = 0,
  kActivated = 1,
  kIncomplete = 2,  // the newest root names parts that haven't come yet
  kRefused = 3,     // it can't be applied here: see Findings()
};

// Deliberate faults, by which the proofs show that they would notice. Never set in production.
struct InjectedFaults {
  bool activate_partially = false;
};

// Decision core over the records held. Not thread-safe.
//
// The root record names every service's subtree by digest. A revision is activated when the subtree
// held for each service has the digest its root names: then the parts are those of one commit.
// While a part is missing, or is already a later revision's, the revision in force stays.
class SettingsActivator {
 public:
  // `schema_version` is the newest settings schema that this node understands.
  explicit SettingsActivator(const InjectedFaults& faults = {},
                             std::uint32_t schema_version = settings::kSchemaVersion)
      : faults_(faults), schema_version_(schema_version) {}

  // Activates the newest root's revision if it is newer than the one in force and whole. Call when
  // the root or a subtree changed; a call costs little when neither did.
  ActivationResult Advance(const dissemination::RecordStore& records);

  const ActiveSettings& Active() const { return active_; }

  // Returns the newest revision whose root is known; what is in force lags while it is larger.
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
  settings::RootDocument root_;                    // of newest_known_
  std::map<std::string, ParsedSubtree> subtrees_;  // by service; only those the root names
  base::Findings findings_;
};

// Settings of the one service that an agent works for. An agent takes its subtree as it comes: each
// is a committed state of that service.
class ServiceSettingsReader {
 public:
  // `service` is the name in the tree.
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
