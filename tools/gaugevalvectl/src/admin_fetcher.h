// Asks the admin ports of many nodes at once.
#pragma once

#include <string>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::ctl {

// One node's answer.
struct AdminAnswer {
  base::SocketAddress address;
  int status = 0;     // HTTP status; 0 when there was no answer
  std::string body;   // of an answer
  std::string error;  // why there is none
};

// GETs a path from admin ports over HTTP/1.1 (libevent), at most kConcurrency at a time, each
// within a time limit and 1 MB. Not thread-safe; Fetch() waits.
class AdminFetcher {
 public:
  static constexpr std::size_t kConcurrency = 32;
  static constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 20U;

  explicit AdminFetcher(base::Duration timeout) : timeout_(timeout) {}

  // Returns an answer for each address, in their order. `path` may have a query.
  std::vector<AdminAnswer> Fetch(const std::vector<base::SocketAddress>& addresses,
                                 const std::string& path) const;

 private:
  base::Duration timeout_;
};

}  // namespace gaugevalve::ctl
