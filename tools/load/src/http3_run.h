// Runs flows against `http3` services and fills in a report.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/standins/address_flags.h"
#include "gaugevalve/tasks/timer.h"
#include "http3_flow.h"
#include "http3_report.h"

namespace gaugevalve::load {

// The load of a run. Rates and limits are for each service.
struct Http3RunSettings {
  std::vector<standins::NamedAddress> services;  // by name, with their virtual address
  double flows_per_second = 0;
  std::uint64_t max_open_flows = 0;     // a flow that is due above it isn't opened
  base::Duration duration{};            // for which flows are opened
  base::Duration mean_flow_lifetime{};  // exponentially distributed
  Http3FlowSettings flow;
  std::uint64_t seed = 1;
};

// Opens connections at the set rate. When the duration is over, flows end with the request in
// progress; then the loop is made to end. Runs on the loop's thread; loop and report must outlive
// it.
class Http3Run {
 public:
  Http3Run(event_base* loop, const Http3RunSettings& settings, Http3RunReport& report);
  ~Http3Run();

  // Starts the run. At most once.
  void Start();

  // Ends the run early, as when the duration is over.
  void EndSoon();

 private:
  struct Service;

  void OnTick();
  void RemoveEndedFlows(Service& service, base::TimePoint now);
  void OpenRetries(Service& service, base::TimePoint now);
  void OpenDueFlows(Service& service, base::TimePoint now);
  void OpenFlow(Service& service, std::uint32_t attempt, base::TimePoint ends_at);

  event_base* loop_;
  Http3RunSettings settings_;
  base::SystemClock clock_;
  base::RandomSource random_;
  tasks::Timer tick_;
  base::TimePoint last_tick_{};
  base::TimePoint ends_at_{};
  bool ending_ = false;
  std::uint64_t flows_opened_ = 0;
  std::vector<std::unique_ptr<Service>> services_;
};

}  // namespace gaugevalve::load
