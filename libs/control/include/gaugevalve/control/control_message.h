// Messages between control tasks: reports of agents and answers of planners.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "gaugevalve/routing/agent_report.h"
#include "gaugevalve/routing/flow_count_encoder.h"

namespace gaugevalve::control {

// A report of an agent, with the sequence number that its answer repeats.
struct NumberedReport {
  std::uint64_t sequence = 0;
  routing::AgentReport report;
};

// A planner's answer to a report: the table version that the agent needs, and how the flow counts
// were handled.
struct ReportAnswer {
  std::uint64_t sequence = 0;
  routing::TableVersion table_version;
  routing::FlowCountsOutcome flows = routing::FlowCountsOutcome::kAccepted;
};

// std::monostate: the message could not be decoded.
using ControlMessage = std::variant<std::monostate, NumberedReport, ReportAnswer>;

std::string EncodeReport(const NumberedReport& report);
std::string EncodeAnswer(const ReportAnswer& answer);

// Returns the message in a payload of MessageKind::kControl.
ControlMessage DecodeControlMessage(std::string_view bytes);

}  // namespace gaugevalve::control
