// What a run measured. Plain values; the writers turn them into CSV, JSON and SVG.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gaugevalve/base/time.h"

namespace gaugevalve::lab {

// One agent in one window of time.
struct AgentSample {
  std::string agent;
  double busy_slots = 0.0;   // mean over the window
  double utilisation = 0.0;  // the same over its slots
  double ramp = 1.0;         // part of its capacity that it is meant to have by then
  std::uint64_t open_flows = 0;
  bool serving = false;  // took new work all through the window
};

// One service in one window of time.
struct WindowSample {
  base::Duration end{};
  std::vector<AgentSample> agents;
  std::uint64_t broken_flows = 0;   // until the end of the window
  std::uint64_t moved_buckets = 0;  // likewise
};

// Returns the most over the mean utilisation of the serving agents; 1 when nothing is busy. With
// `by_ramp`, an agent's utilisation is taken relative to its ramped capacity.
double ImbalanceOf(const WindowSample& window, bool by_ramp);

// A request's time in the queue.
struct WaitSample {
  base::Duration at{};
  base::Duration wait{};
};

// One service over the whole run.
struct ServiceResults {
  std::string name;
  std::uint64_t flows_opened = 0;
  std::uint64_t flows_opened_unlisted = 0;  // by an agent whose buckets had been given away
  std::uint64_t flows_refused = 0;          // first datagram never served; nothing was open yet
  std::uint64_t flows_opened_late = 0;      // only after the caller had sent again
  base::Duration late_opens_wait{};         // from the first datagram on, all of them together
  base::Duration longest_open_wait{};
  std::uint64_t requests_offered = 0;  // sent by callers for the first time
  std::uint64_t requests = 0;          // that reached an agent; the last may be under way
  std::uint64_t handed_over = 0;
  std::uint64_t wrong_service = 0;               // datagrams that an agent of another service took
  std::map<std::string, std::uint64_t> broken;   // by cause
  std::map<std::string, std::uint64_t> retries;  // datagrams sent again, by cause
  std::uint64_t moved_buckets = 0;               // changes of owner
  std::uint64_t deltas = 0;
  // Latest new work after the start of a drain: a flow opened, or a request begun at the endpoint
  // for a flow that is at another agent or, with hand-over, for any.
  base::Duration last_new_flow_after_drain{};
  base::Duration last_request_after_drain{};
  std::vector<WindowSample> windows;
  std::vector<WaitSample> waits;

  std::uint64_t BrokenInAll() const;

  // Returns the mean wait of the flows that were opened late; 0 when there were none.
  base::Duration MeanLateWait() const;
};

// Control traffic of the nodes of one role, payloads only.
struct ControlTraffic {
  double mean_bytes_per_second = 0.0;
  double most_bytes_per_second = 0.0;  // of one node
  double mean_messages_per_second = 0.0;
};

// One run.
struct RunResults {
  std::string scenario;
  std::string policy;
  std::uint64_t seed = 0;
  std::vector<ServiceResults> services;
  ControlTraffic balancers;
  ControlTraffic agents;
  std::uint64_t events = 0;
};

}  // namespace gaugevalve::lab
