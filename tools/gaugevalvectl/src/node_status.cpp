#include "node_status.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "gaugevalve/base/finding.h"

namespace gaugevalve::ctl {
namespace {

constexpr std::string_view kLeaseHeld = "held";

// Reads the keys of one JSON object and collects what is missing or of another type.
class StatusReader {
 public:
  StatusReader(const nlohmann::json& object, std::string source, std::string path,
               base::Findings& findings)
      : object_(object), source_(std::move(source)), path_(std::move(path)), findings_(findings) {}

  std::string Text(const char* key) const {
    const auto found = object_.find(key);
    if (found == object_.end() || !found->is_string()) {
      Add(key, "must be there and be text");
      return "";
    }
    return found->get<std::string>();
  }

  std::string OptionalText(const char* key) const { return object_.contains(key) ? Text(key) : ""; }

  std::uint64_t Number(const char* key) const {
    const auto found = object_.find(key);
    if (found == object_.end() || !found->is_number_unsigned()) {
      Add(key, "must be there and be a whole number, not negative");
      return 0;
    }
    return found->get<std::uint64_t>();
  }

  std::uint64_t OptionalNumber(const char* key) const {
    return object_.contains(key) ? Number(key) : 0;
  }

  // Returns a reader of the object at the key; of an empty one, with a finding, where there is
  // none.
  StatusReader Object(const char* key) const {
    static const nlohmann::json empty = nlohmann::json::object();
    const auto found = object_.find(key);
    const bool is_object = found != object_.end() && found->is_object();
    if (!is_object) {
      Add(key, "must be there and be an object");
    }
    return StatusReader(is_object ? *found : empty, source_, path_ + key + ".", findings_);
  }

  void Add(const char* key, std::string message) const {
    findings_.push_back({{source_, 0, 0, path_ + key}, std::move(message)});
  }

 private:
  const nlohmann::json& object_;
  std::string source_;
  std::string path_;
  base::Findings& findings_;
};

MemberStatus ReadMember(const StatusReader& reader) {
  MemberStatus member;
  member.node = base::NodeId(reader.Number("node"));
  member.role = reader.Text("role");
  member.zone = reader.Text("zone");
  member.state = reader.Text("state");
  member.control_address = reader.Text("control_address");
  member.admin_address = base::SocketAddress::Parse(reader.OptionalText("admin_address"));
  return member;
}

std::vector<MemberStatus> ReadMembers(const nlohmann::json& object, const std::string& source,
                                      base::Findings& findings) {
  std::vector<MemberStatus> members;
  const auto list = object.find("members");
  if (list == object.end() || !list->is_array()) {
    findings.push_back({{source, 0, 0, "members"}, "must be there and be a list"});
    return members;
  }
  for (const nlohmann::json& item : *list) {
    if (item.is_object()) {
      members.push_back(ReadMember(StatusReader(item, source, "members.", findings)));
    } else {
      findings.push_back({{source, 0, 0, "members"}, "must hold objects"});
    }
  }
  return members;
}

}  // namespace

NodeStatus ParseNodeStatus(std::string_view text, const std::string& source) {
  const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
  if (!object.is_object()) {
    throw base::FindingsError({{{source, 0, 0, ""}, "the status is not a JSON object"}});
  }
  base::Findings findings;
  const StatusReader reader(object, source, "", findings);
  NodeStatus status;
  status.name = reader.Text("name");
  status.node = base::NodeId(reader.Number("node"));
  status.role = reader.Text("role");
  status.region = reader.Text("region");
  status.zone = reader.Text("zone");
  const StatusReader settings = reader.Object("settings");
  status.revision_in_force = base::Revision(settings.Number("revision_in_force"));
  status.newest_revision = base::Revision(settings.OptionalNumber("newest_revision_known"));
  status.refused_because = settings.OptionalText("refused_because");
  status.holds_lease = reader.Object("store").Text("lease") == kLeaseHeld;
  status.members = ReadMembers(object, source, findings);
  if (!findings.empty()) {
    throw base::FindingsError(std::move(findings));
  }
  return status;
}

}  // namespace gaugevalve::ctl
