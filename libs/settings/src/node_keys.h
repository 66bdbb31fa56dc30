// The keys of a node's settings file with what they mean.
#pragma once

#include <span>
#include <string_view>

namespace gaugevalve::settings {

// Whether a key must be there.
enum class KeyNeed { kRequired, kOptional, kRequiredForAgents };

// One key of a mapping.
struct NodeKey {
  std::string_view name;
  KeyNeed need;
  std::string_view description;
};

// Keys of the file, of its "agent" section, of its "static" section, and of the items in that.
std::span<const NodeKey> NodeKeys();
std::span<const NodeKey> AgentKeys();
std::span<const NodeKey> StaticKeys();
std::span<const NodeKey> StaticServiceKeys();
std::span<const NodeKey> StaticAgentKeys();

}  // namespace gaugevalve::settings
