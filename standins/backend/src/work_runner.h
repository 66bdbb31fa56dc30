// Runs the endpoint's requests that need a slot: reservations and drawings.
#pragma once

#include <event2/event.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "endpoint_faults.h"
#include "endpoint_identity.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/tasks/timer.h"
#include "http_response.h"
#include "request_ledger.h"
#include "service_time.h"
#include "slot_queue.h"

namespace gaugevalve::standins {

// How much runs at once, and how fast.
struct WorkSettings {
  std::size_t slots = 0;
  std::size_t queue_limit = 0;
  ServiceTimeSettings service_time;
  std::size_t drawing_bytes = 0;
};

// Takes requests in, runs them in slots for the service time, and answers. A request whose caller
// goes away: is dropped while it waits; if it is a drawing, is given up while it runs; if it is a
// reservation that runs, runs to its end. Runs on the loop's thread; `faults` and `ledger` must
// outlive it.
class WorkRunner {
 public:
  WorkRunner(event_base* loop, const WorkSettings& settings, EndpointIdentity identity,
             const EndpointFaults& faults, RequestLedger& ledger);
  ~WorkRunner();
  WorkRunner(const WorkRunner&) = delete;
  WorkRunner& operator=(const WorkRunner&) = delete;

  // Take in a request; the answer follows later, or at once when it is shed.
  void AdmitReservation(evhtp_request_t* request);
  void AdmitDrawing(evhtp_request_t* request, std::uint64_t drawing);

  // Returns the slots and who is in them.
  const SlotQueue& Slots() const { return slots_; }

 private:
  struct Work;

  static evhtp_res OnRequestEnd(evhtp_request_t* request, void* work);

  void Admit(std::unique_ptr<Work> work);
  void Shed(evhtp_request_t* request);
  void Run(Work& work);
  void OnTimer(Work& work);
  void EndRun(Work& work);
  void SendAnswer(Work& work);
  void OnCallerGone(Work& work);
  void Retire(Work& work);

  event_base* loop_;
  WorkSettings settings_;
  EndpointIdentity identity_;
  const EndpointFaults& faults_;
  RequestLedger& ledger_;
  base::SystemClock clock_;
  base::TimePoint started_at_;
  base::RandomSource random_;  // for cut answers
  SlotQueue slots_;
  std::uint64_t requests_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Work>> work_;  // by request number
  std::vector<std::unique_ptr<Work>> retired_;           // freed outside of their own callbacks
  tasks::Timer retire_timer_;
};

}  // namespace gaugevalve::standins
