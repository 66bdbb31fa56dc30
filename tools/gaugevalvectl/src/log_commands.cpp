#include "log_commands.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "flow_story.h"
#include "gaugevalve/base/finding.h"

namespace gaugevalve::ctl {
namespace {

constexpr char kStandardInput[] = "-";

std::string ReadAll(std::istream& stream) {
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

nlohmann::ordered_json ToJson(const NodeLine& entry) {
  nlohmann::ordered_json json = {
      {"node", entry.node}, {"time_ms", entry.common_ms}, {"event", entry.line.event}};
  if (entry.step_ms != 0) {
    json["clock_off_ms"] = entry.step_ms;
  }
  json["fields"] = entry.line.fields;
  return json;
}

nlohmann::ordered_json ToJson(const std::vector<NodeLine>& entries) {
  nlohmann::ordered_json json = nlohmann::ordered_json::array();
  for (const NodeLine& entry : entries) {
    json.push_back(ToJson(entry));
  }
  return json;
}

// Adds the files' lines; a file that can't be read is a finding.
void AddFiles(const std::vector<std::string>& files, LogArchive& archive,
              base::Findings& findings) {
  for (const std::string& file : files) {
    if (file == kStandardInput) {
      archive.Add("stdin", ReadAll(std::cin));
      continue;
    }
    std::ifstream stream(file);
    if (!stream) {
      findings.push_back({{file, 0, 0, ""}, "can't be read"});
      continue;
    }
    archive.Add(std::filesystem::path(file).stem().string(), ReadAll(stream));
  }
}

}  // namespace

ExitCode ExplainLog(const CommandContext& context, const std::vector<std::string>& arguments) {
  base::Findings findings;
  const std::string& client = arguments.front();
  if (!base::SocketAddress::Parse(client)) {
    findings.push_back({{"CLIENT", 0, 0, ""}, "'" + client + "' is not an IP address and port"});
  }
  LogArchive archive;
  AddFiles({arguments.begin() + 1, arguments.end()}, archive, findings);
  if (!findings.empty()) {
    throw base::FindingsError(std::move(findings));
  }
  archive.Order();
  const FlowStory story = TellFlowStory(archive, client);
  context.Print(FormatFlowStory(story), {{"background", ToJson(story.background)},
                                         {"course", ToJson(story.course)},
                                         {"conclusion", story.conclusion},
                                         {"lines_skipped", archive.SkippedCount()}});
  return story.course.empty() ? ExitCode::kNothingFound : ExitCode::kOk;
}

}  // namespace gaugevalve::ctl
