// The records of a node: the newest of each key. An older record never replaces a newer one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gaugevalve/dissemination/digest_tree.h"
#include "gaugevalve/dissemination/record.h"

namespace gaugevalve::dissemination {

// Limits of a RecordStore. A record that would exceed a limit is rejected and counted; nothing is
// evicted, because all stored records are in use and evicting one would allow an older version back
// in.
struct RecordStoreLimits {
  std::size_t max_records = 8192;
  std::size_t max_value_bytes = std::size_t{256} << 10U;  // per record, uncompressed
  std::size_t max_total_bytes = std::size_t{12} << 20U;   // values and patches together
  std::size_t max_patches = 32;                           // per record
};

// Faults that can be injected to show that the proofs detect them. Never set in production.
struct InjectedFaults {
  bool accept_older_records = false;
};

// The result of offering a record to the store.
enum class PutResult : std::uint8_t {
  kStored = 0,
  kNotNewer = 1,  // the stored record is as new or newer
  kFull = 2,      // would exceed a limit
};

// The table of records. Pointers and iterators stay valid until the next Put() of the same key. Not
// thread-safe.
class RecordStore {
 public:
  explicit RecordStore(const RecordStoreLimits& limits, const InjectedFaults& faults = {})
      : limits_(limits), faults_(faults) {}

  // Offers a record created by this node. Creates a patch from the stored value if that saves
  // space. With `base`, an earlier state of this record, the patch starts from that state instead,
  // which skips the intermediate versions that no other node has.
  PutResult Publish(const RecordKey& key, const RecordVersion& version, std::string value,
                    const Record* base = nullptr);

  // Offers a record from a peer, with the patches received.
  PutResult Put(const RecordKey& key, const RecordVersion& version, std::string value,
                std::vector<Patch> patches);

  // Returns the stored record, or null.
  const Record* Find(const RecordKey& key) const;

  // Returns the record's stamp, or the default stamp (older than any) when it is not stored.
  RecordStamp StampOf(const RecordKey& key) const;

  // Returns the records of the leaves [first_leaf, end_leaf) that sort after `after`, in the order
  // in which pages are read: by leaf, then by key. `after` may be a key that is no longer stored;
  // null starts at the first leaf.
  std::vector<const Record*> InLeaves(std::size_t first_leaf, std::size_t end_leaf,
                                      const RecordKey* after = nullptr) const;

  // Returns all records covered by the interest.
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

// Returns the digest of a value as used in stamps.
std::uint64_t DigestOf(const std::string& value);

}  // namespace gaugevalve::dissemination
