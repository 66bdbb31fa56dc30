// The records that the control tasks spread.
#pragma once

#include <cstdint>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/dissemination/record.h"
#include "gaugevalve/routing/table_version.h"

namespace gaugevalve::control {

// Kinds of records; the numbers are part of the protocol.
enum class RecordKind : std::uint32_t {
  kSettingsRoot = 1,      // the RootDocument's text, version = its revision
  kSettingsSubtree = 2,   // a service's settings, version = the revision that changed it
  kPlannerRoster = 3,     // version = (epoch, sequence)
  kTable = 4,             // a service's bucket table, version = the TableVersion
  kSettingsDefaults = 5,  // the settings at the root of the tree, for agents
};

// Returns the kind of a key.
inline RecordKind KindOf(const dissemination::RecordKey& key) {
  return static_cast<RecordKind>(key.kind);
}

// Returns the key of a record that exists once.
inline dissemination::RecordKey KeyOf(RecordKind kind) {
  return {static_cast<std::uint32_t>(kind), 0};
}

// Returns the key of a service's record.
inline dissemination::RecordKey KeyOf(RecordKind kind, base::ServiceId service) {
  return {static_cast<std::uint32_t>(kind), service.value()};
}

// Returns the record version of a table.
inline dissemination::RecordVersion VersionOf(const routing::TableVersion& version) {
  return {version.epoch, (std::uint64_t{version.generation} << 32U) | version.sequence};
}

// Returns the record version of something settled by a settings revision.
inline dissemination::RecordVersion VersionOf(base::Revision revision) {
  return {revision.value(), 0};
}

// Balancers hold everything.
inline dissemination::Interest BalancerInterest() {
  dissemination::Interest interest;
  interest.everything = true;
  return interest;
}

// Agents hold what is about their own service, the roster and the settings at the root.
inline dissemination::Interest AgentInterest(base::ServiceId service) {
  dissemination::Interest interest;
  interest.scope = service.value();
  interest.common_kinds = (1U << static_cast<std::uint32_t>(RecordKind::kPlannerRoster)) |
                          (1U << static_cast<std::uint32_t>(RecordKind::kSettingsDefaults));
  return interest;
}

}  // namespace gaugevalve::control
