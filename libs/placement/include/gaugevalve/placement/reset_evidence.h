/// @file
/// The evidence on which a flow was taken for ended and its client was sent a reset, for logs and
/// metrics.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::placement {

/// Why a flow counts as ended.
enum class ResetBasis : std::uint8_t {
  kReturnedByAll,      ///< every agent that was asked returned its packet
  kReturnedByHolder,   ///< the agent whose endpoint was known to hold it returned its packet
  kEndpointReplaced,   ///< another incarnation of the endpoint has started
  kHolderAbsent,       ///< nothing listens at the address of the endpoint that held it
  kHolderUnreachable,  ///< the holder's agent answered no query
  kHolderSilent,       ///< the holder's agent has sent nothing for the silence limit
};
inline constexpr std::size_t kResetBasisCount =
    static_cast<std::size_t>(ResetBasis::kHolderSilent) + 1;

/// Returns the name for logs and metrics.
const char* ResetBasisName(ResetBasis basis);

/// Why a search does not ask an agent.
enum class Omission : std::uint8_t {
  kAbsent,       ///< it reports that nothing listens at its endpoint's address
  kUnreachable,  ///< it answered no query
  kSilent,       ///< it has sent nothing for the silence limit
  kNotListed,    ///< its service is not the route's, and its report does not list the address
};
inline constexpr std::size_t kOmissionCount = static_cast<std::size_t>(Omission::kNotListed) + 1;

/// Returns the name for logs and metrics.
const char* OmissionName(Omission omission);

/// Agents that a search left out for the same reason.
struct OmittedAgents {
  std::size_t count = 0;
  base::SocketAddress oldest_agent;  ///< the one with the oldest information
  base::Duration oldest{0};          ///< age of that information
  base::Duration newest{0};          ///< age of the newest information

  void Add(const base::SocketAddress& agent, base::Duration age);
};

/// Which agents a search has covered.
struct SearchCoverage {
  std::vector<base::SocketAddress> asked;  ///< they returned the packet
  std::array<OmittedAgents, kOmissionCount> omitted{};
};

/// What was known when a flow was taken for ended.
struct ResetEvidence {
  ResetBasis basis = ResetBasis::kReturnedByAll;
  /// Agent that last counted as the flow's holder. For a search: the agent asked last.
  base::SocketAddress holder{};
  /// Age of the information about `holder` on which `basis` relies.
  base::Duration holder_age{0};
  base::Duration learning_age{0};  ///< time since the process has started or resumed after a pause
};

}  // namespace gaugevalve::placement
