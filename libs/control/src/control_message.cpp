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
  return message.SerializeAsString();
}

ControlMessage DecodeControlMessage(std::string_view bytes) {
  proto::ControlMessage message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::monostate{};
  }
  if (message.has_report()) {
    try {
      return NumberedReport{message.report().sequence(),
                            routing::DecodeReport(message.report().report())};
    } catch (const routing::DecodeError&) {
      return std::monostate{};
    }
  }
  if (message.has_answer()) {
    const proto::ReportAnswer& body = message.answer();
    return ReportAnswer{body.sequence(), {body.epoch(), body.generation(), body.table_sequence()}};
  }
  return std::monostate{};
}

}  // namespace gaugevalve::control
