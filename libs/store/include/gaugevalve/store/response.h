// The store's answers as typed values.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "gaugevalve/store/key_value.h"

namespace gaugevalve::store {

// Answer to a RangeRequest.
struct RangeResponse {
  base::Revision revision{};  // the store's revision when it answered
  std::vector<KeyValue> key_values;
  bool more = false;       // the limit cut the answer short
  std::int64_t count = 0;  // keys in the range, whatever the limit

  friend bool operator==(const RangeResponse&, const RangeResponse&) = default;
};

// Answer to a PutRequest.
struct PutResponse {
  base::Revision revision{};  // the revision this write made

  friend bool operator==(const PutResponse&, const PutResponse&) = default;
};

// Answer to a DeleteRangeRequest.
struct DeleteRangeResponse {
  base::Revision revision{};
  std::int64_t deleted = 0;

  friend bool operator==(const DeleteRangeResponse&, const DeleteRangeResponse&) = default;
};

// Answer to one operation of a transaction.
using OperationResponse = std::variant<RangeResponse, PutResponse, DeleteRangeResponse>;

// Answer to a TxnRequest.
struct TxnResponse {
  base::Revision revision{};
  bool succeeded = false;  // the comparisons held
  std::vector<OperationResponse> responses;

  friend bool operator==(const TxnResponse&, const TxnResponse&) = default;
};

// Answer to a LeaseGrantRequest.
struct LeaseGrantResponse {
  base::Revision revision{};
  LeaseId id{};
  std::int64_t ttl_seconds = 0;

  friend bool operator==(const LeaseGrantResponse&, const LeaseGrantResponse&) = default;
};

// Answer to a LeaseKeepAliveRequest.
struct LeaseKeepAliveResponse {
  base::Revision revision{};
  LeaseId id{};
  std::int64_t ttl_seconds = 0;  // 0: the lease no longer exists

  friend bool operator==(const LeaseKeepAliveResponse&, const LeaseKeepAliveResponse&) = default;
};

// Answer to a LeaseRevokeRequest.
struct LeaseRevokeResponse {
  base::Revision revision{};

  friend bool operator==(const LeaseRevokeResponse&, const LeaseRevokeResponse&) = default;
};

// The alternatives stand in the order of Request's: an answer has the index of its request.
using Response = std::variant<RangeResponse, PutResponse, DeleteRangeResponse, TxnResponse,
                              LeaseGrantResponse, LeaseKeepAliveResponse, LeaseRevokeResponse>;

// What happened to a key.
enum class WatchEventKind : std::uint8_t { kPut, kDelete };

// One change. For a deletion only the key and `mod_revision` (of the deletion) are set.
struct WatchEvent {
  WatchEventKind kind = WatchEventKind::kPut;
  KeyValue key_value;

  friend bool operator==(const WatchEvent&, const WatchEvent&) = default;
};

// One message of a watch stream.
struct WatchFrame {
  base::Revision revision{};
  bool created = false;               // first frame of the stream
  bool canceled = false;              // last frame of the stream
  base::Revision compact_revision{};  // above 0: the revisions asked for are compacted away
  std::string cancel_reason;
  std::vector<WatchEvent> events;  // all changes of a revision are in one frame

  friend bool operator==(const WatchFrame&, const WatchFrame&) = default;
};

}  // namespace gaugevalve::store
