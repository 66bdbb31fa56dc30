// Members for the tests of the control cores.
#pragma once

#include <memory>
#include <string>

#include "gaugevalve/control/member_directory.h"

namespace gaugevalve::control {

inline membership::Member MakeBalancer(std::uint64_t node, const std::string& zone,
                                       std::uint64_t incarnation = 1) {
  membership::MemberMetadata metadata;
  metadata.zone = zone;
  metadata.region = "region";
  metadata.process_incarnation = base::Incarnation(incarnation);
  membership::Member member;
  member.node = base::NodeId(node);
  member.incarnation = metadata.process_incarnation;
  member.metadata = std::make_shared<const membership::MemberMetadata>(metadata);
  return member;
}

}  // namespace gaugevalve::control
