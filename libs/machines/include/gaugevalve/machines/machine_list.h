// The platform's list of live and leaving machines.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::machines {

// What the platform says about a machine. It lags: a live one may be dead, a missing one be there.
enum class MachineState : std::uint8_t {
  kLive,
  kLeaving,  // the platform will take it away; it should get no new work
};

// What runs on a machine.
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

// The list as of one version. Versions grow with each change.
struct MachineList {
  std::uint64_t version = 0;
  std::vector<Machine> machines;  // as listed; names are unique

  friend bool operator==(const MachineList&, const MachineList&) = default;
};

// What could be read of a list, and what could not.
struct ParsedMachineList {
  MachineList list;
  base::Findings findings;
};

// Reads the list's JSON:
//   {"version": 7, "machines": [{"name": "b1", "role": "balancer", "region": "r", "zone": "z",
//                                "control_address": "10.0.0.1:7000", "state": "live"}]}
// A machine with a fault is left out with a finding, and the others are kept: the list is a hint,
// and most of one is better than none. Throws base::FindingsError when it is no such list at all.
// At most kMachineLimit machines are read.
ParsedMachineList ParseMachineList(std::string_view text);

inline constexpr std::size_t kMachineLimit = 65'536;

// Returns the JSON that ParseMachineList() reads.
std::string FormatMachineList(const MachineList& list);

}  // namespace gaugevalve::machines
