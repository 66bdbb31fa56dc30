#include "member_table.h"

#include <utility>

namespace gaugevalve::membership {
namespace {

std::pair<base::Incarnation, MemberState> Order(const Member& member) {
  return {member.incarnation, member.state};
}

std::pair<base::Incarnation, MemberState> Order(const MemberRecord& record) {
  return {record.incarnation, record.state};
}

}  // namespace

MergeResult MemberTable::Merge(const MemberRecord& record, base::TimePoint now) {
  const auto found = members_.find(record.node);
  if (found == members_.end()) {
    return Add(record, now);
  }
  if (Order(record) < Order(found->second)) {
    return {MergeOutcome::kIgnored, std::nullopt};
  }
  if (Order(record) == Order(found->second)) {
    return {MergeOutcome::kSame, std::nullopt};
  }
  return Change(found->second, record, now);
}

MergeResult MemberTable::MergeWithoutOrder(const MemberRecord& record, base::TimePoint now) {
  const auto found = members_.find(record.node);
  if (found == members_.end()) {
    return Add(record, now);
  }
  if (Order(record) == Order(found->second)) {
    return {MergeOutcome::kSame, std::nullopt};
  }
  return Change(found->second, record, now);
}

void MemberTable::Put(const Member& member) {
  const auto [place, is_new] = members_.try_emplace(member.node, member);
  if (!is_new) {
    RemoveFromIndexes(place->second);
    place->second = member;
  }
  AddToIndexes(place->second);
}

void MemberTable::PruneDead(base::TimePoint before) {
  for (auto place = members_.begin(); place != members_.end();) {
    const bool is_old = !IsLive(place->second.state) && place->second.changed_at < before;
    if (is_old) {
      RemoveFromIndexes(place->second);
      place = members_.erase(place);
    } else {
      ++place;
    }
  }
}

const Member* MemberTable::Find(base::NodeId node) const {
  const auto found = members_.find(node);
  return found == members_.end() ? nullptr : &found->second;
}

MergeResult MemberTable::Add(const MemberRecord& record, base::TimePoint now) {
  if (!IsLive(record.state)) {
    return {MergeOutcome::kIgnored, std::nullopt};
  }
  if (record.metadata == nullptr) {
    return {MergeOutcome::kNeedsMetadata, std::nullopt};
  }
  if (members_.size() >= maximum_members_ && !EvictOldestDead()) {
    return {MergeOutcome::kRefused, std::nullopt};
  }
  const Member member{record.node, record.incarnation, record.metadata_version, record.state,
                      now,         record.metadata};
  members_.emplace(record.node, member);
  AddToIndexes(member);
  return {MergeOutcome::kChanged, std::nullopt};
}

MergeResult MemberTable::Change(Member& member, const MemberRecord& record, base::TimePoint now) {
  const bool metadata_is_newer = record.metadata_version > member.metadata_version;
  if (metadata_is_newer && record.metadata == nullptr && IsLive(record.state)) {
    return {MergeOutcome::kNeedsMetadata, std::nullopt};
  }
  const PreviousState previous{member.state, member.incarnation, member.metadata_version,
                               member.metadata->process_incarnation};
  RemoveFromIndexes(member);
  member.incarnation = record.incarnation;
  member.state = record.state;
  member.changed_at = now;
  if (metadata_is_newer && record.metadata != nullptr) {
    member.metadata_version = record.metadata_version;
    member.metadata = record.metadata;
  }
  AddToIndexes(member);
  return {MergeOutcome::kChanged, previous};
}

bool MemberTable::EvictOldestDead() {
  if (DeadCount() == 0) {
    return false;
  }
  auto oldest = members_.end();
  for (auto place = members_.begin(); place != members_.end(); ++place) {
    const bool is_dead = !IsLive(place->second.state);
    if (is_dead &&
        (oldest == members_.end() || place->second.changed_at < oldest->second.changed_at)) {
      oldest = place;
    }
  }
  RemoveFromIndexes(oldest->second);
  members_.erase(oldest);
  return true;
}

void MemberTable::AddToIndexes(const Member& member) {
  fingerprints_.Add(member);
  groups_.Add(member);
  if (IsLive(member.state)) {
    ++live_count_;
    digest_.Toggle(member);
  }
}

void MemberTable::RemoveFromIndexes(const Member& member) {
  fingerprints_.Remove(member);
  groups_.Remove(member);
  if (IsLive(member.state)) {
    --live_count_;
    digest_.Toggle(member);
  }
}

}  // namespace gaugevalve::membership
