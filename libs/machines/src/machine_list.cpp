#include "gaugevalve/machines/machine_list.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>

namespace gaugevalve::machines {
namespace {

using Json = nlohmann::json;

constexpr const char* kSource = "machine list";

// Parses the fields of one machine and collects the errors in them.
class MachineReader {
 public:
  MachineReader(const Json& json, std::string path, base::Findings& findings)
      : json_(json), path_(std::move(path)), findings_(findings) {}

  // Returns the machine, or nothing if a finding was added.
  std::optional<Machine> Read() {
    if (!json_.is_object()) {
      Report("", "is not an object");
      return std::nullopt;
    }
    Machine machine;
    machine.name = RequiredText("name");
    machine.region = RequiredText("region");
    machine.zone = RequiredText("zone");
    machine.role = Choice("role", "balancer", MachineRole::kBalancer, "agent", MachineRole::kAgent);
    machine.state = Choice("state", "live", MachineState::kLive, "leaving", MachineState::kLeaving);
    machine.control_address = Address("control_address");
    return faulty_ ? std::nullopt : std::make_optional(std::move(machine));
  }

 private:
  std::string RequiredText(const char* name) {
    const auto field = json_.find(name);
    if (field == json_.end() || !field->is_string() ||
        field->get_ref<const std::string&>().empty()) {
      Report(name, "must be a non-empty string");
      return "";
    }
    return field->get<std::string>();
  }

  template <class Value>
  Value Choice(const char* name, const char* first, Value first_value, const char* second,
               Value second_value) {
    const auto field = json_.find(name);
    if (field != json_.end() && *field == second) {
      return second_value;
    }
    if (field == json_.end() || *field != first) {
      Report(name, std::string("must be ") + first + " or " + second);
    }
    return first_value;
  }

  base::SocketAddress Address(const char* name) {
    const auto field = json_.find(name);
    const auto address = field != json_.end() && field->is_string()
                             ? base::SocketAddress::Parse(field->get<std::string>())
                             : std::nullopt;
    if (!address) {
      Report(name, "must be an IP address with a port");
    }
    return address.value_or(base::SocketAddress{});
  }

  void Report(const std::string& name, const std::string& message) {
    faulty_ = true;
    findings_.push_back({{kSource, 0, 0, name.empty() ? path_ : path_ + "." + name}, message});
  }

  const Json& json_;  // NOLINT(cppcoreguidelines-avoid-const-or-ref-data-members)
  std::string path_;
  base::Findings& findings_;  // NOLINT(cppcoreguidelines-avoid-const-or-ref-data-members)
  bool faulty_ = false;
};

[[noreturn]] void ThrowFault(const std::string& path, const std::string& message) {
  throw base::FindingsError({{{kSource, 0, 0, path}, message}});
}

Json ParseDocument(std::string_view text) {
  Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    ThrowFault("", "is not a JSON object");
  }
  const auto version = json.find("version");
  if (version == json.end() || !version->is_number_unsigned()) {
    ThrowFault("version", "must be a non-negative integer");
  }
  const auto machines = json.find("machines");
  if (machines == json.end() || !machines->is_array()) {
    ThrowFault("machines", "must be an array");
  }
  if (machines->size() > kMachineLimit) {
    ThrowFault("machines", "has more than " + std::to_string(kMachineLimit) + " entries");
  }
  return json;
}

}  // namespace

ParsedMachineList ParseMachineList(std::string_view text) {
  const Json json = ParseDocument(text);
  ParsedMachineList parsed;
  parsed.list.version = json["version"].get<std::uint64_t>();
  std::set<std::string> names;
  const Json& machines = json["machines"];
  for (std::size_t index = 0; index < machines.size(); ++index) {
    const std::string path = "machines[" + std::to_string(index) + "]";
    std::optional<Machine> machine = MachineReader(machines[index], path, parsed.findings).Read();
    if (!machine) {
      continue;
    }
    if (!names.insert(machine->name).second) {
      parsed.findings.push_back({{kSource, 0, 0, path + ".name"}, "is listed more than once"});
      continue;
    }
    parsed.list.machines.push_back(*std::move(machine));
  }
  return parsed;
}

std::string FormatMachineList(const MachineList& list) {
  Json machines = Json::array();
  for (const Machine& machine : list.machines) {
    machines.push_back({{"name", machine.name},
                        {"role", machine.role == MachineRole::kAgent ? "agent" : "balancer"},
                        {"region", machine.region},
                        {"zone", machine.zone},
                        {"control_address", machine.control_address.ToString()},
                        {"state", machine.state == MachineState::kLeaving ? "leaving" : "live"}});
  }
  return Json{{"version", list.version}, {"machines", std::move(machines)}}.dump();
}

}  // namespace gaugevalve::machines
