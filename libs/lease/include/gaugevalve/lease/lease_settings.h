// Settings of a lease and its timing.
#pragma once

#include <chrono>
#include <string>

#include "gaugevalve/base/time.h"
#include "gaugevalve/store/backoff.h"

namespace gaugevalve::lease {

// All holders that compete for one lease use the same key and time to live.
struct LeaseSettings {
  std::string key;     // the lease is held while this key exists in the store
  std::string holder;  // value of the key: names the holder for operators
  std::chrono::seconds ttl{15};
  base::Duration renew_interval = std::chrono::seconds(4);
  // Subtracted from the end of the lease, for actions that were started while it was held.
  base::Duration safety_margin = std::chrono::seconds(2);
  // Maximum fraction by which the holder's clock may run slower than the store's.
  double clock_drift = 0.01;
  base::Duration request_timeout = std::chrono::seconds(3);
  // Interval at which a lease of another holder is read again; drawn from [half, whole] of this.
  base::Duration poll_interval = std::chrono::seconds(5);
  store::BackoffSettings backoff{std::chrono::milliseconds(250), std::chrono::seconds(5)};

  // Throws base::FindingsError if the settings are invalid, for example if they leave the holder no
  // time in which it holds the lease.
  void Check() const;
};

}  // namespace gaugevalve::lease
