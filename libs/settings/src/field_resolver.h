// Works out inherited values along one path from the root down.
#pragma once

#include <array>
#include <optional>

#include "gaugevalve/settings/branch.h"
#include "gaugevalve/settings/effective_settings.h"

namespace gaugevalve::settings {

// The values in force at one place of the tree. Copy it and Enter() a child to go down.
class FieldResolver {
 public:
  // Starts with the schema's defaults.
  FieldResolver();

  // Lets the branch override what it sets.
  void Enter(const Branch& branch);

  // Returns the value in force, or nothing for a field without default that no branch has set.
  const std::optional<FieldValue>& Find(FieldId id) const { return At(id); }

  // Each returns the value of a field that has the type named and has a value.
  std::uint32_t Integer(FieldId id) const;
  double Ratio(FieldId id) const;
  base::Duration Time(FieldId id) const;
  base::SocketAddress Address(FieldId id) const;
  std::uint8_t ChoiceIndex(FieldId id) const;
  const ZoneNames& Zones(FieldId id) const;

  const std::array<FieldOrigin, kFieldCount>& Origins() const { return origins_; }

 private:
  const std::optional<FieldValue>& At(FieldId id) const {
    return values_[static_cast<std::size_t>(id)];
  }

  std::array<std::optional<FieldValue>, kFieldCount> values_;
  std::array<FieldOrigin, kFieldCount> origins_;
};

}  // namespace gaugevalve::settings
