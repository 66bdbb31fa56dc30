#include "node_commands.h"

#include <event2/http.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <set>

#include "admin_fetcher.h"
#include "gaugevalve/base/finding.h"

namespace gaugevalve::ctl {
namespace {

constexpr int kHttpOk = 200;
constexpr const char* kStatusPath = "/status";

struct FreeDeleter {
  void operator()(char* text) const { std::free(text); }
};

std::string EncodeParameter(const std::string& value) {
  const std::unique_ptr<char, FreeDeleter> encoded(evhttp_encode_uri(value.c_str()));
  return encoded == nullptr ? "" : encoded.get();
}

void RequireNodes(const CommandContext& context) {
  if (context.options.nodes.empty()) {
    throw base::FindingsError(
        {{{"--node", 0, 0, ""}, "give the admin address of at least one node"}});
  }
}

// The round of asking that is under way.
class Survey {
 public:
  explicit Survey(const CommandContext& context) : fetcher_(context.options.timeout) {}

  // Asks the addresses that were not asked yet.
  void Ask(const std::map<base::SocketAddress, std::string>& names_by_address) {
    std::vector<base::SocketAddress> addresses;
    for (const auto& [address, name] : names_by_address) {
      if (asked_.insert(address).second) {
        addresses.push_back(address);
      }
    }
    for (const AdminAnswer& answer : fetcher_.Fetch(addresses, kStatusPath)) {
      Take(answer, names_by_address.at(answer.address));
    }
  }

  // Returns the admin addresses of the members that tell theirs.
  std::map<base::SocketAddress, std::string> Members() const {
    std::map<base::SocketAddress, std::string> members;
    for (const NodeStatus& node : status_.nodes) {
      for (const MemberStatus& member : node.members) {
        if (member.admin_address) {
          members.emplace(*member.admin_address, member.control_address);
        }
      }
    }
    return members;
  }

  DeploymentStatus Finish() { return std::move(status_); }

 private:
  void Take(const AdminAnswer& answer, const std::string& name) {
    if (answer.status != kHttpOk) {
      const std::string reason =
          answer.status == 0 ? answer.error : "answers " + std::to_string(answer.status);
      status_.silent.push_back({name, reason});
      return;
    }
    try {
      status_.nodes.push_back(ParseNodeStatus(answer.body, name));
    } catch (const base::FindingsError& error) {
      status_.silent.push_back({name, error.findings().front().ToString()});
    }
  }

  AdminFetcher fetcher_;
  std::set<base::SocketAddress> asked_;
  DeploymentStatus status_;
};

std::string Pad(const std::string& text, std::size_t width) {
  return text + std::string(text.size() < width ? width - text.size() : 1, ' ');
}

std::string StatusText(const DeploymentStatus& status) {
  constexpr std::size_t kNameWidth = 24;
  constexpr std::size_t kColumnWidth = 12;
  const base::Revision newest = status.NewestRevision();
  std::string text = "newest revision " + std::to_string(newest.value()) + "\n";
  text += Pad("NODE", kNameWidth) + Pad("ROLE", kColumnWidth) + Pad("ZONE", kColumnWidth) +
          Pad("LEASE", kColumnWidth) + "REVISION IN FORCE\n";
  for (const NodeStatus& node : status.nodes) {
    text += Pad(node.name, kNameWidth) + Pad(node.role, kColumnWidth) +
            Pad(node.zone, kColumnWidth) + Pad(node.holds_lease ? "held" : "-", kColumnWidth) +
            std::to_string(node.revision_in_force.value()) + "\n";
    text += node.refused_because.empty() ? "" : "  refused: " + node.refused_because;
  }
  for (const SilentNode& node : status.silent) {
    text += Pad(node.name, kNameWidth) + node.reason + "\n";
  }
  for (const std::string& name : status.Lagging()) {
    text += "behind: " + name + "\n";
  }
  for (const std::string& address : status.UnaskedBalancers()) {
    text += "not asked: the balancer with control address " + address + "\n";
  }
  return text;
}

nlohmann::ordered_json StatusJson(const DeploymentStatus& status) {
  nlohmann::ordered_json json;
  json["newest_revision"] = status.NewestRevision().value();
  json["lease_holders"] = status.LeaseHolders();
  json["behind"] = status.Lagging();
  json["not_asked"] = status.UnaskedBalancers();
  json["nodes"] = nlohmann::ordered_json::array();
  for (const NodeStatus& node : status.nodes) {
    json["nodes"].push_back({{"name", node.name},
                             {"role", node.role},
                             {"region", node.region},
                             {"zone", node.zone},
                             {"revision_in_force", node.revision_in_force.value()},
                             {"refused_because", node.refused_because}});
  }
  json["silent"] = nlohmann::ordered_json::array();
  for (const SilentNode& node : status.silent) {
    json["silent"].push_back({{"node", node.name}, {"reason", node.reason}});
  }
  return json;
}

}  // namespace

DeploymentStatus AskDeployment(const CommandContext& context) {
  RequireNodes(context);
  std::map<base::SocketAddress, std::string> first;
  for (const base::SocketAddress& address : context.options.nodes) {
    first.emplace(address, address.ToString());
  }
  Survey survey(context);
  survey.Ask(first);
  survey.Ask(survey.Members());
  return survey.Finish();
}

ExitCode Status(const CommandContext& context, const std::vector<std::string>& /*arguments*/) {
  const DeploymentStatus status = AskDeployment(context);
  context.Print(StatusText(status), StatusJson(status));
  if (status.nodes.empty()) {
    return ExitCode::kNodeUnreachable;
  }
  const bool is_complete =
      status.silent.empty() && status.Lagging().empty() && status.UnaskedBalancers().empty();
  return is_complete ? ExitCode::kOk : ExitCode::kNodesBehind;
}

ExitCode Explain(const CommandContext& context, const std::vector<std::string>& arguments) {
  RequireNodes(context);
  const std::string path = "/explain?service=" + EncodeParameter(arguments.at(0)) +
                           "&source=" + EncodeParameter(arguments.at(1));
  const AdminFetcher fetcher(context.options.timeout);
  bool was_explained = false;
  bool was_refused = false;
  for (const AdminAnswer& answer : fetcher.Fetch(context.options.nodes, path)) {
    const std::string node = answer.address.ToString();
    if (answer.status == kHttpOk) {
      was_explained = true;
      const nlohmann::ordered_json json =
          nlohmann::ordered_json::parse(answer.body, nullptr, false);
      context.Print(node + ": " + answer.body, {{"asked", node}, {"answer", json}});
      continue;
    }
    was_refused = was_refused || answer.status != 0;
    const std::string text = answer.status == 0 ? answer.error + "\n" : answer.body;
    context.err << node << ": " << text;
  }
  if (was_explained) {
    return ExitCode::kOk;
  }
  return was_refused ? ExitCode::kFindings : ExitCode::kNodeUnreachable;
}

}  // namespace gaugevalve::ctl
