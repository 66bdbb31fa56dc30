#include "command_context.h"

namespace gaugevalve::ctl {

void CommandContext::Print(const std::string& text, const nlohmann::ordered_json& json) const {
  if (options.format == OutputFormat::kText) {
    out << text;
    return;
  }
  constexpr int kIndent = 2;
  constexpr auto kReplaceBadUtf8 = nlohmann::ordered_json::error_handler_t::replace;
  out << json.dump(kIndent, ' ', false, kReplaceBadUtf8) << "\n";
}

}  // namespace gaugevalve::ctl
