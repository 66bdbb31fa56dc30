#include "service_time.h"

namespace gaugevalve::standins {
namespace {

constexpr double kPercent = 100;

}  // namespace

base::Duration ServiceTime(const ServiceTimeSettings& settings, const EndpointFaults& faults,
                           base::Duration uptime) {
  double slowdown = 1;
  if (uptime < settings.cold_start) {
    const double coldness =
        1 - static_cast<double>(uptime.count()) / static_cast<double>(settings.cold_start.count());
    slowdown += coldness * (settings.cold_slowdown_percent / kPercent - 1);
  }
  slowdown *= faults.slowdown_percent / kPercent;
  const double microseconds = static_cast<double>(settings.when_warm.count()) * slowdown;
  return base::Duration(static_cast<std::int64_t>(microseconds));
}

}  // namespace gaugevalve::standins
