#include "gaugevalve/settings/service_kind.h"

namespace gaugevalve::settings {

std::string_view ServiceKindName(ServiceKind kind) {
  return kind == ServiceKind::kDatagram ? "datagram" : "http3";
}

std::string_view AdministrativeStateName(AdministrativeState state) {
  return state == AdministrativeState::kServing ? "serving" : "draining";
}

}  // namespace gaugevalve::settings
