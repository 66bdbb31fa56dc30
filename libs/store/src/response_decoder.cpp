#include <nlohmann/json.hpp>
#include <utility>

#include "gaugevalve/store/codec.h"
#include "json_reader.h"

namespace gaugevalve::store {
namespace {

using Json = nlohmann::json;

Json ParseJson(std::string_view text) {
  Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    throw base::FindingsError({{{"store", 0, 0, ""}, "the answer is not JSON"}});
  }
  return json;
}

void ThrowIfAny(base::Findings findings) {
  if (!findings.empty()) {
    throw base::FindingsError(std::move(findings));
  }
}

base::Revision ReadHeader(const JsonReader& reader) {
  return reader.Object("header").Revision("revision");
}

KeyValue ReadKeyValue(const JsonReader& reader) {
  KeyValue key_value;
  key_value.key = reader.Bytes("key");
  key_value.value = reader.Bytes("value");
  key_value.create_revision = reader.Revision("create_revision");
  key_value.mod_revision = reader.Revision("mod_revision");
  key_value.version = reader.Integer("version");
  key_value.lease = LeaseId{reader.Integer("lease")};
  return key_value;
}

RangeResponse ReadRange(const JsonReader& reader) {
  RangeResponse response;
  response.revision = ReadHeader(reader);
  reader.ForEach("kvs", [&response](const JsonReader& element) {
    response.key_values.push_back(ReadKeyValue(element));
  });
  response.more = reader.Flag("more");
  response.count = reader.Integer("count");
  return response;
}

PutResponse ReadPut(const JsonReader& reader) { return {ReadHeader(reader)}; }

DeleteRangeResponse ReadDeleteRange(const JsonReader& reader) {
  return {ReadHeader(reader), reader.Integer("deleted")};
}

void ReadOperation(const JsonReader& reader, std::vector<OperationResponse>& responses) {
  if (reader.Has("response_range")) {
    responses.emplace_back(ReadRange(reader.Object("response_range")));
  } else if (reader.Has("response_put")) {
    responses.emplace_back(ReadPut(reader.Object("response_put")));
  } else if (reader.Has("response_delete_range")) {
    responses.emplace_back(ReadDeleteRange(reader.Object("response_delete_range")));
  } else {
    reader.Report("response", "is none of response_range, response_put, response_delete_range");
  }
}

TxnResponse ReadTxn(const JsonReader& reader) {
  TxnResponse response;
  response.revision = ReadHeader(reader);
  response.succeeded = reader.Flag("succeeded");
  reader.ForEach("responses", [&response](const JsonReader& element) {
    ReadOperation(element, response.responses);
  });
  return response;
}

LeaseGrantResponse ReadGrant(const JsonReader& reader) {
  return {ReadHeader(reader), LeaseId{reader.Integer("ID")}, reader.Integer("TTL")};
}

LeaseKeepAliveResponse ReadKeepAlive(const JsonReader& reader) {
  const JsonReader result = reader.Object("result");  // the gateway wraps streamed answers
  return {ReadHeader(result), LeaseId{result.Integer("ID")}, result.Integer("TTL")};
}

struct ResponseReader {
  const JsonReader& reader;  // NOLINT(cppcoreguidelines-avoid-const-or-ref-data-members)

  Response operator()(const RangeRequest&) const { return ReadRange(reader); }
  Response operator()(const PutRequest&) const { return ReadPut(reader); }
  Response operator()(const DeleteRangeRequest&) const { return ReadDeleteRange(reader); }
  Response operator()(const TxnRequest&) const { return ReadTxn(reader); }
  Response operator()(const LeaseGrantRequest&) const { return ReadGrant(reader); }
  Response operator()(const LeaseKeepAliveRequest&) const { return ReadKeepAlive(reader); }
  Response operator()(const LeaseRevokeRequest&) const {
    return LeaseRevokeResponse{ReadHeader(reader)};
  }
};

WatchEvent ReadEvent(const JsonReader& reader) {
  WatchEvent event;
  const std::string type = reader.Text("type");  // absent means PUT
  if (type == "DELETE") {
    event.kind = WatchEventKind::kDelete;
  } else if (!type.empty() && type != "PUT") {
    reader.Report("type", "is neither PUT nor DELETE");
  }
  event.key_value = ReadKeyValue(reader.Object("kv"));
  return event;
}

}  // namespace

Response DecodeResponse(const Request& request, std::string_view body) {
  const Json json = ParseJson(body);
  base::Findings findings;
  const JsonReader reader(json, "", findings);
  Response response = std::visit(ResponseReader{reader}, request);
  ThrowIfAny(std::move(findings));
  return response;
}

WatchFrame DecodeWatchFrame(std::string_view message) {
  const Json json = ParseJson(message);
  base::Findings findings;
  const JsonReader reader(json, "", findings);
  if (reader.Has("error")) {
    throw base::FindingsError({{{"store", 0, 0, "error"}, DecodeErrorAnswer(message).message}});
  }
  const JsonReader result = reader.Object("result");
  WatchFrame frame;
  frame.revision = ReadHeader(result);
  frame.created = result.Flag("created");
  frame.canceled = result.Flag("canceled");
  frame.compact_revision = result.Revision("compact_revision");
  frame.cancel_reason = result.Text("cancel_reason");
  result.ForEach("events", [&frame](const JsonReader& element) {
    frame.events.push_back(ReadEvent(element));
  });
  ThrowIfAny(std::move(findings));
  return frame;
}

ErrorAnswer DecodeErrorAnswer(std::string_view body) {
  constexpr std::size_t kShownBytes = 200;
  ErrorAnswer answer;
  answer.message = std::string(body.substr(0, kShownBytes));
  const Json json = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return answer;
  }
  base::Findings ignored;
  JsonReader reader(json, "", ignored);
  if (json.contains("error") && json["error"].is_object()) {
    reader = reader.Object("error");  // streamed errors are wrapped
  }
  answer.code = static_cast<int>(reader.Integer("code"));
  const std::string message = reader.Text("message");
  const std::string error = reader.Text("error");
  if (!message.empty() || !error.empty()) {
    answer.message = message.empty() ? error : message;
  }
  return answer;
}

}  // namespace gaugevalve::store
