// The stand-in store's state: keys with revisions, leases and the history that watches read.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/store/codec.h"
#include "gaugevalve/store/request.h"
#include "gaugevalve/store/response.h"

namespace gaugevalve::standins {

// A request the store answers with an error; nothing of it was applied.
class StoreError : public std::runtime_error {
 public:
  StoreError(store::StatusCode code, const std::string& message)
      : std::runtime_error(message), code_(code) {}

  store::StatusCode code() const { return code_; }  // NOLINT(readability-identifier-naming)

 private:
  store::StatusCode code_;
};

// All changes made by one write.
struct RevisionChanges {
  base::Revision revision;
  std::vector<store::WatchEvent> events;
};

// Pure core over injected time; not thread-safe. In memory and bounded: past kHistoryLimit
// revisions the oldest half is compacted, as the real store's own compaction does.
class MvccStore {
 public:
  static constexpr std::size_t kHistoryLimit = 100'000;

  // Applies the request as one atomic step. Throws StoreError.
  store::Response Apply(const store::Request& request, base::TimePoint now);

  // Ends the leases that are due and deletes their keys.
  void ExpireLeases(base::TimePoint now);

  // Ends a lease whatever its time; returns false when there is none.
  bool ExpireLease(store::LeaseId lease);

  // Forgets the history before `revision`. Throws StoreError when it is in the future or forgotten.
  void Compact(base::Revision revision);

  // Returns the changes from `start` on, in order. Throws StoreError (kOutOfRange) when compacted.
  std::vector<RevisionChanges> ChangesSince(base::Revision start) const;

  base::Revision CurrentRevision() const { return revision_; }
  base::Revision CompactedRevision() const { return compacted_; }

  // Returns when the next lease runs out.
  std::optional<base::TimePoint> NextExpiry() const;

  // Returns the lease's identifiers, in order.
  std::vector<store::LeaseId> Leases() const;

 private:
  struct KeyVersion {
    store::KeyValue key_value;  // of a deletion: key and mod_revision only
    bool deleted = false;
  };

  struct Lease {
    base::Duration ttl{};
    base::TimePoint expires_at{};
    std::set<std::string> keys;
  };

  using KeyMap = std::map<std::string, std::vector<KeyVersion>>;

  store::RangeResponse Run(const store::RangeRequest& request);
  store::PutResponse Run(const store::PutRequest& request);
  store::DeleteRangeResponse Run(const store::DeleteRangeRequest& request);
  store::TxnResponse Run(const store::TxnRequest& request);
  store::LeaseGrantResponse Run(const store::LeaseGrantRequest& request, base::TimePoint now);
  store::LeaseKeepAliveResponse Run(const store::LeaseKeepAliveRequest& request,
                                    base::TimePoint now);
  store::LeaseRevokeResponse Run(const store::LeaseRevokeRequest& request);

  void CheckLease(store::LeaseId lease) const;
  void CheckOperations(const std::vector<store::Operation>& operations) const;
  bool Holds(const store::Compare& compare) const;
  std::optional<store::KeyValue> Find(const std::string& key, base::Revision at) const;
  base::Revision WriteRevision() const { return base::Revision{revision_.value() + 1}; }
  void Put(const store::PutRequest& request);
  void Delete(const store::KeyValue& key_value);
  void Detach(const store::KeyValue& key_value);
  bool EndLease(store::LeaseId lease);
  void Commit();
  void ForgetHistory();

  base::Revision revision_{1};
  base::Revision compacted_{0};
  KeyMap keys_;
  std::map<store::LeaseId, Lease> leases_;
  std::int64_t next_lease_ = 7'587'000'000'000'000'001;
  std::vector<RevisionChanges> history_;
  std::vector<store::WatchEvent> uncommitted_;
};

// Returns true when `key` is in the range of a request with this key and range end.
bool IsInRange(const std::string& key, const std::string& range_key, const std::string& range_end);

}  // namespace gaugevalve::standins
