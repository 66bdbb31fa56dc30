// Loss, delay, duplication and reordering of datagrams, decided one datagram at a time.
#pragma once

#include <absl/container/inlined_vector.h>

#include <string>
#include <string_view>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::standins {

// What a way of the network does to datagrams; by default nothing. Fractions are from 0 to 1.
struct ImpairmentSettings {
  double drop_fraction = 0;       // lost
  double duplicate_fraction = 0;  // delivered twice, each copy delayed on its own
  double reorder_fraction = 0;    // held back by `reorder_delay`, so that later ones overtake
  base::Duration delay{};         // for every datagram
  base::Duration jitter{};        // up to so much more, uniformly
  base::Duration reorder_delay{};

  friend bool operator==(const ImpairmentSettings&, const ImpairmentSettings&) = default;
};

// Returns the settings as a JSON object; durations are in milliseconds.
std::string ImpairmentToJson(const ImpairmentSettings& settings);

// Returns `current` with the fields of a JSON object put in. Throws base::FindingsError.
ImpairmentSettings ImpairmentFromJson(const ImpairmentSettings& current, std::string_view text);

// Decides what becomes of each datagram. The same seed and calls give the same fates.
class Impairment {
 public:
  // The delay of each copy that is delivered; none when the datagram is lost.
  using Fate = absl::InlinedVector<base::Duration, 2>;

  explicit Impairment(std::uint64_t seed) : random_(seed) {}

  const ImpairmentSettings& Settings() const { return settings_; }
  void SetSettings(const ImpairmentSettings& settings) { settings_ = settings; }

  // Decides the next datagram's fate.
  Fate Decide();

 private:
  base::Duration DelayOfCopy();

  ImpairmentSettings settings_;
  base::RandomSource random_;
};

}  // namespace gaugevalve::standins
