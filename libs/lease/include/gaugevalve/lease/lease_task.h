// Runs a LeaseHolder over a store client on an event loop.
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

// The shell of LeaseHolder: hands its requests to the store client and calls back when the view
// changes. Not thread-safe: everything runs on the event loop's thread.
class LeaseTask {
 public:
  // Called on the event loop after each change of status, token or `renewal_fails`.
  using Callback = std::function<void(const LeaseView&)>;

  // `loop`, `client` and `clock` must outlive the task. Throws base::FindingsError for settings
  // that can't work.
  LeaseTask(event_base* loop, store::StoreClient& client, const base::Clock& clock,
            LeaseSettings settings, std::uint64_t seed, Callback on_change);
  LeaseTask(const LeaseTask&) = delete;
  LeaseTask& operator=(const LeaseTask&) = delete;

  // Begins to try for the lease.
  void Campaign();

  // Gives the lease up and stops trying. The store is told from the event loop: a task or client
  // destroyed before that leaves the lease to end by itself.
  void Resign();

  // Returns what may be believed now. Ask right before each action: the callback may be late.
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
  // Callbacks of the store client hold this weakly and do nothing after the task's end.
  std::shared_ptr<LeaseTask*> self_ = std::make_shared<LeaseTask*>(this);
};

}  // namespace gaugevalve::lease
