// Follows the edits of the tree as they are committed.
#pragma once

#include <string>
#include <vector>

#include "command_context.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/store/store_client.h"

namespace gaugevalve::ctl {

// Prints each edit once, in order: first the newest one there is, then every later one. In JSON
// each edit is one line.
class HistoryPrinter final : public store::WatchObserver {
 public:
  // `context` must outlive the printer.
  explicit HistoryPrinter(const CommandContext& context) : context_(context) {}

  void OnSnapshot(const store::WatchSnapshot& snapshot) override;
  void OnChanges(const store::WatchChanges& changes) override;
  void OnStreaming(bool streaming) override;

 private:
  void PrintIfNew(const store::KeyValue& key_value);

  const CommandContext& context_;
  base::Revision printed_;  // newest revision printed
};

// Runs until SIGINT or SIGTERM.
ExitCode WatchTree(const CommandContext& context, const std::vector<std::string>& arguments);

}  // namespace gaugevalve::ctl
