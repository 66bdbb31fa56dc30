#include "scenario_reader.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>

#include "yaml_map.h"

namespace gaugevalve::lab {
namespace {

using FaultKinds = std::map<std::string, FaultKind>;

const FaultKinds& KindsByName() {
  static const FaultKinds kinds = {{"kill_balancer", FaultKind::kKillBalancer},
                                   {"join_balancer", FaultKind::kJoinBalancer},
                                   {"freeze_balancer", FaultKind::kFreezeBalancer},
                                   {"kill_agent", FaultKind::kKillAgent},
                                   {"freeze_agent", FaultKind::kFreezeAgent},
                                   {"cut_off_agent", FaultKind::kCutOffAgent},
                                   {"drain_agent", FaultKind::kDrainAgent},
                                   {"start_agent", FaultKind::kStartAgent},
                                   {"set_weight", FaultKind::kSetWeight},
                                   {"lose_zone", FaultKind::kLoseZone},
                                   {"slow_endpoint", FaultKind::kSlowEndpoint},
                                   {"recycle_address", FaultKind::kRecycleAddress}};
  return kinds;
}

class ScenarioReader {
 public:
  explicit ScenarioReader(std::string file) : file_(std::move(file)) {}

  Scenario Read(const YAML::Node& root) {
    YamlMap map(root, "", file_, findings_);
    Scenario scenario;
    map.Read("name", scenario.name);
    map.Read("seed", scenario.seed);
    map.Read("duration", scenario.duration);
    map.Read("zones", scenario.zones);
    map.Read("balancers", scenario.balancer_zones);
    ReadLatency(map.Child("latency"), scenario.latency);
    ReadLag(map.Child("lag"), scenario.lag);
    ForEach(map, "services", [&](const YAML::Node& node, const std::string& path) {
      scenario.services.push_back(ReadService(node, path));
    });
    ForEach(map, "faults", [&](const YAML::Node& node, const std::string& path) {
      scenario.faults.push_back(ReadFault(node, path));
    });
    ForEach(map, "phases", [&](const YAML::Node& node, const std::string& path) {
      scenario.phases.push_back(ReadPhase(node, path));
    });
    CheckZones(map, "balancers", scenario.balancer_zones, scenario.zones);
    for (const ServiceScenario& service : scenario.services) {
      CheckZones(map, "services", service.endpoint_zones, scenario.zones);
    }
    if (scenario.balancer_zones.empty() || scenario.services.empty()) {
      map.Report("", "needs at least one balancer and one service");
    }
    map.Finish();
    if (!findings_.empty()) {
      throw base::FindingsError(findings_);
    }
    return scenario;
  }

 private:
  template <class Action>
  void ForEach(YamlMap& map, const std::string& key, const Action& action) {
    const YAML::Node list = map.Child(key);
    if (list.IsDefined() && !list.IsSequence()) {
      map.Report(key, "must be a list");
      return;
    }
    for (std::size_t index = 0; index < list.size(); ++index) {
      action(list[index], key + "[" + std::to_string(index) + "]");
    }
  }

  static void CheckZones(YamlMap& map, const std::string& key, const std::vector<std::string>& used,
                         const std::vector<std::string>& known) {
    for (const std::string& zone : used) {
      if (std::find(known.begin(), known.end(), zone) == known.end()) {
        map.Report(key, "unknown zone " + zone);
      }
    }
  }

  void ReadLatency(const YAML::Node& node, LatencyScenario& latency) {
    YamlMap map(node, "latency", file_, findings_);
    map.Read("within_zone", latency.within_zone);
    map.Read("between_zones", latency.between_zones);
    map.Read("callers", latency.callers);
    map.Finish();
  }

  void ReadLag(const YAML::Node& node, LagScenario& lag) {
    YamlMap map(node, "lag", file_, findings_);
    map.Read("least_table_delay", lag.least_table_delay);
    map.Read("most_table_delay", lag.most_table_delay);
    map.Read("membership", lag.membership);
    map.Read("fabric", lag.fabric);
    map.Read("report_interval", lag.report_interval);
    map.Read("report", lag.report);
    if (lag.most_table_delay < lag.least_table_delay) {
      map.Report("most_table_delay", "is below least_table_delay");
    }
    if (lag.report_interval <= base::Duration::zero()) {
      map.Report("report_interval", "must be above 0");
    }
    map.Finish();
  }

