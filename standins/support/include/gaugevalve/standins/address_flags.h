// Reads the addresses in command line flags; what can't be read is a finding.
#pragma once

#include <string>
#include <vector>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::standins {

// An address with the name of what serves it.
struct NamedAddress {
  std::string name;
  base::SocketAddress address;

  friend bool operator==(const NamedAddress&, const NamedAddress&) = default;
};

// Each adds a finding that names `flag` for every part of `text` that is malformed, and returns
// what it could read.

// Reads "IP:port".
base::SocketAddress ReadAddress(const std::string& flag, const std::string& text,
                                base::Findings& findings);

// Reads "IP:port,IP:port"; an empty text is no address.
std::vector<base::SocketAddress> ReadAddresses(const std::string& flag, const std::string& text,
                                               base::Findings& findings);

// Reads "name=IP:port,name=IP:port"; an empty text is no address.
std::vector<NamedAddress> ReadNamedAddresses(const std::string& flag, const std::string& text,
                                             base::Findings& findings);

}  // namespace gaugevalve::standins
