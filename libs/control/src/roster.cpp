#include "gaugevalve/control/roster.h"

#include <algorithm>

#include "gaugevalve/control/control.pb.h"

namespace gaugevalve::control {

const RosterMember* Roster::Find(base::NodeId node) const {
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&](const RosterMember& member) { return member.node == node; });
  return found == members.end() ? nullptr : &*found;
}

std::string EncodeRoster(const Roster& roster) {
  proto::Roster message;
  message.set_epoch(roster.epoch);
  message.set_sequence(roster.sequence);
  for (const RosterMember& member : roster.members) {
    proto::RosterMember& entry = *message.add_members();
    entry.set_node(member.node.value());
    entry.set_life(member.incarnation.value());
    entry.set_slot(member.slot);
  }
  message.set_settings_schema(roster.settings_schema);
  return message.SerializeAsString();
}

std::optional<Roster> DecodeRoster(std::string_view bytes) {
  proto::Roster message;
  const bool parsed = message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  if (!parsed || message.members_size() > static_cast<int>(kMaxRosterMembers)) {
    return std::nullopt;
  }
  Roster roster{message.epoch(), message.sequence(), {}, message.settings_schema()};
  for (const proto::RosterMember& entry : message.members()) {
    roster.members.push_back(
        {base::NodeId(entry.node()), base::Incarnation(entry.life()), entry.slot()});
  }
  return roster;
}

}  // namespace gaugevalve::control
