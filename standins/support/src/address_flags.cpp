#include "gaugevalve/standins/address_flags.h"

#include <sstream>

namespace gaugevalve::standins {
namespace {

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

}  // namespace

base::SocketAddress ReadAddress(const std::string& flag, const std::string& text,
                                base::Findings& findings) {
  const std::optional<base::SocketAddress> address = base::SocketAddress::Parse(text);
  if (!address) {
    findings.push_back({{flag, 0, 0, ""}, "'" + text + "' is not an IP:port"});
  }
  return address.value_or(base::SocketAddress{});
}

std::vector<base::SocketAddress> ReadAddresses(const std::string& flag, const std::string& text,
                                               base::Findings& findings) {
  std::vector<base::SocketAddress> addresses;
  for (const std::string& part : SplitList(text)) {
    addresses.push_back(ReadAddress(flag, part, findings));
  }
  return addresses;
}

std::vector<NamedAddress> ReadNamedAddresses(const std::string& flag, const std::string& text,
                                             base::Findings& findings) {
  std::vector<NamedAddress> addresses;
  for (const std::string& part : SplitList(text)) {
    const std::size_t separator = part.find('=');
    if (separator == 0 || separator == std::string::npos) {
      findings.push_back({{flag, 0, 0, ""}, "'" + part + "' is not name=IP:port"});
      continue;
    }
    const base::SocketAddress address = ReadAddress(flag, part.substr(separator + 1), findings);
    addresses.push_back({part.substr(0, separator), address});
  }
  return addresses;
}

}  // namespace gaugevalve::standins