  ServiceScenario ReadService(const YAML::Node& node, const std::string& path) {
    YamlMap map(node, path, file_, findings_);
    ServiceScenario service;
    map.Read("name", service.name);
    map.Read("endpoints", service.endpoint_zones);
    map.Read("slots", service.slots);
    map.Read("flow_capacity", service.flow_capacity);
    map.Read("flow_arrivals_per_second", service.flow_arrivals_per_second);
    map.Read("mean_flow_length", service.mean_flow_length);
    map.Read("keepalive", service.keepalive);
    map.Read("idle_timeout", service.idle_timeout);
    map.Read("requests_per_flow_per_second", service.requests_per_flow_per_second);
    map.Read("rate_spread", service.rate_spread);
    map.Read("mean_service_time", service.mean_service_time);
    map.Read("hand_over", service.hand_over);
    map.Read("hand_over_load", service.hand_over_load);
    map.Read("cold_slowdown", service.cold_slowdown);
    map.Read("cold_time", service.cold_time);
    ReadPlanner(map.Child("planner"), path + ".planner", service.planner);
    if (service.name.empty() || service.slots == 0) {
      map.Report("name", "a service needs a name and slots above 0");
    }
    if (service.flow_arrivals_per_second <= 0 || service.requests_per_flow_per_second <= 0) {
      map.Report("", "rates must be above 0");
    }
    map.Finish();
    return service;
  }

  void ReadPlanner(const YAML::Node& node, const std::string& path,
                   routing::PlannerSettings& planner) {
    YamlMap map(node, path, file_, findings_);
    std::uint64_t bucket_count = planner.bucket_count;
    map.Read("bucket_count", bucket_count);
    planner.bucket_count = bucket_count;
    map.Read("step_interval", planner.step_interval);
    map.Read("dead_agent_hold", planner.dead_agent_hold);
    map.Read("max_moves_per_step", planner.max_moves_per_step);
    map.Read("max_moves_per_minute", planner.max_moves_per_minute);
    map.Read("smoothing_time", planner.smoothing_time);
    map.Read("steering_gain", planner.steering_gain);
    map.Read("steering_hysteresis", planner.steering_hysteresis);
    map.Read("assignment_hysteresis", planner.assignment_hysteresis);
    map.Read("cold_start_ramp", planner.cold_start_ramp);
    map.Read("cold_start_steps", planner.cold_start_steps);
    map.Read("preferred_zones", planner.preferred_zones);
    map.Read("spill_utilisation", planner.spill_utilisation);
    constexpr std::uint64_t kMostBuckets = 65'535;
    if (bucket_count == 0 || bucket_count > kMostBuckets) {
      map.Report("bucket_count", "must be from 1 to 65535");
    }
    map.Finish();
  }

  Fault ReadFault(const YAML::Node& node, const std::string& path) {
    YamlMap map(node, path, file_, findings_);
    Fault fault;
    std::string kind;
    map.Read("at", fault.at);
    map.Read("kind", kind);
    map.Read("target", fault.target);
    map.Read("service", fault.service);
    map.Read("zone", fault.zone);
    map.Read("weight", fault.weight);
    map.Read("factor", fault.factor);
    map.Read("length", fault.length);
    const auto known = KindsByName().find(kind);
    if (known == KindsByName().end()) {
      map.Report("kind", "unknown kind of fault: " + kind);
    } else {
      fault.kind = known->second;
    }
    map.Finish();
    return fault;
  }

  Phase ReadPhase(const YAML::Node& node, const std::string& path) {
    YamlMap map(node, path, file_, findings_);
    Phase phase;
    map.Read("name", phase.name);
    map.Read("from", phase.from);
    map.Read("to", phase.to);
    if (phase.to <= phase.from) {
      map.Report("to", "must be after `from`");
    }
    map.Finish();
    return phase;
  }

  std::string file_;
  base::Findings findings_;
};

[[noreturn]] void ThrowOne(const std::string& file, std::size_t line, const std::string& message) {
  base::SourcePlace place;
  place.file = file;
  place.line = line;
  throw base::FindingsError({{place, message}});
}

}  // namespace

Scenario ParseScenario(const std::string& text, const std::string& file) {
  YAML::Node root;
  try {
    root = YAML::Load(text);
  } catch (const YAML::ParserException& error) {
    ThrowOne(file, static_cast<std::size_t>(error.mark.line) + 1, error.msg);
  }
  return ScenarioReader(file).Read(root);
}

Scenario ReadScenario(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) {
    ThrowOne(path, 0, "can't be read");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseScenario(text.str(), path);
}

}  // namespace gaugevalve::lab
