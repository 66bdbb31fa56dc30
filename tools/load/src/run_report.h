// What a run of the load tool found, as plain counts.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "datagram_flow.h"
#include "latency_samples.h"

namespace gaugevalve::load {

// What one endpoint did in the run.
struct EndpointCounts {
  std::uint64_t flows = 0;     // whose first answer came from it
  std::uint64_t requests = 0;  // that it answered
};

// A flow that broke.
struct BrokenFlow {
  std::uint64_t number = 0;
  FlowBreak cause = FlowBreak::kSilent;
  std::string endpoint;        // its endpoint; "" when none ever answered
  std::string other_endpoint;  // the one that answered instead; "" when it fell silent
  std::uint64_t requests = 0;  // sent by then
};

// What became of one service's flows and requests.
struct ServiceReport {
  // Broken flows described one by one at most; all are counted.
  static constexpr std::size_t kMaxDescribed = 100;

  std::uint64_t expected_endpoints = 0;  // 0: as many as answered
  std::uint64_t flows_opened = 0;
  std::uint64_t flows_finished = 0;
  std::map<FlowBreak, std::uint64_t> flows_broken;
  std::vector<BrokenFlow> described;  // the first kMaxDescribed
  std::uint64_t requests_sent = 0;    // different ones
  std::uint64_t retransmissions = 0;
  std::uint64_t answered = 0;
  std::uint64_t duplicates = 0;  // answers to a request that had one already
  std::uint64_t crossed = 0;     // answers to a request that the flow never sent
  std::uint64_t malformed = 0;   // datagrams that are no answer
  std::map<std::string, EndpointCounts> endpoints;
  LatencySamples latencies;  // from a request's first send to its answer

  // Counts a flow that has ended.
  void RecordEnd(const DatagramFlow& flow);

  std::uint64_t BrokenFlows() const;

  // Return the largest share of an endpoint over the mean share of all expected ones: 1 is even.
  // 0 without any flow or request.
  double FlowImbalance() const;
  double RequestImbalance() const;
};

// All services of a run, by name.
struct RunReport {
  std::map<std::string, ServiceReport> services;
  std::uint64_t seed = 0;

  // Tells whether no flow broke, no answer crossed and some request was answered in each service.
  bool IsClean() const;

  nlohmann::json ToJson() const;
};

// Returns the report as a table for people.
std::string FormatReport(const RunReport& report);

}  // namespace gaugevalve::load
