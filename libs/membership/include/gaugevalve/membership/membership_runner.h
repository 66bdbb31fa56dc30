// Connects a membership core to a transport.
#pragma once

#include <functional>

#include "gaugevalve/base/clock.h"
#include "gaugevalve/membership/membership.h"
#include "gaugevalve/transport/peer_transport.h"

namespace gaugevalve::membership {

// Passes messages between the core and the transport and delivers events to the owner. The owner's
// event loop must call Tick() at the time that NextWakeUp() returns. Not thread-safe.
class MembershipRunner {
 public:
  // Called with each event, after the core's state has changed. The listener may read the core
  // through Core(), but must not call Leave() or UpdateMetadata() before it returns.
  using Listener = std::function<void(const MembershipEvent&)>;

  // All arguments must outlive the runner. Registers itself as the transport's receiver of
  // membership messages.
  MembershipRunner(Membership& core, transport::PeerTransport& transport, const base::Clock& clock,
                   Listener listener);
  ~MembershipRunner();
  MembershipRunner(const MembershipRunner&) = delete;
  MembershipRunner& operator=(const MembershipRunner&) = delete;

  void Start();
  void Tick();
  base::TimePoint NextWakeUp() const { return core_.NextWakeUp(); }
  void UpdateMetadata(const MemberMetadata& metadata);
  void Leave();

  const Membership& Core() const { return core_; }

 private:
  void Perform(const MembershipActions& actions);

  Membership& core_;
  transport::PeerTransport& transport_;
  const base::Clock& clock_;
  Listener listener_;
};

}  // namespace gaugevalve::membership
