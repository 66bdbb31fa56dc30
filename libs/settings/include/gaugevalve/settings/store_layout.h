// Where the settings lie in the store.
#pragma once

#include <string>
#include <string_view>

#include "gaugevalve/base/identifiers.h"

namespace gaugevalve::settings {

// Everything of the tree: one range over this prefix reads a consistent state.
inline constexpr std::string_view kTreePrefix = "/gaugevalve/settings/";

// The RootDocument. Every edit compares and puts this key, so edits are totally ordered.
inline constexpr std::string_view kRootKey = "/gaugevalve/settings/root";

// A SubtreeDocument's text lies at this prefix and the service's name.
inline constexpr std::string_view kSubtreePrefix = "/gaugevalve/settings/services/";

// A HistoryEntry lies at this prefix and its revision in fixed width, so keys sort by revision.
inline constexpr std::string_view kHistoryPrefix = "/gaugevalve/settings-history/";

// The lease of the coordinator, which alone writes the capabilities.
inline constexpr std::string_view kCoordinatorLeaseKey = "/gaugevalve/coordinator";

// The Capabilities.
inline constexpr std::string_view kCapabilitiesKey = "/gaugevalve/capabilities";

// History entries that are kept; an edit deletes the one that falls out.
inline constexpr std::uint64_t kHistoryLength = 1000;

// Returns the key of a service's subtree.
std::string SubtreeKey(std::string_view service);

// Returns the key of the history entry of a revision.
std::string HistoryKey(base::Revision revision);

}  // namespace gaugevalve::settings
