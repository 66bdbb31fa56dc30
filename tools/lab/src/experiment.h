// One run of a scenario under one policy.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "baseline_control.h"
#include "callers.h"
#include "data_path.h"
#include "planner_host.h"
#include "policy.h"
#include "request_runner.h"
#include "results.h"
#include "scenario.h"
#include "world.h"

namespace gaugevalve::lab {

// Puts the parts together, plays the faults and takes the samples. A run depends on nothing but its
// arguments.
class Experiment {
 public:
  // Length of a window of samples.
  static constexpr base::Duration kWindow = std::chrono::seconds(10);

  // Called after each window with the simulated time that has passed.
  using Progress = std::function<void(base::Duration)>;

  Experiment(const Scenario& scenario, Policy policy, const Mechanisms& mechanisms);

  // Runs the whole scenario; call once. Throws base::FindingsError when a fault names what isn't
  // there.
  RunResults Run(const Progress& progress);

 private:
  void Play(const Fault& fault);
  void KillBalancer(std::size_t index);
  void JoinBalancer(const std::string& zone);
  void FreezeBalancer(std::size_t index, base::Duration length);
  void ThawBalancer(std::size_t index);
  void KillAgent(AgentHost& agent);
  void FreezeAgent(AgentHost& agent, base::Duration length);
  void CutOffAgent(AgentHost& agent, base::Duration length);
  void DrainAgent(AgentHost& agent);
  void StartAgent(std::size_t service, const std::string& zone, const base::SocketAddress* address);
  void LoseZone(const std::string& zone);
  void NoteAgent(AgentHost& agent);
  AgentHost& AgentOf(const Fault& fault);
  std::size_t BalancerOf(const Fault& fault) const;
  std::size_t ServiceOf(const Fault& fault) const;
  void TakeSamples();
  ControlTraffic TrafficOf(const std::vector<const ControlCounters*>& counters) const;

  World world_;
  Callers callers_;
  DataPath data_path_;
  RequestRunner requests_;
  BaselineControl baseline_;
  std::vector<std::unique_ptr<PlannerHost>> planners_;  // index = service; product only
  std::vector<double> busy_before_;                     // index = agent, slot seconds
};

}  // namespace gaugevalve::lab
