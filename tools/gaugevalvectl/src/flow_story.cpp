#include "flow_story.h"

#include <absl/time/time.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <optional>
#include <utility>

namespace gaugevalve::ctl {
namespace {

// Clocks that are this close are taken as equal.
constexpr std::int64_t kClockSlackMs = 200;
constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;

struct Meaning {
  std::string_view key;
  std::string_view text;
};

constexpr std::array<Meaning, 11> kReasons{{
    {"remembered", "its packets go to the agent that is known to have it"},
    {"placed", "it was given to the least loaded endpoint"},
    {"searched", "no balancer remembered it; agents were asked who holds it"},
    {"no_routes", "the balancer had no configuration yet"},
    {"no_route", "the balancer's configuration has no such address"},
    {"route_removed", "a configuration removed its route"},
    {"no_endpoint", "no endpoint of the service took new flows"},
    {"all_refused", "every endpoint returned the opening packet: full, leaving or silent"},
    {"held_by_none", "no endpoint holds it any more"},
    {"not_sure", "the balancer was too young to know all agents; the client's next packet decides"},
    {"too_many_passes", "the packet had been passed on too often"},
}};

std::string_view MeaningOf(std::string_view reason) {
  const auto found = std::find_if(kReasons.begin(), kReasons.end(),
                                  [&](const Meaning& entry) { return entry.key == reason; });
  return found == kReasons.end() ? std::string_view("the reason isn't known to this program")
                                 : found->text;
}

// The last word before the line, as a collector of logs writes the node's name.
std::string NodeOf(const telemetry::LogLine& line, std::string_view node) {
  const std::size_t end = line.prefix.find_last_not_of(" :|");
  if (end == std::string::npos) {
    return std::string(node);
  }
  const std::size_t before = line.prefix.find_last_of(" :|", end);
  const std::size_t begin = before == std::string::npos ? 0 : before + 1;
  return line.prefix.substr(begin, end - begin + 1);
}

bool BeginsLife(const telemetry::LogLine& line) {
  return line.event == "balancer_started" || line.event == "agent_started";
}

std::int64_t ClockOffset(const telemetry::LogLine& line) {
  return line.time_ms - line.steady_us / kMicrosecondsPerMillisecond;
}

// Places one life's lines by the middle of its clock's offsets.
void PlaceLife(std::span<NodeLine* const> life) {
  std::vector<std::int64_t> offsets;
  for (const NodeLine* entry : life) {
    if (entry->line.steady_us != 0) {
      offsets.push_back(ClockOffset(entry->line));
    }
  }
  if (offsets.empty()) {
    return;
  }
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  for (NodeLine* entry : life) {
    if (entry->line.steady_us == 0) {
      continue;
    }
    entry->common_ms = *middle + entry->line.steady_us / kMicrosecondsPerMillisecond;
    const std::int64_t step = entry->line.time_ms - entry->common_ms;
    entry->step_ms = std::abs(step) > kClockSlackMs ? step : 0;
  }
}

bool IsAbout(const telemetry::LogLine& line, std::string_view client) {
  return line.Get("client") == client;
}

// What an event tells about, so that the newest of its kind is the state of that thing.
std::optional<std::string> SubjectOf(const NodeLine& entry) {
  const telemetry::LogLine& line = entry.line;
  if (BeginsLife(line)) {
    return entry.node + " life";
  }
  if (line.event == "configuration_in_force") {
    return entry.node + " configuration";
  }
  if (line.event == "store_lost" || line.event == "store_regained") {
    return entry.node + " store";
  }
  if (line.event == "agent_standing") {
    return entry.node + " agent " + std::string(line.Get("agent"));
  }
  if (line.event == "endpoint_announced" || line.event == "endpoint_deregistered" ||
      line.event == "endpoint_probed") {
    return entry.node + " endpoint";
  }
  return std::nullopt;
}

// The subjects whose state explains a line about a flow.
std::vector<std::string> SubjectsBehind(const NodeLine& entry) {
  std::vector<std::string> subjects{entry.node + " life", entry.node + " configuration",
                                    entry.node + " store", entry.node + " endpoint"};
  if (const auto agent = entry.line.Find("agent")) {
    subjects.push_back(entry.node + " agent " + std::string(*agent));
  }
  return subjects;
}

std::string Conclude(const NodeLine& last) {
  const telemetry::LogLine& line = last.line;
  std::string text = "last seen on " + last.node + ": ";
  if (line.event == "packet_decided") {
    text += std::string(line.Get("verdict")) + ", " + std::string(MeaningOf(line.Get("reason")));
  } else if (line.event == "opening_returned") {
    text += "the agent returned the opening packet (" + std::string(line.Get("reason")) + ", " +
            std::string(line.Get("busy")) + " busy of " + std::string(line.Get("capacity")) + ")";
  } else if (line.event == "opening_delivered") {
    text += "the opening packet was given to the endpoint";
  } else if (line.event == "holder_found") {
    text += "its endpoint was found beside " + std::string(line.Get("agent"));
  } else {
    text += line.event;
  }
  return text;
}

void AppendLine(std::string& text, const NodeLine& entry) {
  const absl::Time time = absl::FromUnixMillis(entry.common_ms);
  text += absl::FormatTime("%H:%M:%E3S", time, absl::UTCTimeZone()) + "  " + entry.node + "  " +
          entry.line.event;
  for (const auto& [key, value] : entry.line.fields) {
    if (key != "client" && key != "destination") {
      text.append("  ").append(key).append("=").append(value);
    }
  }
  if (entry.step_ms != 0) {
    text += "  (its clock was off by " + std::to_string(entry.step_ms) + " ms)";
  }
  text += "\n";
}

}  // namespace

void LogArchive::Add(std::string_view node, std::string_view text) {
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::optional<telemetry::LogLine> line = telemetry::ParseLogLine(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    if (!line) {
      ++m_skipped;
      continue;
    }
    NodeLine entry;
    entry.node = NodeOf(*line, node);
    entry.common_ms = line->time_ms;
    entry.line = *std::move(line);
    m_lines.push_back(std::move(entry));
  }
}

void LogArchive::Order() {
  std::map<std::string, std::vector<NodeLine*>> lives;
  for (NodeLine& entry : m_lines) {
    std::vector<NodeLine*>& life = lives[entry.node];
    if (BeginsLife(entry.line)) {
      PlaceLife(life);
      life.clear();
    }
    life.push_back(&entry);
  }
  for (const auto& [node, life] : lives) {
    PlaceLife(life);
  }
  std::stable_sort(m_lines.begin(), m_lines.end(), [](const NodeLine& left, const NodeLine& right) {
    return left.common_ms < right.common_ms;
  });
}

FlowStory TellFlowStory(const LogArchive& archive, std::string_view client) {
  FlowStory story;
  std::map<std::string, const NodeLine*> state;  // by subject
  std::set<const NodeLine*> told;
  for (const NodeLine& entry : archive.Lines()) {
    if (const auto subject = SubjectOf(entry)) {
      state[*subject] = &entry;
    }
    if (!IsAbout(entry.line, client)) {
      continue;
    }
    for (const std::string& subject : SubjectsBehind(entry)) {
      const auto found = state.find(subject);
      if (found != state.end() && told.insert(found->second).second) {
        story.background.push_back(*found->second);
      }
    }
    story.course.push_back(entry);
  }
  if (!story.course.empty()) {
    story.conclusion = Conclude(story.course.back());
  }
  return story;
}

std::string FormatFlowStory(const FlowStory& story) {
  if (story.course.empty()) {
    return "no line is about this flow: its usual packets may have been left out of the logs, or "
           "none of them came\n";
  }
  const telemetry::LogLine& first = story.course.front().line;
  std::string text = "flow " + std::string(first.Get("client")) + " -> " +
                     std::string(first.Get("destination")) + "\nwhat was known:\n";
  for (const NodeLine& entry : story.background) {
    AppendLine(text, entry);
  }
  text += "its course:\n";
  for (const NodeLine& entry : story.course) {
    AppendLine(text, entry);
  }
  return text + story.conclusion + "\n";
}

}  // namespace gaugevalve::ctl
