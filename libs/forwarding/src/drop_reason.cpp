#include "gaugevalve/forwarding/drop_reason.h"

namespace gaugevalve::forwarding {

std::string_view ToString(DropReason reason) {
  switch (reason) {
    case DropReason::kNoView:
      return "no_view";
    case DropReason::kUnknownVirtualAddress:
      return "unknown_virtual_address";
    case DropReason::kNoTable:
      return "no_table";
    case DropReason::kNoOwner:
      return "no_owner";
    case DropReason::kNotQuic:
      return "not_quic";
    case DropReason::kSourceLimit:
      return "source_limit";
  }
  return "unknown";
}

}  // namespace gaugevalve::forwarding
