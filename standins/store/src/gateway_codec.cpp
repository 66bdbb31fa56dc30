#include "gateway_codec.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"

namespace gaugevalve::standins {
namespace {

using Json = nlohmann::json;
using store::StatusCode;

[[noreturn]] void ThrowInvalid(const std::string& message) {
  throw StoreError(StatusCode::kInvalidArgument, message);
}

const Json& Field(const Json& json, const char* name) {
  static const Json absent;
  const auto found = json.find(name);
  return found == json.end() ? absent : *found;
}

std::int64_t Integer(const Json& json, const char* name) {
  const Json& field = Field(json, name);
  if (field.is_null()) {
    return 0;
  }
  if (field.is_number_integer()) {
    return field.get<std::int64_t>();
  }
  std::int64_t number = 0;
  if (field.is_string()) {
    const auto& text = field.get_ref<const std::string&>();
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec == std::errc() && parsed.ptr == end) {
      return number;
    }
  }
  ThrowInvalid(std::string(name) + " is not a 64-bit number");
}

std::string Bytes(const Json& json, const char* name) {
  const Json& field = Field(json, name);
  std::string bytes;
  if (field.is_null()) {
    return bytes;
  }
  if (!field.is_string() || !absl::Base64Unescape(field.get<std::string>(), &bytes)) {
    ThrowInvalid(std::string(name) + " is not base64");
  }
  return bytes;
}

bool Flag(const Json& json, const char* name) {
  const Json& field = Field(json, name);
  return field.is_boolean() && field.get<bool>();
}

std::string Text(const Json& json, const char* name) {
  const Json& field = Field(json, name);
  return field.is_string() ? field.get<std::string>() : "";
}

base::Revision ReadRevision(const Json& json, const char* name) {
  return base::Revision{static_cast<std::uint64_t>(Integer(json, name))};
}

store::RangeRequest ReadRange(const Json& json) {
  return {.key = Bytes(json, "key"),
          .range_end = Bytes(json, "range_end"),
          .limit = Integer(json, "limit"),
          .revision = ReadRevision(json, "revision"),
          .serializable = Flag(json, "serializable"),
          .count_only = Flag(json, "count_only"),
          .keys_only = Flag(json, "keys_only"),
          .min_mod_revision = ReadRevision(json, "min_mod_revision")};
}

store::PutRequest ReadPut(const Json& json) {
  return {Bytes(json, "key"), Bytes(json, "value"), store::LeaseId{Integer(json, "lease")}};
}

store::DeleteRangeRequest ReadDeleteRange(const Json& json) {
  return {Bytes(json, "key"), Bytes(json, "range_end")};
}

store::CompareRelation ReadRelation(const Json& json) {
  const std::string name = Text(json, "result");
  if (name == "GREATER") {
    return store::CompareRelation::kGreater;
  }
  if (name == "LESS") {
    return store::CompareRelation::kLess;
  }
  if (name == "NOT_EQUAL") {
    return store::CompareRelation::kNotEqual;
  }
  if (name.empty() || name == "EQUAL") {
    return store::CompareRelation::kEqual;
  }
  ThrowInvalid("unknown relation " + name);
}

store::Compare ReadCompare(const Json& json) {
  store::Compare compare;
  compare.key = Bytes(json, "key");
  compare.relation = ReadRelation(json);
  const std::string target = Text(json, "target");
  if (target.empty() || target == "VERSION") {
    compare.target = store::CompareTarget::kVersion;
    compare.number = Integer(json, "version");
  } else if (target == "CREATE") {
    compare.target = store::CompareTarget::kCreateRevision;
    compare.number = Integer(json, "create_revision");
  } else if (target == "MOD") {
    compare.target = store::CompareTarget::kModRevision;
    compare.number = Integer(json, "mod_revision");
  } else if (target == "VALUE") {
    compare.target = store::CompareTarget::kValue;
    compare.value = Bytes(json, "value");
  } else if (target == "LEASE") {
    compare.target = store::CompareTarget::kLease;
    compare.number = Integer(json, "lease");
  } else {
    ThrowInvalid("unknown comparison target " + target);
  }
  return compare;
}

store::Operation ReadOperation(const Json& json) {
  if (json.contains("request_range")) {
    return ReadRange(json["request_range"]);
  }
  if (json.contains("request_put")) {
    return ReadPut(json["request_put"]);
  }
  if (json.contains("request_delete_range")) {
    return ReadDeleteRange(json["request_delete_range"]);
  }
  ThrowInvalid("unknown operation in a transaction");
}

store::TxnRequest ReadTxn(const Json& json) {
  store::TxnRequest txn;
  for (const Json& compare : Field(json, "compare")) {
    txn.compares.push_back(ReadCompare(compare));
  }
  for (const Json& operation : Field(json, "success")) {
    txn.success.push_back(ReadOperation(operation));
  }
  for (const Json& operation : Field(json, "failure")) {
    txn.failure.push_back(ReadOperation(operation));
  }
  return txn;
}

Json ParseObject(std::string_view body) {
  Json json = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    ThrowInvalid("the body is not a JSON object");
  }
  return json;
}

std::string Number(std::int64_t number) { return std::to_string(number); }

std::string Number(base::Revision revision) { return std::to_string(revision.value()); }

Json Header(base::Revision revision) { return {{"revision", Number(revision)}}; }

