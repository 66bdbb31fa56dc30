#include "fault_settings.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "gaugevalve/base/finding.h"

namespace gaugevalve::standin {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<Outage, const char*>, 4> kOutageNames{{
    {Outage::kNone, "none"},
    {Outage::kRefuse, "refuse"},
    {Outage::kHang, "hang"},
    {Outage::kUnavailable, "unavailable"},
}};

const char* NameOf(Outage outage) {
  for (const auto& [value, name] : kOutageNames) {
    if (value == outage) {
      return name;
    }
  }
  return "none";
}

// Applies the fields of a JSON object one by one and collects what is wrong.
class FaultReader {
 public:
  explicit FaultReader(const FaultSettings& current) : faults_(current) {}

  void Read(const std::string& name, const Json& value) {
    if (name == "outage") {
      ReadOutage(value);
    } else if (name == "delay_ms") {
      ReadDelay(value);
    } else if (name == "requests_per_second") {
      if (Check(value.is_number() && value >= 0, name, "is not a number from 0 up")) {
        faults_.requests_per_second = value;
      }
    } else if (name == "lost_answers") {
      if (Check(value.is_number_unsigned(), name, "is not a whole number from 0 up")) {
        faults_.lost_answers = value;
      }
    } else if (name == "stale_watches") {
      if (Check(value.is_boolean(), name, "is not true or false")) {
        faults_.stale_watches = value;
      }
    } else {
      Check(false, name, "is not a fault this stand-in has");
    }
  }

  FaultSettings Finish() {
    if (!findings_.empty()) {
      throw base::FindingsError(std::move(findings_));
    }
    return faults_;
  }

 private:
  bool Check(bool holds, const std::string& name, const char* message) {
    if (!holds) {
      findings_.push_back({{"faults", 0, 0, name}, message});
    }
    return holds;
  }

  void ReadOutage(const Json& value) {
    for (const auto& [outage, name] : kOutageNames) {
      if (value == name) {
        faults_.outage = outage;
        return;
      }
    }
    Check(false, "outage", "is none of none, refuse, hang, unavailable");
  }

  void ReadDelay(const Json& value) {
    if (Check(value.is_number_unsigned(), "delay_ms", "is not a whole number from 0 up")) {
      faults_.delay = std::chrono::milliseconds(value.get<std::int64_t>());
    }
  }

  FaultSettings faults_;
  base::Findings findings_;
};

}  // namespace

FaultSettings ParseFaults(std::string_view text, const FaultSettings& current) {
  const Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    throw base::FindingsError({{{"faults", 0, 0, ""}, "is not a JSON object"}});
  }
  FaultReader reader(current);
  for (const auto& [name, value] : json.items()) {
    reader.Read(name, value);
  }
  return reader.Finish();
}

std::string FormatFaults(const FaultSettings& faults) {
  const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(faults.delay);
  return Json{{"outage", NameOf(faults.outage)},
              {"delay_ms", delay.count()},
              {"requests_per_second", faults.requests_per_second},
              {"lost_answers", faults.lost_answers},
              {"stale_watches", faults.stale_watches}}
      .dump();
}

}  // namespace gaugevalve::standin
