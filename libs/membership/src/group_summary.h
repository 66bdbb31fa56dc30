// One message's word on many members of a group, and its codec.
#pragma once

#include <cstddef>
#include <vector>

#include "gaugevalve/membership/membership.pb.h"
#include "member_record.h"
#include "member_table.h"

namespace gaugevalve::membership {

// Which members of a group are in one state after the same number of refutations.
struct SummaryKey {
  GroupKey group = 0;
  std::uint64_t refutations = 0;
  MemberState state = MemberState::kDead;

  friend auto operator<=>(const SummaryKey&, const SummaryKey&) = default;
};

// Returns what a summary that speaks of this member is about.
SummaryKey SummaryOf(const Member& member);

// Encodes which of the group's members `key` holds for; returns how many they are.
std::size_t EncodeSummary(const MemberTable& table, const SummaryKey& key,
                          proto::GroupSummary& summary);

// Returns the records that a summary stands for and that may be piggybacked_bytes. Nothing when
// this node knows other members in the group, or other metadata, than the sender did: then
// positions mean something else. `trust_any_base` is a deliberate fault, see InjectedFaults.
std::vector<MemberRecord> DecodeSummary(const MemberTable& table,
                                        const proto::GroupSummary& summary, bool trust_any_base);

}  // namespace gaugevalve::membership
