// Runs a LeaseHolder with a store client on an event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "gaugevalve/base/clock.h"
#include "gaugevalve/lease/lease_holder.h"
#include "gaugevalve/store/store_client.h"
#include "gaugevalve/tasks/timer.h"

struct event_base;

namespace gaugevalve::lease {

// Drives a LeaseHolder: passes its requests to the store client and reports changes of its view.
// Not thread-safe: everything runs on the thread of the event loop.
class LeaseTask {
 public:
  // Called on the event loop after each change of status, token or `renewal_fails`.
  using Callback = std::function<void(const LeaseView&)>;

  // `loop`, `client` and `clock` must outlive the task. Throws base::FindingsError if the settings
  // are invalid.
  LeaseTask(event_base* loop, store::StoreClient& client, const base::Clock& clock,
            LeaseSettings settings, std::uint64_t seed, Callback on_change);
  LeaseTask(const LeaseTask&) = delete;
  LeaseTask& operator=(const LeaseTask&) = delete;

  // Starts to compete for the lease.
  void Campaign();

  // Gives the lease up and stops competing for it. The request to the store is sent from the event
  // loop: if the task or the client is destroyed before that, the lease expires in the store.
  void Resign();

  // Returns the state of the lease now. Must be called right before each action, because the
  // callback may be late.
  LeaseView View() const { return holder_.View(clock_.Now()); }

 private:
  void Advance();
  void Submit(LeaseRequest request);
  void ReportChange();

  store::StoreClient& client_;
  const base::Clock& clock_;
  LeaseHolder holder_;
  Callback on_change_;
  tasks::Timer timer_;
  LeaseView reported_;
  // Callbacks of the store client hold this weakly, so that they do nothing after the task is
  // destroyed.
  std::shared_ptr<LeaseTask*> self_ = std::make_shared<LeaseTask*>(this);
};

}  // namespace gaugevalve::lease
