#include "gaugevalve/store/request.h"

#include <algorithm>

namespace gaugevalve::store {
namespace {

struct ChangesStoreVisitor {
  bool operator()(const RangeRequest&) const { return false; }
  bool operator()(const TxnRequest& txn) const {
    const auto changes = [](const Operation& operation) {
      return !std::holds_alternative<RangeRequest>(operation);
    };
    return std::ranges::any_of(txn.success, changes) || std::ranges::any_of(txn.failure, changes);
  }
  template <class Other>
  bool operator()(const Other&) const {
    return true;
  }
};

struct NameVisitor {
  const char* operator()(const RangeRequest&) const { return "range"; }
  const char* operator()(const PutRequest&) const { return "put"; }
  const char* operator()(const DeleteRangeRequest&) const { return "delete_range"; }
  const char* operator()(const TxnRequest&) const { return "txn"; }
  const char* operator()(const LeaseGrantRequest&) const { return "lease_grant"; }
  const char* operator()(const LeaseKeepAliveRequest&) const { return "lease_keep_alive"; }
  const char* operator()(const LeaseRevokeRequest&) const { return "lease_revoke"; }
};

}  // namespace

bool ChangesStore(const Request& request) { return std::visit(ChangesStoreVisitor{}, request); }

bool IsRepeatable(const Request& request) {
  return !ChangesStore(request) || std::holds_alternative<LeaseKeepAliveRequest>(request) ||
         std::holds_alternative<LeaseRevokeRequest>(request);
}

const char* NameOf(const Request& request) { return std::visit(NameVisitor{}, request); }

}  // namespace gaugevalve::store
