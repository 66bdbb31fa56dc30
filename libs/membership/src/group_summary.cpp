#include "group_summary.h"

#include <limits>
#include <string>
#include <utility>

namespace gaugevalve::membership {
namespace {

constexpr std::size_t kBitsPerByte = 8;

bool HasBit(const std::string& bits, std::size_t position) {
  const std::size_t byte = position / kBitsPerByte;
  return byte < bits.size() &&
         (static_cast<unsigned char>(bits[byte]) >> (position % kBitsPerByte) & 1U) != 0;
}

void SetBit(std::string& bits, std::size_t position) {
  const std::size_t byte = position / kBitsPerByte;
  if (bits.size() <= byte) {
    bits.resize(byte + 1, '\0');
  }
  const auto mask = static_cast<unsigned char>(1U << (position % kBitsPerByte));
  bits[byte] = static_cast<char>(static_cast<unsigned char>(bits[byte]) | mask);
}

}  // namespace

SummaryKey SummaryOf(const Member& member) {
  return {MemberGroups::KeyOf(member), member.incarnation.value() - member.metadata_version.value(),
          member.state};
}

std::size_t EncodeSummary(const MemberTable& table, const SummaryKey& key,
                          proto::GroupSummary& summary) {
  const MemberGroup* group = table.Groups().Find(key.group);
  if (group == nullptr) {
    return 0;
  }
  std::string bits;
  std::size_t count = 0;
  for (std::size_t position = 0; position < group->members.size(); ++position) {
    const Member& member = *table.Find(group->members[position]);
    const std::uint64_t refutations = member.incarnation.value() - member.metadata_version.value();
    if (member.state == key.state && refutations == key.refutations) {
      SetBit(bits, position);
      ++count;
    }
  }
  summary.set_group(key.group);
  summary.set_base(group->base);
  summary.set_refutations(key.refutations);
  summary.set_state(static_cast<proto::MemberState>(key.state));
  summary.set_members(bits);
  return count;
}

std::vector<MemberRecord> DecodeSummary(const MemberTable& table,
                                        const proto::GroupSummary& summary, bool trust_any_base) {
  std::vector<MemberRecord> records;
  const MemberGroup* group = table.Groups().Find(summary.group());
  const bool is_known_state = summary.state() == proto::MEMBER_STATE_DEAD ||  //
                              summary.state() == proto::MEMBER_STATE_ALIVE;
  const bool is_usable =
      group != nullptr && is_known_state && (trust_any_base || group->base == summary.base());
  if (!is_usable) {
    return records;
  }
  for (std::size_t position = 0; position < group->members.size(); ++position) {
    const Member& member = *table.Find(group->members[position]);
    const std::uint64_t room =
        std::numeric_limits<std::uint64_t>::max() - member.metadata_version.value();
    if (!HasBit(summary.members(), position) || summary.refutations() > room) {
      continue;
    }
    const base::Incarnation incarnation(member.metadata_version.value() + summary.refutations());
    const auto state = static_cast<MemberState>(summary.state());
    const bool is_newer =
        std::pair(member.incarnation, member.state) < std::pair(incarnation, state);
    if (is_newer) {
      records.push_back({member.node, incarnation, member.metadata_version, state, nullptr, 0});
    }
  }
  return records;
}

}  // namespace gaugevalve::membership
