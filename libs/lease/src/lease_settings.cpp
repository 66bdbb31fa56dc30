#include "gaugevalve/lease/lease_settings.h"

#include <utility>

#include "gaugevalve/base/finding.h"

namespace gaugevalve::lease {

void LeaseSettings::Check() const {
  base::Findings findings;
  const auto report = [&findings](const char* path, const char* message) {
    findings.push_back({{"", 0, 0, path}, message});
  };
  if (key.empty()) {
    report("key", "is empty");
  }
  if (clock_drift < 0 || clock_drift >= 1) {
    report("clock_drift", "is not in [0, 1)");
  }
  if (safety_margin < base::Duration::zero()) {
    report("safety_margin", "is negative");
  }
  const auto drift = std::chrono::duration_cast<base::Duration>(clock_drift * ttl);
  if (renew_interval + request_timeout >= ttl - drift - safety_margin) {
    report("ttl", "is too short for one renewal interval, one request timeout and the margins");
  }
  if (!findings.empty()) {
    throw base::FindingsError(std::move(findings));
  }
}

}  // namespace gaugevalve::lease
