#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"
#include "gaugevalve/store/codec.h"

namespace gaugevalve::store {
namespace {

using Json = nlohmann::json;

std::string Base64(const std::string& bytes) { return absl::Base64Escape(bytes); }

std::string Number(std::int64_t number) { return std::to_string(number); }

std::string Number(base::Revision revision) { return std::to_string(revision.value()); }

Json ToJson(const RangeRequest& range) {
  Json json{{"key", Base64(range.key)}};
  if (!range.range_end.empty()) {
    json["range_end"] = Base64(range.range_end);
  }
  if (range.limit != 0) {
    json["limit"] = Number(range.limit);
  }
  if (range.revision != base::Revision{}) {
    json["revision"] = Number(range.revision);
  }
  if (range.serializable) {
    json["serializable"] = true;
  }
  if (range.count_only) {
    json["count_only"] = true;
  }
  if (range.keys_only) {
    json["keys_only"] = true;
  }
  if (range.min_mod_revision != base::Revision{}) {
    json["min_mod_revision"] = Number(range.min_mod_revision);
  }
  return json;
}

Json ToJson(const PutRequest& put) {
  Json json{{"key", Base64(put.key)}, {"value", Base64(put.value)}};
  if (put.lease != LeaseId{}) {
    json["lease"] = Number(put.lease.value());
  }
  return json;
}

Json ToJson(const DeleteRangeRequest& deletion) {
  Json json{{"key", Base64(deletion.key)}};
  if (!deletion.range_end.empty()) {
    json["range_end"] = Base64(deletion.range_end);
  }
  return json;
}

const char* NameOfRelation(CompareRelation relation) {
  switch (relation) {
    case CompareRelation::kEqual:
      return "EQUAL";
    case CompareRelation::kGreater:
      return "GREATER";
    case CompareRelation::kLess:
      return "LESS";
    case CompareRelation::kNotEqual:
      return "NOT_EQUAL";
  }
  return "EQUAL";
}

void AddTarget(const Compare& compare, Json& json) {
  switch (compare.target) {
    case CompareTarget::kVersion:
      json["target"] = "VERSION";
      json["version"] = Number(compare.number);
      break;
    case CompareTarget::kCreateRevision:
      json["target"] = "CREATE";
      json["create_revision"] = Number(compare.number);
      break;
    case CompareTarget::kModRevision:
      json["target"] = "MOD";
      json["mod_revision"] = Number(compare.number);
      break;
    case CompareTarget::kValue:
      json["target"] = "VALUE";
      json["value"] = Base64(compare.value);
      break;
    case CompareTarget::kLease:
      json["target"] = "LEASE";
      json["lease"] = Number(compare.number);
      break;
  }
}

Json ToJson(const Compare& compare) {
  Json json{{"key", Base64(compare.key)}, {"result", NameOfRelation(compare.relation)}};
  AddTarget(compare, json);
  return json;
}

struct OperationEncoder {
  Json operator()(const RangeRequest& range) const { return {{"request_range", ToJson(range)}}; }
  Json operator()(const PutRequest& put) const { return {{"request_put", ToJson(put)}}; }
  Json operator()(const DeleteRangeRequest& deletion) const {
    return {{"request_delete_range", ToJson(deletion)}};
  }
};

Json ToJson(const std::vector<Operation>& operations) {
  Json array = Json::array();
  for (const Operation& operation : operations) {
    array.push_back(std::visit(OperationEncoder{}, operation));
  }
  return array;
}

Json ToJson(const TxnRequest& txn) {
  Json compares = Json::array();
  for (const Compare& compare : txn.compares) {
    compares.push_back(ToJson(compare));
  }
  return {{"compare", std::move(compares)},
          {"success", ToJson(txn.success)},
          {"failure", ToJson(txn.failure)}};
}

Json ToJson(const LeaseGrantRequest& grant) {
  return {{"ID", Number(grant.id.value())}, {"TTL", Number(grant.ttl.count())}};
}

Json ToJson(const LeaseKeepAliveRequest& renewal) { return {{"ID", Number(renewal.id.value())}}; }

Json ToJson(const LeaseRevokeRequest& revocation) {
  return {{"ID", Number(revocation.id.value())}};
}

struct PathVisitor {
  const char* operator()(const RangeRequest&) const { return "/v3/kv/range"; }
  const char* operator()(const PutRequest&) const { return "/v3/kv/put"; }
  const char* operator()(const DeleteRangeRequest&) const { return "/v3/kv/deleterange"; }
  const char* operator()(const TxnRequest&) const { return "/v3/kv/txn"; }
  const char* operator()(const LeaseGrantRequest&) const { return "/v3/lease/grant"; }
  const char* operator()(const LeaseKeepAliveRequest&) const { return "/v3/lease/keepalive"; }
  const char* operator()(const LeaseRevokeRequest&) const { return "/v3/lease/revoke"; }
};

}  // namespace

EncodedRequest EncodeRequest(const Request& request) {
  Json json = std::visit([](const auto& typed) { return ToJson(typed); }, request);
  return {std::visit(PathVisitor{}, request), json.dump()};
}

EncodedRequest EncodeWatchRequest(const WatchRequest& request) {
  Json create{{"key", Base64(request.key)},
              {"start_revision", Number(request.start_revision)},
              {"progress_notify", request.progress_notify}};
  if (!request.range_end.empty()) {
    create["range_end"] = Base64(request.range_end);
  }
  return {"/v3/watch", Json{{"create_request", std::move(create)}}.dump()};
}

}  // namespace gaugevalve::store
