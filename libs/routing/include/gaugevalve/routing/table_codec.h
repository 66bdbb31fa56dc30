// Encoding of tables, deltas and reports for messages between nodes.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

#include "gaugevalve/routing/agent_report.h"
#include "gaugevalve/routing/bucket_table.h"

namespace gaugevalve::routing {

// Maximum number of agents that a message may name. The largest services have tens.
inline constexpr std::size_t kMaxAgentsInMessage = 4096;

// Maximum length of a zone's name in a message, in bytes.
inline constexpr std::size_t kMaxZoneLength = 64;

// Thrown for bytes that aren't a valid message. The text names the invalid field.
class DecodeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::string EncodeTable(const BucketTable& table);
std::string EncodeDelta(const TableDelta& delta);
std::string EncodeReport(const AgentReport& report);

// Decode bytes received from another node and validate them: sizes are bounded, agents are distinct
// and sorted, chains hold at most kMaxPreviousOwners distinct agents without the owner, and indices
// are in range. Throw DecodeError.
BucketTable DecodeTable(std::string_view bytes);
TableDelta DecodeDelta(std::string_view bytes);
AgentReport DecodeReport(std::string_view bytes);

}  // namespace gaugevalve::routing