Json ToJson(const store::KeyValue& key_value) {
  Json json{{"key", absl::Base64Escape(key_value.key)},
            {"mod_revision", Number(key_value.mod_revision)}};
  if (key_value.version > 0) {  // a deletion has none of these
    json["value"] = absl::Base64Escape(key_value.value);
    json["create_revision"] = Number(key_value.create_revision);
    json["version"] = Number(key_value.version);
  }
  if (key_value.lease != store::LeaseId{}) {
    json["lease"] = Number(key_value.lease.value());
  }
  return json;
}

Json ToJson(const store::RangeResponse& response) {
  Json json{{"header", Header(response.revision)}, {"count", Number(response.count)}};
  for (const store::KeyValue& key_value : response.key_values) {
    json["kvs"].push_back(ToJson(key_value));
  }
  if (response.more) {
    json["more"] = true;
  }
  return json;
}

Json ToJson(const store::PutResponse& response) { return {{"header", Header(response.revision)}}; }

Json ToJson(const store::DeleteRangeResponse& response) {
  return {{"header", Header(response.revision)}, {"deleted", Number(response.deleted)}};
}

struct OperationResponseEncoder {
  Json operator()(const store::RangeResponse& response) const {
    return {{"response_range", ToJson(response)}};
  }
  Json operator()(const store::PutResponse& response) const {
    return {{"response_put", ToJson(response)}};
  }
  Json operator()(const store::DeleteRangeResponse& response) const {
    return {{"response_delete_range", ToJson(response)}};
  }
};

Json ToJson(const store::TxnResponse& response) {
  Json json{{"header", Header(response.revision)}};
  if (response.succeeded) {
    json["succeeded"] = true;
  }
  for (const store::OperationResponse& operation : response.responses) {
    json["responses"].push_back(std::visit(OperationResponseEncoder{}, operation));
  }
  return json;
}

Json ToJson(const store::LeaseGrantResponse& response) {
  return {{"header", Header(response.revision)},
          {"ID", Number(response.id.value())},
          {"TTL", Number(response.ttl_seconds)}};
}

Json ToJson(const store::LeaseKeepAliveResponse& response) {
  Json result{{"header", Header(response.revision)}, {"ID", Number(response.id.value())}};
  if (response.ttl_seconds > 0) {
    result["TTL"] = Number(response.ttl_seconds);
  }
  return {{"result", std::move(result)}};
}

Json ToJson(const store::LeaseRevokeResponse& response) {
  return {{"header", Header(response.revision)}};
}

Json ToJson(const store::WatchEvent& event) {
  Json json{{"kv", ToJson(event.key_value)}};
  if (event.kind == store::WatchEventKind::kDelete) {
    json["type"] = "DELETE";
  }
  return json;
}

std::optional<store::Request> ReadRequest(std::string_view path, const Json& json) {
  if (path == "/v3/kv/range") {
    return ReadRange(json);
  }
  if (path == "/v3/kv/put") {
    return ReadPut(json);
  }
  if (path == "/v3/kv/deleterange") {
    return ReadDeleteRange(json);
  }
  if (path == "/v3/kv/txn") {
    return ReadTxn(json);
  }
  if (path == "/v3/lease/grant") {
    return store::LeaseGrantRequest{store::LeaseId{Integer(json, "ID")},
                                    std::chrono::seconds(Integer(json, "TTL"))};
  }
  if (path == "/v3/lease/keepalive") {
    return store::LeaseKeepAliveRequest{store::LeaseId{Integer(json, "ID")}};
  }
  if (path == "/v3/lease/revoke") {
    return store::LeaseRevokeRequest{store::LeaseId{Integer(json, "ID")}};
  }
  return std::nullopt;
}

}  // namespace

std::optional<store::Request> DecodeRequest(std::string_view path, std::string_view body) {
  try {
    return ReadRequest(path, ParseObject(body));
  } catch (const Json::exception& error) {
    ThrowInvalid(error.what());
  }
}

store::WatchRequest DecodeWatchRequest(std::string_view body) {
  const Json json = ParseObject(body);
  const Json& create = Field(json, "create_request");
  if (!create.is_object()) {
    ThrowInvalid("create_request is missing");
  }
  return {Bytes(create, "key"), Bytes(create, "range_end"), ReadRevision(create, "start_revision"),
          Flag(create, "progress_notify")};
}

std::string EncodeResponse(const store::Response& response) {
  return std::visit([](const auto& typed) { return ToJson(typed).dump(); }, response);
}

std::string EncodeWatchFrame(const store::WatchFrame& frame) {
  Json result{{"header", Header(frame.revision)}, {"watch_id", "0"}};
  if (frame.created) {
    result["created"] = true;
  }
  if (frame.canceled) {
    result["canceled"] = true;
    result["cancel_reason"] = frame.cancel_reason;
    result["compact_revision"] = Number(frame.compact_revision);
  }
  for (const store::WatchEvent& event : frame.events) {
    result["events"].push_back(ToJson(event));
  }
  return Json{{"result", std::move(result)}}.dump() + "\n";
}

std::string EncodeError(StatusCode code, const std::string& message) {
  return Json{{"error", message}, {"code", static_cast<int>(code)}, {"message", message}}.dump();
}

int HttpStatus(StatusCode code) {
  switch (code) {
    case StatusCode::kInvalidArgument:
    case StatusCode::kFailedPrecondition:
    case StatusCode::kOutOfRange:
      return 400;
    case StatusCode::kNotFound:
      return 404;
    case StatusCode::kResourceExhausted:
      return 429;
    case StatusCode::kUnavailable:
      return 503;
    case StatusCode::kUnknown:
      return 500;
  }
  return 500;
}

}  // namespace gaugevalve::standins
