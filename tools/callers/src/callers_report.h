// What a run of gaugevalve-callers found, and the callers' own ledger.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "http3_report.h"

namespace gaugevalve::callers {

// Counts are of first attempts after the warm-up, unless said. Latencies are from the sending.
struct CallersReport {
  std::uint64_t seed = 0;
  double measured_seconds = 0;  // in which these reservations were due
  std::uint64_t due = 0;        // reservations that the rate asked for
  std::uint64_t unsent = 0;     // for which no connection was ready
  std::uint64_t in_time = 0;    // answered within the deadline
  load::RequestCounts first;    // first attempts by outcome
  std::map<std::string, std::uint64_t> answers_by_endpoint;
  load::LatencySamples refusals;  // of first attempts refused as not run
  std::uint64_t given_up = 0;     // attempts without an answer within the patience; all of the run
  std::uint64_t repeats = 0;      // further attempts with the same key; all of the run
  std::uint64_t wrong_answers = 0;  // crossed or cut though said to be whole; all of the run
  std::map<load::CallerOutcome, std::vector<std::string>> keys;  // all of the run, by verdict

  nlohmann::json ToJson() const;
};

}  // namespace gaugevalve::callers
