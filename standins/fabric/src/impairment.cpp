#include "impairment.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "gaugevalve/standins/json_fields.h"

namespace gaugevalve::standins {
namespace {

std::int64_t Milliseconds(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

std::string ImpairmentToJson(const ImpairmentSettings& settings) {
  const nlohmann::json document = {{"drop_fraction", settings.drop_fraction},
                                   {"duplicate_fraction", settings.duplicate_fraction},
                                   {"reorder_fraction", settings.reorder_fraction},
                                   {"delay_ms", Milliseconds(settings.delay)},
                                   {"jitter_ms", Milliseconds(settings.jitter)},
                                   {"reorder_delay_ms", Milliseconds(settings.reorder_delay)}};
  return document.dump();
}

ImpairmentSettings ImpairmentFromJson(const ImpairmentSettings& current, std::string_view text) {
  ImpairmentSettings settings = current;
  JsonFields fields("faults", text);
  fields.ReadFraction("drop_fraction", settings.drop_fraction);
  fields.ReadFraction("duplicate_fraction", settings.duplicate_fraction);
  fields.ReadFraction("reorder_fraction", settings.reorder_fraction);
  fields.ReadMilliseconds("delay_ms", settings.delay);
  fields.ReadMilliseconds("jitter_ms", settings.jitter);
  fields.ReadMilliseconds("reorder_delay_ms", settings.reorder_delay);
  fields.Finish();
  return settings;
}

Impairment::Fate Impairment::Decide() {
  Fate fate;
  if (random_.NextUnit() < settings_.drop_fraction) {
    return fate;
  }
  fate.push_back(DelayOfCopy());
  if (random_.NextUnit() < settings_.duplicate_fraction) {
    fate.push_back(DelayOfCopy());
  }
  return fate;
}

base::Duration Impairment::DelayOfCopy() {
  base::Duration delay = settings_.delay;
  if (settings_.jitter > base::Duration::zero()) {
    delay += random_.NextJitter(settings_.jitter);
  }
  if (random_.NextUnit() < settings_.reorder_fraction) {
    delay += settings_.reorder_delay;
  }
  return delay;
}

}  // namespace gaugevalve::standins
