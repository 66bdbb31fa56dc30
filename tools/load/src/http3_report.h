// What a run against `http3` services found, and the callers' own ledger.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "latency_samples.h"

namespace gaugevalve::load {

// How a request ended for its caller.
enum class CallerOutcome : std::uint8_t {
  kAnswered,  // a whole answer with a status of success
  kNotRun,    // refused, and the refusal promises that it didn't run
  kUnknown,   // anything else: it may have run
};

// What the requests of one kind (reservations or drawings) of a service came to.
struct RequestCounts {
  std::map<CallerOutcome, std::uint64_t> outcomes;
  std::uint64_t crossed = 0;       // answers that belong to another request
  std::uint64_t cut_as_whole = 0;  // answers said to be whole that ended before their length
  LatencySamples latencies;        // of those answered

  std::uint64_t Count(CallerOutcome outcome) const;
};

// What became of one service's connections and requests.
struct Http3ServiceReport {
  std::uint64_t expected_endpoints = 0;  // 0: as many as answered
  std::uint64_t flows_opened = 0;
  std::uint64_t flows_finished = 0;
  std::uint64_t goaways = 0;         // connections asked to send no new requests
  std::uint64_t boards_not_run = 0;  // refused, and asked for again by another flow
  std::map<std::string, std::uint64_t> flows_broken;  // by cause
  std::uint64_t board_events = 0;
  std::uint64_t board_gaps = 0;                             // events that are missing in between
  std::map<std::string, std::uint64_t> boards_by_endpoint;  // one for each flow
  std::map<std::string, std::uint64_t> requests_by_endpoint;
  RequestCounts reservations;
  RequestCounts drawings;

  // The callers' ledger: the keys of all reservations by outcome, to be compared with the
  // endpoints' ledgers.
  std::map<CallerOutcome, std::vector<std::string>> reservation_keys;

  std::uint64_t BrokenFlows() const;

  // Tells whether no flow broke, no answer was crossed or cut, and something was answered.
  bool IsClean() const;
};

// All services of a run, by name.
struct Http3RunReport {
  std::map<std::string, Http3ServiceReport> services;
  std::uint64_t seed = 0;

  bool IsClean() const;
  nlohmann::json ToJson() const;
};

// Returns the report as text for people.
std::string FormatReport(const Http3RunReport& report);

}  // namespace gaugevalve::load
