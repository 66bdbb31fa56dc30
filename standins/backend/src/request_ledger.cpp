#include "request_ledger.h"

#include <nlohmann/json.hpp>

namespace gaugevalve::standins {

std::uint64_t RequestLedger::RecordReservation(const std::string& key) {
  if (key.empty()) {
    return ++without_key_;
  }
  const auto known = executions_by_key_.find(key);
  if (known != executions_by_key_.end()) {
    return ++known->second;
  }
  if (executions_by_key_.size() >= kMaxKeys) {
    ++unrecorded_;
    return 1;
  }
  executions_by_key_.emplace(key, 1);
  return 1;
}

nlohmann::json RequestLedger::ToJson() const {
  return {{"reservations", executions_by_key_},
          {"reservations_without_key", without_key_},
          {"unrecorded", unrecorded_},
          {"drawings", drawings_},
          {"boards", boards_},
          {"shed", shed_},
          {"abandoned", abandoned_}};
}

}  // namespace gaugevalve::standins
