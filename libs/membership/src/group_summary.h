// Encodes the state of many members of a group in one message part.
#pragma once

#include <cstddef>
#include <vector>

#include "gaugevalve/membership/membership.pb.h"
#include "member_record.h"
#include "member_table.h"

namespace gaugevalve::membership {

// Identifies the members of a group that have the same state and the same number of refutations.
struct SummaryKey {
  GroupKey group = 0;
  std::uint64_t refutations = 0;
  MemberState state = MemberState::kDead;

  friend auto operator<=>(const SummaryKey&, const SummaryKey&) = default;
};

// Returns the key of the summary that covers this member.
SummaryKey SummaryOf(const Member& member);

// Encodes which members of the group match `key`. Returns their number.
std::size_t EncodeSummary(const MemberTable& table, const SummaryKey& key,
                          proto::GroupSummary& summary);

// Returns the records in a summary that are newer than the table. Returns none when this node's
// group has other members or metadata versions than the sender's, because then positions refer to
// other members. `trust_any_base` injects a fault; see InjectedFaults.
std::vector<MemberRecord> DecodeSummary(const MemberTable& table,
                                        const proto::GroupSummary& summary, bool trust_any_base);

}  // namespace gaugevalve::membership
