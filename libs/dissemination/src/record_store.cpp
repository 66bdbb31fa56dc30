#include "gaugevalve/dissemination/record_store.h"

#include <utility>

#include "gaugevalve/base/hash.h"
#include "gaugevalve/dissemination/value_codec.h"

namespace gaugevalve::dissemination {
namespace {

std::size_t SizeOf(const Record& record) {
  std::size_t size = record.value->size();
  for (const Patch& patch : record.patches) {
    size += patch.data.size();
  }
  return size;
}

}  // namespace

std::uint64_t DigestOf(const std::string& value) { return base::HashText(value); }

bool RecordStore::IsNewer(const RecordStamp& offered, const RecordStamp& held) const {
  return offered > held || (faults_.accept_older_records && offered != held);
}

PutResult RecordStore::Publish(const RecordKey& key, const RecordVersion& version,
                               std::string value, const Record* base) {
  const Record* held = base != nullptr ? base : Find(key);
  std::vector<Patch> patches;
  if (held != nullptr) {
    std::string data = MakePatch(*held->value, value);
    const bool saves_space = data.size() * 2 < value.size();
    if (saves_space) {
      patches = held->patches;
      patches.push_back({held->stamp, std::move(data)});
    }
  }
  return Put(key, version, std::move(value), std::move(patches));
}

PutResult RecordStore::Put(const RecordKey& key, const RecordVersion& version, std::string value,
                           std::vector<Patch> patches) {
  const RecordStamp stamp{version, DigestOf(value)};
  const Record* held = Find(key);
  if (held != nullptr && !IsNewer(stamp, held->stamp)) {
    return PutResult::kNotNewer;
  }
  if (!Fits(held, value)) {
    return PutResult::kFull;
  }
  DropOldPatches(value.size(), patches);
  Replace({key, stamp, std::make_shared<const std::string>(std::move(value)), std::move(patches)});
  return PutResult::kStored;
}

// Keeps the newest patches, as long as they take at most half the size of the value in total.
void RecordStore::DropOldPatches(std::size_t value_bytes, std::vector<Patch>& patches) const {
  std::size_t kept = 0;
  std::size_t bytes = 0;
  while (kept < patches.size() && kept < limits_.max_patches) {
    bytes += patches[patches.size() - 1 - kept].data.size();
    if (bytes * 2 > value_bytes) {
      break;
    }
    ++kept;
  }
  patches.erase(patches.begin(), patches.end() - static_cast<std::ptrdiff_t>(kept));
}

bool RecordStore::Fits(const Record* held, const std::string& value) const {
  const std::size_t released = held == nullptr ? 0 : SizeOf(*held);
  const bool has_room = held != nullptr || records_.size() < limits_.max_records;
  return has_room && value.size() <= limits_.max_value_bytes &&
         total_bytes_ - released + value.size() <= limits_.max_total_bytes;
}

void RecordStore::Replace(Record record) {
  const RecordKey key = record.key;
  const RecordStamp stamp = record.stamp;
  Record& place = records_[PositionOf(key)];
  if (place.value != nullptr) {
    total_bytes_ -= SizeOf(place);
    digests_.Toggle(key, place.stamp);
  }
  total_bytes_ += SizeOf(record);
  place = std::move(record);
  digests_.Toggle(key, stamp);
}

const Record* RecordStore::Find(const RecordKey& key) const {
  const auto found = records_.find(PositionOf(key));
  return found == records_.end() ? nullptr : &found->second;
}

RecordStamp RecordStore::StampOf(const RecordKey& key) const {
  const Record* held = Find(key);
  return held == nullptr ? RecordStamp{} : held->stamp;
}

std::vector<const Record*> RecordStore::InLeaves(std::size_t first_leaf, std::size_t end_leaf,
                                                 const RecordKey* after) const {
  auto place = after == nullptr ? records_.lower_bound(Position{first_leaf, RecordKey{}})
                                : records_.upper_bound(PositionOf(*after));
  std::vector<const Record*> found;
  for (; place != records_.end() && place->first.leaf < end_leaf; ++place) {
    found.push_back(&place->second);
  }
  return found;
}

std::vector<const Record*> RecordStore::Covered(const Interest& interest) const {
  std::vector<const Record*> found;
  for (const auto& [position, record] : records_) {
    if (interest.Covers(position.key)) {
      found.push_back(&record);
    }
  }
  return found;
}

}  // namespace gaugevalve::dissemination
