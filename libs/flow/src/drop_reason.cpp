#include "gaugevalve/flow/drop_reason.h"

namespace gaugevalve::flow {

std::string_view ToString(DropReason reason) {
  switch (reason) {
    case DropReason::kForeignService:
      return "foreign_service";
    case DropReason::kForeignTarget:
      return "foreign_target";
    case DropReason::kWrongBucket:
      return "wrong_bucket";
    case DropReason::kNoTable:
      return "no_table";
    case DropReason::kNoOwner:
      return "no_owner";
    case DropReason::kHopLimit:
      return "hop_limit";
    case DropReason::kStaleTable:
      return "stale_table";
    case DropReason::kNotListed:
      return "not_listed";
    case DropReason::kChainCut:
      return "chain_cut";
    case DropReason::kFlowTableFull:
      return "flow_table_full";
    case DropReason::kSourceLimit:
      return "source_limit";
    case DropReason::kDraining:
      return "draining";
  }
  return "unknown";
}

}  // namespace gaugevalve::flow
