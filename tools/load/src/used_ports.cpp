#include "used_ports.h"

#include <charconv>
#include <fstream>
#include <optional>
#include <stdexcept>

#include "gaugevalve/base/finding.h"

namespace gaugevalve::load {
namespace {

std::optional<std::uint16_t> ReadPort(const std::string& line) {
  std::uint16_t port = 0;
  const char* const end = line.data() + line.size();
  const auto [rest, error] = std::from_chars(line.data(), end, port);
  return error == std::errc() && rest == end ? std::optional(port) : std::nullopt;
}

}  // namespace

std::set<std::uint16_t> ReadUsedPorts(const std::string& path) {
  std::set<std::uint16_t> ports;
  base::Findings findings;
  std::ifstream file(path);
  std::string line;
  for (std::size_t number = 1; std::getline(file, line); ++number) {
    const std::optional<std::uint16_t> port = ReadPort(line);
    if (port) {
      ports.insert(*port);
    } else {
      findings.push_back({{path, number, 1, ""}, "'" + line + "' is not a port"});
    }
  }
  if (!findings.empty()) {
    throw base::FindingsError(findings);
  }
  return ports;
}

void WriteUsedPorts(const std::string& path, const std::set<std::uint16_t>& ports) {
  std::ofstream file(path, std::ios::trunc);
  for (const std::uint16_t port : ports) {
    file << port << "\n";
  }
  file.flush();
  if (!file) {
    throw std::runtime_error("can't write " + path);
  }
}

}  // namespace gaugevalve::load
