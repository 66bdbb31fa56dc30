#include "mvcc_store.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace gaugevalve::standins {
namespace {

using store::StatusCode;

template <class Value>
bool Relates(const Value& actual, store::CompareRelation relation, const Value& operand) {
  switch (relation) {
    case store::CompareRelation::kEqual:
      return actual == operand;
    case store::CompareRelation::kGreater:
      return actual > operand;
    case store::CompareRelation::kLess:
      return actual < operand;
    case store::CompareRelation::kNotEqual:
      return actual != operand;
  }
  return false;
}

std::int64_t Signed(base::Revision revision) { return static_cast<std::int64_t>(revision.value()); }

}  // namespace

bool IsInRange(const std::string& key, const std::string& range_key, const std::string& range_end) {
  if (range_end.empty()) {
    return key == range_key;
  }
  const bool to_the_end = range_end == std::string(1, '\0');
  return key >= range_key && (to_the_end || key < range_end);
}

store::Response MvccStore::Apply(const store::Request& request, base::TimePoint now) {
  ExpireLeases(now);
  return std::visit(
      [this, now](const auto& typed) -> store::Response {
        using Typed = std::decay_t<decltype(typed)>;
        if constexpr (std::is_same_v<Typed, store::LeaseGrantRequest> ||
                      std::is_same_v<Typed, store::LeaseKeepAliveRequest>) {
          return Run(typed, now);
        } else {
          auto response = Run(typed);
          Commit();
          response.revision = revision_;
          return response;
        }
      },
      request);
}

void MvccStore::ExpireLeases(base::TimePoint now) {
  std::vector<store::LeaseId> due;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_at <= now) {
      due.push_back(id);
    }
  }
  for (const store::LeaseId id : due) {
    EndLease(id);
  }
}

bool MvccStore::ExpireLease(store::LeaseId lease) { return EndLease(lease); }

void MvccStore::Compact(base::Revision revision) {
  if (revision > revision_) {
    throw StoreError(StatusCode::kOutOfRange, "required revision is a future revision");
  }
  if (revision <= compacted_) {
    throw StoreError(StatusCode::kOutOfRange, "required revision has been compacted");
  }
  compacted_ = revision;
  ForgetHistory();
}

std::vector<RevisionChanges> MvccStore::ChangesSince(base::Revision start) const {
  if (start < compacted_) {
    throw StoreError(StatusCode::kOutOfRange, "required revision has been compacted");
  }
  const auto first = std::ranges::lower_bound(history_, start, {}, &RevisionChanges::revision);
  return {first, history_.end()};
}

std::optional<base::TimePoint> MvccStore::NextExpiry() const {
  std::optional<base::TimePoint> next;
  for (const auto& [id, lease] : leases_) {
    next = next ? std::min(*next, lease.expires_at) : lease.expires_at;
  }
  return next;
}

std::vector<store::LeaseId> MvccStore::Leases() const {
  std::vector<store::LeaseId> ids;
  for (const auto& [id, lease] : leases_) {
    ids.push_back(id);
  }
  return ids;
}

store::RangeResponse MvccStore::Run(const store::RangeRequest& request) {
  // Within a transaction a read sees the writes before it, hence WriteRevision().
  const base::Revision at =
      request.revision == base::Revision{} ? WriteRevision() : request.revision;
  if (request.revision > revision_) {
    throw StoreError(StatusCode::kOutOfRange, "required revision is a future revision");
  }
  if (at < compacted_) {
    throw StoreError(StatusCode::kOutOfRange, "required revision has been compacted");
  }
  store::RangeResponse response;
  for (auto position = keys_.lower_bound(request.key); position != keys_.end(); ++position) {
    if (!IsInRange(position->first, request.key, request.range_end)) {
      break;
    }
    const auto found = Find(position->first, at);
    if (!found) {
      continue;
    }
    ++response.count;
    if (request.limit > 0 && response.count > request.limit) {
      response.more = true;
    } else if (!request.count_only && found->mod_revision >= request.min_mod_revision) {
      response.key_values.push_back(*found);
      if (request.keys_only) {
        response.key_values.back().value.clear();
      }
    }
  }
  return response;
}

store::PutResponse MvccStore::Run(const store::PutRequest& request) {
  CheckLease(request.lease);
  Put(request);
  return {};
}

store::DeleteRangeResponse MvccStore::Run(const store::DeleteRangeRequest& request) {
  const store::RangeResponse found =
      Run(store::RangeRequest{.key = request.key, .range_end = request.range_end});
  for (const store::KeyValue& key_value : found.key_values) {
    Delete(key_value);
  }
  store::DeleteRangeResponse response;
  response.deleted = found.count;
  return response;
}

store::TxnResponse MvccStore::Run(const store::TxnRequest& request) {
  store::TxnResponse response;
  response.succeeded = std::ranges::all_of(
      request.compares, [this](const store::Compare& compare) { return Holds(compare); });
  const auto& operations = response.succeeded ? request.success : request.failure;
  CheckOperations(request.success);
  CheckOperations(request.failure);
  for (const store::Operation& operation : operations) {
    response.responses.push_back(std::visit(
        [this](const auto& typed) -> store::OperationResponse { return Run(typed); }, operation));
  }
  const base::Revision revision = uncommitted_.empty() ? revision_ : WriteRevision();
  for (store::OperationResponse& operation : response.responses) {
    std::visit([revision](auto& typed) { typed.revision = revision; }, operation);
  }
  return response;
}

