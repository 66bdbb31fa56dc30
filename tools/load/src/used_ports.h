// The source ports of earlier runs against the same deployment, in a file that each run adds to.
#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace gaugevalve::load {

// Returns the ports that the file lists, one a line; none where there is no such file yet.
// Throws base::FindingsError with the place of each line that is no port.
std::set<std::uint16_t> ReadUsedPorts(const std::string& path);

// Replaces the file's content. Throws std::runtime_error when it can't be written.
void WriteUsedPorts(const std::string& path, const std::set<std::uint16_t>& ports);

}  // namespace gaugevalve::load
