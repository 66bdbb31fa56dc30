// The faults of an endpoint that a test can switch on and off while it runs.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "gaugevalve/base/time.h"

namespace gaugevalve::standins {

// How a report (load or health) relates to the truth.
enum class ReportFault : std::uint8_t {
  kNone,    // the truth of now
  kLag,     // the truth of EndpointFaults::report_lag ago
  kFreeze,  // the truth of when the fault was switched on
  kLie,     // "idle and healthy", whatever is the case
};

// What is wrong with the endpoint at present; by default nothing.
struct EndpointFaults {
  base::Duration answer_delay{};         // added before each answer, after the request has run
  double cut_fraction = 0;               // of HTTP answers: cut half way and the connection closed
  bool refuse_connections = false;       // HTTP connections are closed as they come
  bool hang = false;                     // requests are taken and never answered
  std::uint32_t slowdown_percent = 100;  // of the service time
  bool ignore_datagrams = false;         // datagrams are read and never answered
  ReportFault load_report = ReportFault::kNone;
  ReportFault health_report = ReportFault::kNone;
  base::Duration report_lag{};  // for ReportFault::kLag

  friend bool operator==(const EndpointFaults&, const EndpointFaults&) = default;
};

// Returns the faults as a JSON object; durations are in milliseconds, as the field names say.
std::string FaultsToJson(const EndpointFaults& faults);

// Returns `current` with the fields of a JSON object put in. Throws base::FindingsError naming
// every unknown field and every value that can't be.
EndpointFaults FaultsFromJson(const EndpointFaults& current, std::string_view text);

}  // namespace gaugevalve::standins
