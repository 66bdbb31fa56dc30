// The emulated machines: balancers and agents, and what stands on them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "endpoint.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/control/agent_reporter.h"
#include "gaugevalve/flow/flow_core.h"
#include "gaugevalve/forwarding/forwarding_core.h"
#include "gaugevalve/routing/bucket_table.h"
#include "gaugevalve/routing/flow_chooser.h"

namespace gaugevalve::lab {

// Bytes and messages that a node received and sent for control.
struct ControlCounters {
  std::uint64_t bytes = 0;
  std::uint64_t messages = 0;

  void Add(std::size_t message_bytes) {
    bytes += message_bytes;
    ++messages;
  }
};

// One agent with its endpoint. Kept after its death, for events still under way.
struct AgentHost {
  std::size_t index = 0;    // in World::agents
  std::size_t service = 0;  // in World::services
  std::string name;
  std::string zone;
  base::NodeId node;
  base::Incarnation incarnation;
  base::SocketAddress address;
  double weight = 1.0;
  base::TimePoint started_at{};
  bool warm_start = false;  // there from the beginning: no ramp
  bool alive = true;
  bool frozen = false;
  bool cut_off = false;             // from control
  bool listed = false;              // by the planner's newest table
  bool was_taken_for_dead = false;  // at some time, while it ran
  bool draining = false;
  base::TimePoint draining_since{};
  std::uint64_t open_flows = 0;  // of policies without a flow core
  std::unique_ptr<flow::FlowCore> core;
  std::unique_ptr<Endpoint> endpoint;
  routing::BucketTable table;
  control::AgentReporter reporter{control::AgentReporterOptions()};
  base::Duration table_delay{};
  base::TimePoint last_table_arrival{};
  ControlCounters control;
  double reported_busy_seconds = 0.0;  // BusySlotSeconds() at the last report
  base::TimePoint reported_at{};

  bool IsServing() const { return alive && !draining && !frozen; }
  bool HasControl() const { return alive && !frozen && !cut_off; }
};

// One balancer.
struct BalancerHost {
  std::size_t index = 0;
  std::string zone;
  base::TimePoint started_at{};
  bool alive = true;
  bool frozen = false;
  std::unique_ptr<forwarding::ForwardingCore> core;
  std::vector<routing::BucketTable> tables;                     // index = service
  std::vector<std::unique_ptr<routing::FlowChooser>> choosers;  // index = service; baselines only
  base::Duration table_delay{};
  base::TimePoint last_table_arrival{};
  ControlCounters control;

  bool IsRunning() const { return alive && !frozen; }
};

}  // namespace gaugevalve::lab
