// The platform's list of machines, live and leaving.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::machines {

// The state of a machine as reported by the platform. The report may be out of date: a live machine
// may be dead, and a running machine may be missing.
enum class MachineState : std::uint8_t {
  kLive,
  kLeaving,  // the platform will remove it; it should get no new work
};

// The node that runs on a machine.
enum class MachineRole : std::uint8_t { kBalancer, kAgent };

// One machine.
struct Machine {
  std::string name;  // the node's configured name
  MachineRole role = MachineRole::kBalancer;
  std::string region;
  std::string zone;
  base::SocketAddress control_address;
  MachineState state = MachineState::kLive;

  friend bool operator==(const Machine&, const Machine&) = default;
};

// One version of the list. The version number increases with each change.
struct MachineList {
  std::uint64_t version = 0;
  std::vector<Machine> machines;  // in the order listed; names are unique

  friend bool operator==(const MachineList&, const MachineList&) = default;
};

// The machines that were parsed, and the errors found.
struct ParsedMachineList {
  MachineList list;
  base::Findings findings;
};

// Parses the list's JSON:
//   {"version": 7, "machines": [{"name": "b1", "role": "balancer", "region": "r", "zone": "z",
//                                "control_address": "10.0.0.1:7000", "state": "live"}]}
// A machine with an error is skipped and reported as a finding, and the others are kept: the list
// is only a hint, so a partial list is better than none. Throws base::FindingsError if the text is
// not a machine list at all. At most kMachineLimit machines are accepted.
ParsedMachineList ParseMachineList(std::string_view text);

inline constexpr std::size_t kMachineLimit = 65'536;

// Returns the list in the JSON format of ParseMachineList().
std::string FormatMachineList(const MachineList& list);

}  // namespace gaugevalve::machines
