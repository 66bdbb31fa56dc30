// Finds a service by its virtual address.
#pragma once

#include <memory>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/control/node_view.h"

namespace gaugevalve::forwarding {

// A hash index over the services of one NodeView, built once when the view arrives, so that a
// look-up takes the same time with one service as with a thousand. Keeps the view alive.
class ServiceIndex {
 public:
  // An index over nothing.
  ServiceIndex() = default;

  // Where two services have one virtual address the first counts; the settings checker doesn't let
  // that happen.
  explicit ServiceIndex(std::shared_ptr<const control::NodeView> view);

  // Returns the service with this virtual address, or null. Valid while the index lives.
  const control::ServiceView* Find(const base::SocketAddress& virtual_address) const;

  // Tells whether there is a view.
  bool HasView() const { return view_ != nullptr; }

 private:
  std::shared_ptr<const control::NodeView> view_;
  absl::flat_hash_map<base::SocketAddress, const control::ServiceView*> by_address_;
};

}  // namespace gaugevalve::forwarding
