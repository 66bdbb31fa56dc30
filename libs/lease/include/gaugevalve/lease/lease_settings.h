// What a lease holder is told about its lease and about time.
#pragma once

#include <chrono>
#include <string>

#include "gaugevalve/base/time.h"
#include "gaugevalve/store/backoff.h"

namespace gaugevalve::lease {

// All candidates for one lease use the same key and time to live.
struct LeaseSettings {
  std::string key;     // its presence in the store means that the lease is held
  std::string holder;  // the key's value: names the holder for people
  std::chrono::seconds ttl{15};
  base::Duration renew_interval = std::chrono::seconds(4);
  // Taken off the end, for actions that were begun while the lease was held.
  base::Duration safety_margin = std::chrono::seconds(2);
  // How much slower than the store's clock the holder's may run, as a part of 1.
  double clock_drift = 0.01;
  base::Duration request_timeout = std::chrono::seconds(3);
  // How often a lease that another holds is looked at; drawn from [half, whole] of this.
  base::Duration poll_interval = std::chrono::seconds(5);
  store::BackoffSettings backoff{std::chrono::milliseconds(250), std::chrono::seconds(5)};

  // Throws base::FindingsError when the settings leave the holder no time in which it holds.
  void Check() const;
};

}  // namespace gaugevalve::lease
