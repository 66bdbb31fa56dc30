// What one planner costs, by the size of its service: the slopes for docs/CAPACITY.md.
#pragma once

#include <cstddef>

namespace gaugevalve::lab {

// One size of a service.
struct PlannerSize {
  std::size_t agents = 3;
  std::size_t buckets = 256;
};

// Costs of one planner. Times are processor time and depend on the machine; sizes don't.
struct PlannerCost {
  double report_microseconds = 0.0;      // to decode and take one report
  double quiet_step_microseconds = 0.0;  // a step that changes nothing
  double leave_step_microseconds = 0.0;  // a step in which one agent leaves with all its buckets
  std::size_t table_bytes = 0;           // the whole table, encoded
  std::size_t whole_report_bytes = 0;    // a report with flows in each bucket that the agent owns
  double report_bytes = 0.0;             // mean of the reports that tell of changes, a second apart
  std::size_t answer_bytes = 0;          // of the planner to each of them
  std::size_t delta_bytes = 0;           // of such a step
};

// Measures a planner of this size.
PlannerCost MeasurePlanner(const PlannerSize& size);

}  // namespace gaugevalve::lab
