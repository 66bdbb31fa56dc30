#include "gaugevalve/routing/agent_incarnation.h"

namespace gaugevalve::routing {

std::string_view ToString(ContactSource source) {
  switch (source) {
    case ContactSource::kMembership:
      return "membership";
    case ContactSource::kDissemination:
      return "dissemination";
    case ContactSource::kControl:
      return "control";
    case ContactSource::kHandOver:
      return "hand-over";
  }
  return "unknown";
}

}  // namespace gaugevalve::routing
