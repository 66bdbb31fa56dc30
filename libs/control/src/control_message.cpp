#include "gaugevalve/control/control_message.h"

#include "gaugevalve/control/control.pb.h"
#include "gaugevalve/routing/table_codec.h"

namespace gaugevalve::control {

std::string EncodeReport(const NumberedReport& numbered) {
  proto::ControlMessage message;
  message.mutable_report()->set_sequence(numbered.sequence);
  message.mutable_report()->set_report(routing::EncodeReport(numbered.report));
  return message.SerializeAsString();
}

std::string EncodeAnswer(const ReportAnswer& answer) {
  proto::ControlMessage message;
  proto::ReportAnswer& body = *message.mutable_answer();
  body.set_sequence(answer.sequence);
  body.set_epoch(answer.table_version.epoch);
  body.set_generation(answer.table_version.generation);
  body.set_table_sequence(answer.table_version.sequence);
  body.set_flows_refused(answer.flows == routing::FlowCountsOutcome::kRefused);
  body.set_needs_whole(answer.flows == routing::FlowCountsOutcome::kNeedsFullReport);
  return message.SerializeAsString();
}

ControlMessage DecodeControlMessage(std::string_view bytes) {
  proto::ControlMessage message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::monostate{};
  }
  if (message.has_report()) {
    try {
      NumberedReport numbered{message.report().sequence(),
                              routing::DecodeReport(message.report().report())};
      numbered.report.sequence = numbered.sequence;
      return numbered;
    } catch (const routing::DecodeError&) {
      return std::monostate{};
    }
  }
  if (message.has_answer()) {
    const proto::ReportAnswer& body = message.answer();
    const routing::FlowCountsOutcome flows =
        body.needs_whole()     ? routing::FlowCountsOutcome::kNeedsFullReport
        : body.flows_refused() ? routing::FlowCountsOutcome::kRefused
                               : routing::FlowCountsOutcome::kAccepted;
    return ReportAnswer{
        body.sequence(), {body.epoch(), body.generation(), body.table_sequence()}, flows};
  }
  return std::monostate{};
}

}  // namespace gaugevalve::control
