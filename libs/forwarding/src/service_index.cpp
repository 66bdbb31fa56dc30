#include "gaugevalve/forwarding/service_index.h"

#include <utility>

namespace gaugevalve::forwarding {

ServiceIndex::ServiceIndex(std::shared_ptr<const control::NodeView> view) : view_(std::move(view)) {
  by_address_.reserve(view_->services.size());
  for (const control::ServiceView& service : view_->services) {
    by_address_.emplace(service.virtual_address, &service);
  }
}

const control::ServiceView* ServiceIndex::Find(const base::SocketAddress& virtual_address) const {
  const auto found = by_address_.find(virtual_address);
  return found == by_address_.end() ? nullptr : found->second;
}

}  // namespace gaugevalve::forwarding
