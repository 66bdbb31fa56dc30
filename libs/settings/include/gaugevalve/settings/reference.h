// The settings reference, written from the schema table.
#pragma once

#include <string>

namespace gaugevalve::settings {

// Returns docs/SETTINGS.md: every key of the tree and of a node's settings file with its type,
// range, default and meaning.
std::string SettingsReference();

}  // namespace gaugevalve::settings
