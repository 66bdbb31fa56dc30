#include "flow_ledger.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace gaugevalve::standins {

FlowLedger::FlowLedger(std::string service) : service_(std::move(service)) {}

void FlowLedger::Record(const EchoRequest& request) {
  ++requests_;
  if (request.service != service_) {
    ++foreign_;
    return;
  }
  const auto flow = requests_by_flow_.find(request.flow);
  if (flow != requests_by_flow_.end()) {
    ++flow->second;
  } else if (requests_by_flow_.size() < kMaxFlows) {
    requests_by_flow_.emplace(request.flow, 1);
  } else {
    ++unrecorded_;
  }
}

nlohmann::json FlowLedger::ToJson() const {
  nlohmann::json flows = nlohmann::json::array();
  for (const auto& [flow, requests] : requests_by_flow_) {
    flows.push_back(flow);
  }
  return {{"requests", requests_},
          {"foreign", foreign_},
          {"malformed", malformed_},
          {"unrecorded", unrecorded_},
          {"flows", std::move(flows)}};
}

}  // namespace gaugevalve::standins
