#include "callers_report.h"

#include <nlohmann/json.hpp>

namespace gaugevalve::callers {
namespace {

using load::CallerOutcome;

constexpr double kMedian = 0.5;
constexpr double kNinetyNinth = 0.99;

nlohmann::json LatenciesToJson(const load::LatencySamples& samples) {
  return {{"count", samples.Count()},
          {"median_us", samples.Quantile(kMedian).count()},
          {"p99_us", samples.Quantile(kNinetyNinth).count()},
          {"largest_us", samples.Largest().count()}};
}

std::vector<std::string> KeysOf(const CallersReport& report, CallerOutcome verdict) {
  const auto keys = report.keys.find(verdict);
  return keys == report.keys.end() ? std::vector<std::string>() : keys->second;
}

}  // namespace

nlohmann::json CallersReport::ToJson() const {
  return {{"seed", seed},
          {"measured_seconds", measured_seconds},
          {"due", due},
          {"unsent", unsent},
          {"in_time", in_time},
          {"answers_by_endpoint", answers_by_endpoint},
          {"answered", first.Count(CallerOutcome::kAnswered)},
          {"not_run", first.Count(CallerOutcome::kNotRun)},
          {"unknown", first.Count(CallerOutcome::kUnknown)},
          {"answers", LatenciesToJson(first.latencies)},
          {"refusals", LatenciesToJson(refusals)},
          {"given_up", given_up},
          {"repeats", repeats},
          {"wrong_answers", wrong_answers},
          {"keys",
           {{"answered", KeysOf(*this, CallerOutcome::kAnswered)},
            {"not_run", KeysOf(*this, CallerOutcome::kNotRun)},
            {"unknown", KeysOf(*this, CallerOutcome::kUnknown)}}}};
}

}  // namespace gaugevalve::callers
