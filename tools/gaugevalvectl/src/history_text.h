// History entries for people and for programs.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "gaugevalve/settings/history_entry.h"

namespace gaugevalve::ctl {

// Returns one line about the edit and one for each of its changes.
std::string HistoryToText(const settings::HistoryEntry& entry);

// Returns the same as an object.
nlohmann::ordered_json HistoryToJson(const settings::HistoryEntry& entry);

}  // namespace gaugevalve::ctl
