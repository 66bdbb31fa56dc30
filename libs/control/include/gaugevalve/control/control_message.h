// What control tasks send each other: agents' reports and planners' answers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "gaugevalve/routing/agent_report.h"
#include "gaugevalve/routing/flow_count_encoder.h"

namespace gaugevalve::control {

// An agent's report with the number under which it is answered.
struct NumberedReport {
  std::uint64_t sequence = 0;
  routing::AgentReport report;
};

// A planner's answer: its newest table when the report came, and what became of the flows in it.
struct ReportAnswer {
  std::uint64_t sequence = 0;
  routing::TableVersion table_version;
  routing::FlowCountsOutcome flows = routing::FlowCountsOutcome::kAccepted;
};

// std::monostate stands for bytes that can't be read.
using ControlMessage = std::variant<std::monostate, NumberedReport, ReportAnswer>;

std::string EncodeReport(const NumberedReport& report);
std::string EncodeAnswer(const ReportAnswer& answer);

// Returns the message in a payload of MessageKind::kControl.
ControlMessage DecodeControlMessage(std::string_view bytes);

}  // namespace gaugevalve::control
