/// @file
/// One flow's course over all nodes, put together from their logs.
#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/telemetry/log_line.h"

namespace gaugevalve::ctl {

/// A log line with the node that wrote it and its place on the nodes' common time line.
struct NodeLine {
  std::string node;
  telemetry::LogLine line;
  std::int64_t common_ms = 0;  ///< time of day, mended where the node's clock was set
  std::int64_t step_ms = 0;    ///< how far the line's own time of day lies from that
};

/// The logs of some nodes.
class LogArchive {
 public:
  /// Adds one node's output. Lines that are no events are counted and passed over.
  /// @param node  its name, for lines that don't bring one of their own before the time
  void Add(std::string_view node, std::string_view text);

  /// Puts the lines in order. A node's clock may be set forward or back for a while: its lines are
  /// placed by its steady clock, from the middle of what its time of day says in each life.
  void Order();

  std::span<const NodeLine> Lines() const { return m_lines; }
  std::size_t SkippedCount() const { return m_skipped; }

 private:
  std::vector<NodeLine> m_lines;
  std::size_t m_skipped = 0;
};

/// What the logs tell of one flow.
struct FlowStory {
  std::vector<NodeLine> course;      ///< lines about the flow, in order
  std::vector<NodeLine> background;  ///< the last line before each of them that explains it
  std::string conclusion;            ///< what became of it, in words; empty when nothing was found
};

/// Returns the story of the flow from this client.
/// @param archive  ordered
/// @param client  address and port, as in 192.0.2.1:40001
FlowStory TellFlowStory(const LogArchive& archive, std::string_view client);

/// Returns the story as text, a line an event.
std::string FormatFlowStory(const FlowStory& story);

}  // namespace gaugevalve::ctl
