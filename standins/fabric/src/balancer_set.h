// The balancers that the fabric sprays datagrams over.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::standins {

// Chooses a balancer for each datagram on its own, so packets of one flow reach all of them. A
// balancer that is cut still gets its share, which is lost: the fabric hasn't noticed yet.
class BalancerSet {
 public:
  BalancerSet(std::vector<base::SocketAddress> balancers, std::uint64_t seed);

  // Returns a balancer uniformly at random; nothing when there is none or it is cut.
  std::optional<base::SocketAddress> Choose();

  // Returns {"balancers": ["IP:port", ...], "cut": ["IP:port", ...]}.
  std::string ToJson() const;

  // Replaces the lists that the JSON object names. Throws base::FindingsError, having changed
  // nothing, for malformed addresses and for a cut address that is no balancer.
  void ChangeFromJson(std::string_view text);

 private:
  std::vector<base::SocketAddress> balancers_;
  std::vector<base::SocketAddress> cut_;
  base::RandomSource random_;
};

}  // namespace gaugevalve::standins
