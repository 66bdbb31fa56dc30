// Why an agent doesn't take a datagram.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gaugevalve::flow {

// One reason each; the agent counts them by reason.
enum class DropReason : std::uint8_t {
  // Not this agent's: its address once was another's, or the sender is wrong.
  kForeignService,  // of another service
  kForeignTarget,   // meant for another agent
  kWrongBucket,     // of a bucket that its flow key doesn't belong to

  // Can't be routed now.
  kNoTable,   // the agent has no bucket table yet
  kNoOwner,   // nobody owns the bucket
  kHopLimit,  // passed on by too many agents

  // Would open a flow, which isn't safe now.
  kStaleTable,  // the agent hasn't heard from its planner for too long
  kNotListed,   // the agent's table doesn't know this life of the agent
  kChainCut,    // more previous owners than a datagram can name

  // Would open a flow, which is refused.
  kFlowTableFull,  // the endpoint's limit of flows is reached
  kSourceLimit,    // too many new flows from this source
  kDraining,       // the agent is leaving and others can take the flow
};

inline constexpr std::size_t kDropReasonCount = 12;

// Returns the reason's name as metrics and logs show it, in snake_case.
std::string_view ToString(DropReason reason);

}  // namespace gaugevalve::flow
