// Bytes of tables, deltas and reports, for the way between nodes.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

#include "gaugevalve/routing/agent_report.h"
#include "gaugevalve/routing/bucket_table.h"

namespace gaugevalve::routing {

// Most agents a message may name; the largest services have tens.
inline constexpr std::size_t kMaxAgentsInMessage = 4096;

// Longest name of a zone in a message, in bytes.
inline constexpr std::size_t kMaxZoneLength = 64;

// Thrown for bytes that aren't a valid message; says which field is at fault.
class DecodeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Return the message's bytes.
std::string EncodeTable(const BucketTable& table);
std::string EncodeDelta(const TableDelta& delta);
std::string EncodeReport(const AgentReport& report);

// Return the value of bytes received from another node. Everything is checked: sizes are bounded,
// agents are distinct and sorted, chains hold at most kMaxPreviousOwners distinct agents without
// the owner, and indices are in range. Throw DecodeError.
BucketTable DecodeTable(std::string_view bytes);
TableDelta DecodeDelta(std::string_view bytes);
AgentReport DecodeReport(std::string_view bytes);

}  // namespace gaugevalve::routing
