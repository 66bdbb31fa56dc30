#include "store_admin.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "gaugevalve/base/finding.h"

namespace gaugevalve::standin {
namespace {

using Json = nlohmann::json;
using telemetry::AdminRequest;
using telemetry::AdminResponse;

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;

AdminResponse JsonAnswer(std::string body, int status = kHttpOk) {
  return {status, "application/json", std::move(body) + "\n"};
}

AdminResponse BadRequest(const std::string& words) {
  return JsonAnswer(Json{{"error", words}}.dump(), kHttpBadRequest);
}

// Returns the number in the string field; nothing when the field is absent. Throws FindingsError.
std::optional<std::int64_t> OptionalNumber(const std::string& body, const char* name) {
  const Json json = body.empty() ? Json::object() : Json::parse(body, nullptr, false);
  if (!json.is_object()) {
    throw base::FindingsError({{{"body", 0, 0, ""}, "is not a JSON object"}});
  }
  const auto field = json.find(name);
  if (field == json.end()) {
    return std::nullopt;
  }
  std::int64_t number = 0;
  const std::string text = field->is_string() ? field->get<std::string>() : field->dump();
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    throw base::FindingsError({{{"body", 0, 0, name}, "is not a number"}});
  }
  return number;
}

AdminResponse HandleFaults(const AdminRequest& request, StoreServer& server) {
  if (request.method != "GET") {
    server.SetFaults(ParseFaults(request.body, server.Faults()));
  }
  return JsonAnswer(FormatFaults(server.Faults()));
}

AdminResponse ListLeases(const StoreServer& server) {
  Json leases = Json::array();
  for (const store::LeaseId lease : server.Store().Leases()) {
    leases.push_back(std::to_string(lease.value()));
  }
  return JsonAnswer(Json{{"leases", std::move(leases)},
                         {"revision", std::to_string(server.Store().CurrentRevision().value())}}
                        .dump());
}

AdminResponse HandleExpire(const AdminRequest& request, StoreServer& server) {
  const auto id = OptionalNumber(request.body, "ID");
  if (id && !server.ExpireLease(store::LeaseId{*id})) {
    return JsonAnswer(Json{{"error", "no such lease"}}.dump(), kHttpNotFound);
  }
  if (!id) {
    for (const store::LeaseId lease : server.Store().Leases()) {
      server.ExpireLease(lease);
    }
  }
  return ListLeases(server);
}

AdminResponse HandleCompact(const AdminRequest& request, StoreServer& server) {
  const auto revision = OptionalNumber(request.body, "revision");
  const base::Revision chosen = revision ? base::Revision{static_cast<std::uint64_t>(*revision)}
                                         : server.Store().CurrentRevision();
  server.Compact(chosen);
  return JsonAnswer(Json{{"compacted", std::to_string(chosen.value())}}.dump());
}

telemetry::AdminServer::Handler WithErrors(telemetry::AdminServer::Handler handler) {
  return [handler = std::move(handler)](const AdminRequest& request) {
    try {
      return handler(request);
    } catch (const base::FindingsError& error) {
      return BadRequest(error.what());
    } catch (const StoreError& error) {
      return BadRequest(error.what());
    }
  };
}

}  // namespace

void AddStoreAdminHandlers(telemetry::AdminServer& admin, StoreServer& server) {
  admin.Handle("/admin/counters",
               [&server](const AdminRequest&) { return JsonAnswer(server.Counters().ToJson()); });
  admin.Handle("/admin/faults", WithErrors([&server](const AdminRequest& request) {
                 return HandleFaults(request, server);
               }));
  admin.Handle("/admin/leases", [&server](const AdminRequest&) { return ListLeases(server); });
  admin.Handle("/admin/leases/expire", WithErrors([&server](const AdminRequest& request) {
                 return HandleExpire(request, server);
               }));
  admin.Handle("/admin/compact", WithErrors([&server](const AdminRequest& request) {
                 return HandleCompact(request, server);
               }));
}

}  // namespace gaugevalve::standin