store::LeaseGrantResponse MvccStore::Run(const store::LeaseGrantRequest& request,
                                         base::TimePoint now) {
  if (request.ttl <= std::chrono::seconds(0)) {
    throw StoreError(StatusCode::kInvalidArgument, "lease TTL must be above 0");
  }
  const store::LeaseId id =
      request.id == store::LeaseId{} ? store::LeaseId{next_lease_++} : request.id;
  if (leases_.contains(id)) {
    throw StoreError(StatusCode::kFailedPrecondition, "lease already exists");
  }
  leases_[id] = Lease{request.ttl, now + request.ttl, {}};
  return {revision_, id, request.ttl.count()};
}

store::LeaseKeepAliveResponse MvccStore::Run(const store::LeaseKeepAliveRequest& request,
                                             base::TimePoint now) {
  const auto found = leases_.find(request.id);
  if (found == leases_.end()) {
    return {revision_, request.id, 0};
  }
  Lease& lease = found->second;
  lease.expires_at = now + lease.ttl;
  return {revision_, request.id,
          std::chrono::duration_cast<std::chrono::seconds>(lease.ttl).count()};
}

store::LeaseRevokeResponse MvccStore::Run(const store::LeaseRevokeRequest& request) {
  if (!EndLease(request.id)) {
    throw StoreError(StatusCode::kNotFound, "requested lease not found");
  }
  return {};
}

void MvccStore::CheckLease(store::LeaseId lease) const {
  if (lease != store::LeaseId{} && !leases_.contains(lease)) {
    throw StoreError(StatusCode::kNotFound, "requested lease not found");
  }
}

void MvccStore::CheckOperations(const std::vector<store::Operation>& operations) const {
  std::set<std::string> written;
  for (const store::Operation& operation : operations) {
    const auto* put = std::get_if<store::PutRequest>(&operation);
    if (put == nullptr) {
      continue;
    }
    CheckLease(put->lease);
    if (!written.insert(put->key).second) {
      throw StoreError(StatusCode::kInvalidArgument, "duplicate key given in txn request");
    }
  }
}

bool MvccStore::Holds(const store::Compare& compare) const {
  const auto found = Find(compare.key, revision_);
  const store::KeyValue actual = found.value_or(store::KeyValue{});
  switch (compare.target) {
    case store::CompareTarget::kVersion:
      return Relates(actual.version, compare.relation, compare.number);
    case store::CompareTarget::kCreateRevision:
      return Relates(Signed(actual.create_revision), compare.relation, compare.number);
    case store::CompareTarget::kModRevision:
      return Relates(Signed(actual.mod_revision), compare.relation, compare.number);
    case store::CompareTarget::kValue:
      return found.has_value() && Relates(actual.value, compare.relation, compare.value);
    case store::CompareTarget::kLease:
      return Relates(actual.lease.value(), compare.relation, compare.number);
  }
  return false;
}

std::optional<store::KeyValue> MvccStore::Find(const std::string& key, base::Revision at) const {
  const auto found = keys_.find(key);
  if (found == keys_.end()) {
    return std::nullopt;
  }
  for (auto version = found->second.rbegin(); version != found->second.rend(); ++version) {
    if (version->key_value.mod_revision <= at) {
      return version->deleted ? std::nullopt : std::make_optional(version->key_value);
    }
  }
  return std::nullopt;
}

void MvccStore::Put(const store::PutRequest& request) {
  const auto previous = Find(request.key, WriteRevision());
  store::KeyValue written{request.key, request.value, WriteRevision(), WriteRevision(),
                          1,           request.lease};
  if (previous) {
    Detach(*previous);
    written.create_revision = previous->create_revision;
    written.version = previous->version + 1;
  }
  if (request.lease != store::LeaseId{}) {
    leases_[request.lease].keys.insert(request.key);
  }
  keys_[request.key].push_back({written, false});
  uncommitted_.push_back({store::WatchEventKind::kPut, written});
}

void MvccStore::Delete(const store::KeyValue& key_value) {
  Detach(key_value);
  store::KeyValue deletion;
  deletion.key = key_value.key;
  deletion.mod_revision = WriteRevision();
  keys_[key_value.key].push_back({deletion, true});
  uncommitted_.push_back({store::WatchEventKind::kDelete, deletion});
}

void MvccStore::Detach(const store::KeyValue& key_value) {
  const auto lease = leases_.find(key_value.lease);
  if (lease != leases_.end()) {
    lease->second.keys.erase(key_value.key);
  }
}

bool MvccStore::EndLease(store::LeaseId lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return false;
  }
  const std::set<std::string> keys = found->second.keys;
  for (const std::string& key : keys) {
    Delete(*Find(key, revision_));
  }
  leases_.erase(lease);
  Commit();
  return true;
}

void MvccStore::Commit() {
  if (uncommitted_.empty()) {
    return;
  }
  revision_ = WriteRevision();
  history_.push_back({revision_, std::exchange(uncommitted_, {})});
  if (history_.size() > kHistoryLimit) {
    compacted_ = history_[history_.size() / 2].revision;
    ForgetHistory();
  }
}

void MvccStore::ForgetHistory() {
  std::erase_if(history_,
                [this](const RevisionChanges& changes) { return changes.revision < compacted_; });
  for (auto position = keys_.begin(); position != keys_.end();) {
    std::vector<KeyVersion>& versions = position->second;
    // The newest version at the compacted revision stays readable.
    const auto kept = std::ranges::find_if(
        versions.rbegin(), versions.rend(),
        [this](const KeyVersion& version) { return version.key_value.mod_revision <= compacted_; });
    if (kept != versions.rend()) {
      versions.erase(versions.begin(), kept.base() - 1);
    }
    const bool gone = versions.size() == 1 && versions.front().deleted;
    position = gone ? keys_.erase(position) : std::next(position);
  }
}

}  // namespace gaugevalve::standins
