// What every command gets: the options of the command line and where to write.
#pragma once

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "exit_code.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "settings_store.h"

namespace gaugevalve::ctl {

enum class OutputFormat : std::uint8_t { kText, kJson };

// The options, checked.
struct Options {
  OutputFormat format = OutputFormat::kText;
  std::vector<base::SocketAddress> store_endpoints;
  std::vector<base::SocketAddress> nodes;  // admin addresses
  base::Duration timeout{0};               // for a whole edit or one round of asking nodes
  std::string author;
  std::string comment;
  bool dry_run = false;
  bool effective = false;
  std::size_t limit = 0;
};

// A command's surroundings; everything in it outlives the command.
struct CommandContext {
  const Options& options;
  SettingsStore& store;
  std::ostream& out;  // results
  std::ostream& err;  // complaints

  // Writes the result in the format asked for. The text is written as it is.
  void Print(const std::string& text, const nlohmann::ordered_json& json) const;
};

}  // namespace gaugevalve::ctl
