// Requests to the store: the part of the etcd v3 API that gaugevalve uses, as typed values.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "gaugevalve/store/key_value.h"

namespace gaugevalve::store {

// Reads one key, or all keys in [key, range_end).
struct RangeRequest {
  std::string key{};
  std::string range_end{};    // empty: only `key`
  std::int64_t limit = 0;     // 0: no limit
  base::Revision revision{};  // 0: the newest
  bool serializable = false;  // true: any replica may answer, perhaps with an older state
  bool count_only = false;
  bool keys_only = false;             // leaves the values out
  base::Revision min_mod_revision{};  // above 0: leaves out keys not written since; counts all

  friend bool operator==(const RangeRequest&, const RangeRequest&) = default;
};

// Writes one key.
struct PutRequest {
  std::string key{};
  std::string value{};
  LeaseId lease{};  // 0: the key stays until it is deleted

  friend bool operator==(const PutRequest&, const PutRequest&) = default;
};

// Deletes one key, or all keys in [key, range_end).
struct DeleteRangeRequest {
  std::string key{};
  std::string range_end{};  // empty: only `key`

  friend bool operator==(const DeleteRangeRequest&, const DeleteRangeRequest&) = default;
};

// What a comparison looks at. An absent key has version, revisions and lease 0.
enum class CompareTarget : std::uint8_t { kVersion, kCreateRevision, kModRevision, kValue, kLease };

// The relation that must hold between the key's property and the operand.
enum class CompareRelation : std::uint8_t { kEqual, kGreater, kLess, kNotEqual };

// One condition of a transaction.
struct Compare {
  std::string key{};
  CompareTarget target = CompareTarget::kVersion;
  CompareRelation relation = CompareRelation::kEqual;
  std::int64_t number = 0;  // operand of all targets but kValue
  std::string value{};      // operand of kValue

  friend bool operator==(const Compare&, const Compare&) = default;
};

// One step of a transaction.
using Operation = std::variant<RangeRequest, PutRequest, DeleteRangeRequest>;

// Runs `success` when all `compares` hold and `failure` otherwise, as one atomic step.
struct TxnRequest {
  std::vector<Compare> compares{};
  std::vector<Operation> success{};
  std::vector<Operation> failure{};

  friend bool operator==(const TxnRequest&, const TxnRequest&) = default;
};

// Asks for a lease that expires unless it is renewed within `ttl`.
struct LeaseGrantRequest {
  LeaseId id{};  // 0: the store chooses
  std::chrono::seconds ttl{};

  friend bool operator==(const LeaseGrantRequest&, const LeaseGrantRequest&) = default;
};

// Renews a lease for its whole time to live.
struct LeaseKeepAliveRequest {
  LeaseId id{};

  friend bool operator==(const LeaseKeepAliveRequest&, const LeaseKeepAliveRequest&) = default;
};

// Ends a lease and deletes its keys.
struct LeaseRevokeRequest {
  LeaseId id{};

  friend bool operator==(const LeaseRevokeRequest&, const LeaseRevokeRequest&) = default;
};

// A request that is answered once.
using Request = std::variant<RangeRequest, PutRequest, DeleteRangeRequest, TxnRequest,
                             LeaseGrantRequest, LeaseKeepAliveRequest, LeaseRevokeRequest>;

// Asks for a stream of the changes in [key, range_end) from `start_revision` on.
struct WatchRequest {
  std::string key{};
  std::string range_end{};  // empty: only `key`
  base::Revision start_revision{};
  bool progress_notify = true;  // asks the store for a sign of life while nothing changes
};

// Returns true when running the request may change the store's state. Only then can a lost answer
// leave the outcome unknown.
bool ChangesStore(const Request& request);

// Returns true when running the request a second time does no harm: reads, renewals and
// revocations. A put isn't: repeated late, it would overwrite another writer's newer value.
bool IsRepeatable(const Request& request);

// Returns the request's name for logs and counters, as in "range".
const char* NameOf(const Request& request);

}  // namespace gaugevalve::store
