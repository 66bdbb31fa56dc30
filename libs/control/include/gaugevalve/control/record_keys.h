// Keys and versions of the records that control tasks disseminate.
#pragma once

#include <cstdint>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/dissemination/record.h"
#include "gaugevalve/routing/table_version.h"

namespace gaugevalve::control {

// Kinds of records; the numbers are part of the protocol.
enum class RecordKind : std::uint32_t {
  kSettingsRoot = 1,      // text of the RootDocument; version = its revision
  kSettingsSubtree = 2,   // settings of a service; version = the revision that changed them
  kPlannerRoster = 3,     // version = (epoch, sequence)
  kTable = 4,             // bucket table of a service; version = the TableVersion
  kSettingsDefaults = 5,  // settings at the root of the tree, for agents
};

inline RecordKind KindOf(const dissemination::RecordKey& key) {
  return static_cast<RecordKind>(key.kind);
}

// Returns the key of a record of which there is only one.
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

// Returns the record version of data that a settings revision determines.
inline dissemination::RecordVersion VersionOf(base::Revision revision) {
  return {revision.value(), 0};
}

// Balancers hold all records.
inline dissemination::Interest BalancerInterest() {
  dissemination::Interest interest;
  interest.everything = true;
  return interest;
}

// Agents hold the records of their own service, the roster and the settings at the root.
inline dissemination::Interest AgentInterest(base::ServiceId service) {
  dissemination::Interest interest;
  interest.scope = service.value();
  interest.common_kinds = (1U << static_cast<std::uint32_t>(RecordKind::kPlannerRoster)) |
                          (1U << static_cast<std::uint32_t>(RecordKind::kSettingsDefaults));
  return interest;
}

}  // namespace gaugevalve::control
