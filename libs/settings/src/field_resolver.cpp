#include "field_resolver.h"

#include <string>

namespace gaugevalve::settings {

FieldResolver::FieldResolver() {
  for (const FieldSchema& schema : Schema()) {
    if (!schema.default_text.empty()) {
      const std::string text(schema.default_text);
      values_[static_cast<std::size_t>(schema.id)] = ParseFieldValue(schema, text).value;
    }
  }
}

void FieldResolver::Enter(const Branch& branch) {
  for (const auto& [id, setting] : branch.fields) {
    const auto index = static_cast<std::size_t>(id);
    values_[index] = setting.value;
    origins_[index] = {false, branch.level};
  }
}

std::uint32_t FieldResolver::Integer(FieldId id) const {
  return static_cast<std::uint32_t>(std::get<std::int64_t>(At(id).value()));
}

double FieldResolver::Ratio(FieldId id) const { return std::get<double>(At(id).value()); }

base::Duration FieldResolver::Time(FieldId id) const {
  return std::get<base::Duration>(At(id).value());
}

base::SocketAddress FieldResolver::Address(FieldId id) const {
  return std::get<base::SocketAddress>(At(id).value());
}

std::uint8_t FieldResolver::ChoiceIndex(FieldId id) const {
  return std::get<Choice>(At(id).value()).index;
}

const ZoneNames& FieldResolver::Zones(FieldId id) const {
  return std::get<ZoneNames>(At(id).value());
}

}  // namespace gaugevalve::settings
