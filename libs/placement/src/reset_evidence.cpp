#include "gaugevalve/placement/reset_evidence.h"

#include <algorithm>

namespace gaugevalve::placement {

const char* ResetBasisName(ResetBasis basis) {
  constexpr const char* kNames[kResetBasisCount] = {"returned_by_all",    "returned_by_holder",
                                                    "endpoint_replaced",  "holder_absent",
                                                    "holder_unreachable", "holder_silent"};
  return kNames[static_cast<std::size_t>(basis)];
}

const char* OmissionName(Omission omission) {
  constexpr const char* kNames[kOmissionCount] = {"absent", "unreachable", "silent", "not_listed"};
  return kNames[static_cast<std::size_t>(omission)];
}

void OmittedAgents::Add(const base::SocketAddress& agent, base::Duration age) {
  newest = count == 0 ? age : std::min(newest, age);
  if (count == 0 || age > oldest) {
    oldest_agent = agent;
    oldest = age;
  }
  ++count;
}

}  // namespace gaugevalve::placement
