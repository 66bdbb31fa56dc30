// The records a node holds: the newest of each key, never an older one again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gaugevalve/dissemination/digest_tree.h"
#include "gaugevalve/dissemination/record.h"

namespace gaugevalve::dissemination {

// Bounds of a RecordStore. What would pass a bound is refused and counted, nothing is evicted: the
// records held are all in use, and dropping one would let an older one in again.
struct RecordStoreLimits {
  std::size_t max_records = 8192;
  std::size_t max_value_bytes = std::size_t{256} << 10U;  // of one record, uncompressed
  std::size_t max_total_bytes = std::size_t{12} << 20U;   // values and patches together
  std::size_t max_patches = 32;                           // kept per record
};

// Deliberate faults, by which the proofs show that they would notice. Never set in production.
struct InjectedFaults {
  bool accept_older_records = false;
};

// What became of a record that was offered.
enum class PutResult : std::uint8_t {
  kStored = 0,
  kNotNewer = 1,  // the one held is as new or newer
  kFull = 2,      // it would pass a bound
};

// The record table. Pointers and iteration stay valid until the next Put() of the same key. Not
// thread-safe.
class RecordStore {
 public:
  explicit RecordStore(const RecordStoreLimits& limits, const InjectedFaults& faults = {})
      : limits_(limits), faults_(faults) {}

  // Offers a record of this node's own making. Makes the patch from the bytes held until now, if
  // one is worth it. With `base`, an earlier state of this record, the patch is made from that: the
  // steps in between, which nobody else has, are left out.
  PutResult Publish(const RecordKey& key, const RecordVersion& version, std::string value,
                    const Record* base = nullptr);

  // Offers a record from a peer, with the patches that came along.
  PutResult Put(const RecordKey& key, const RecordVersion& version, std::string value,
                std::vector<Patch> patches);

  // Returns the record held, or null.
  const Record* Find(const RecordKey& key) const;

  // Returns its stamp, or the default one (older than any) when none is held.
  RecordStamp StampOf(const RecordKey& key) const;

  // Returns the records of these leaves [first, end) that sort after `after`, in the order that
  // pages are read in: by leaf, then key. `after` may be a key no longer held; null starts afresh.
  std::vector<const Record*> InLeaves(std::size_t first_leaf, std::size_t end_leaf,
                                      const RecordKey* after = nullptr) const;

  // Returns all records that the interest covers.
  std::vector<const Record*> Covered(const Interest& interest) const;

  const DigestTree& Digests() const { return digests_; }
  const RecordStoreLimits& Limits() const { return limits_; }
  std::size_t RecordCount() const { return records_.size(); }
  std::size_t TotalBytes() const { return total_bytes_; }

 private:
  struct Position {
    std::size_t leaf = 0;
    RecordKey key;
    friend auto operator<=>(const Position&, const Position&) = default;
  };

  static Position PositionOf(const RecordKey& key) { return {DigestTree::LeafOf(key), key}; }
  bool IsNewer(const RecordStamp& offered, const RecordStamp& held) const;
  void DropOldPatches(std::size_t value_bytes, std::vector<Patch>& patches) const;
  bool Fits(const Record* held, const std::string& value) const;
  void Replace(Record record);

  RecordStoreLimits limits_;
  InjectedFaults faults_;
  std::map<Position, Record> records_;
  DigestTree digests_;
  std::size_t total_bytes_ = 0;
};

// Returns the digest that a stamp carries for these bytes.
std::uint64_t DigestOf(const std::string& value);

}  // namespace gaugevalve::dissemination
