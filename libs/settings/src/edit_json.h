// The part that stored documents share: who made the edit.
#pragma once

#include <nlohmann/json.hpp>

#include "gaugevalve/settings/root_document.h"
#include "json_reader.h"

namespace gaugevalve::settings {

// Adds the description's keys to the object.
void WriteEdit(nlohmann::ordered_json& json, const EditDescription& edit);

// Reads the keys that WriteEdit() adds.
EditDescription ReadEdit(JsonReader& reader);

}  // namespace gaugevalve::settings
