// Why an agent drops a datagram.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gaugevalve::flow {

// Exactly one reason applies to a dropped datagram; the agent counts drops by reason.
enum class DropReason : std::uint8_t {
  // Not for this agent: its address was used by another agent before, or the sender is wrong.
  kForeignService,  // belongs to another service
  kForeignTarget,   // addressed to another agent
  kWrongBucket,     // bucket does not match the flow key

  // Cannot be routed now.
  kNoTable,   // the agent has no bucket table yet
  kNoOwner,   // the bucket has no owner
  kHopLimit,  // passed on by too many agents

  // Would open a flow, which is not safe now.
  kStaleTable,  // the agent has not heard from its planner for too long
  kNotListed,   // the agent's table does not list this incarnation of it
  kChainCut,    // the bucket has more previous owners than a datagram can name

  // Would open a flow, which is refused.
  kFlowTableFull,  // the endpoint's limit of flows is reached
  kSourceLimit,    // too many new flows from this source
  kDraining,       // the agent is draining and other agents can open the flow
};

inline constexpr std::size_t kDropReasonCount = 12;

// Returns the name of the reason in metrics and logs, in snake_case.
std::string_view ToString(DropReason reason);

}  // namespace gaugevalve::flow
