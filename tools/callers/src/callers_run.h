// The run of gaugevalve-callers: reservations fall due at a fixed rate and are repeated.
#pragma once

#include <event2/event.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "caller.h"
#include "callers_report.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/tasks/timer.h"
#include "reservation.h"

namespace gaugevalve::callers {

// How the callers behave.
struct CallersSettings {
  std::string service;
  double requests_per_second = 0;  // whether or not earlier ones are answered
  base::Duration warm_up{};        // at the start, not in the counts
  base::Duration duration{};       // after the warm-up
  base::Duration deadline{};       // an answer that comes later has no use any more
  bool says_deadline = false;      // to the service, in grpc-timeout
  bool is_keyed = true;
  bool has_timed_keys = true;  // UUIDs of version 7, whose time the service can read
  std::size_t attempts = 1;    // of a reservation, at most
  double echo_share = 0;       // of answered reservations that are sent once more all the same
  base::Duration patience{};   // without an answer, after which an attempt is given up
  base::Duration repeat_after{};
  std::uint64_t seed = 1;
};

// Sends each reservation on a random ready connection, so that repeats come to other agents too.
// Ends by itself. On the loop's thread.
class CallersRun {
 public:
  // Reservations of one run at most; the run ends there.
  static constexpr std::size_t kMaxReservations = 1'000'000;

  // `loop`, `clock` and `report` must outlive this.
  CallersRun(event_base* loop, const base::Clock& clock, const CallersSettings& settings,
             std::vector<std::unique_ptr<Caller>> callers, CallersReport& report);

  void Start();

  // Lets no further reservation fall due; those that did are repeated until they are settled.
  void EndSoon() { is_ending_ = true; }

 private:
  // An attempt that may have to be given up, or a reservation to be repeated.
  struct Due {
    base::TimePoint at;
    std::size_t reservation = 0;
    std::size_t attempt = 0;
  };

  void OnTick();
  void BeginWhenReady(base::TimePoint now);
  void SendDue(base::TimePoint now);
  void GiveUpDue(base::TimePoint now);
  void RepeatDue(base::TimePoint now);
  void AddReservation(base::TimePoint now);
  bool SendAttempt(std::size_t index, base::TimePoint now);
  Caller* PickReady();
  void OnAnswer(std::size_t index, std::size_t attempt, const load::CheckedAnswer& answer);
  void CountFirst(std::size_t index, const load::CheckedAnswer& answer, base::TimePoint now);
  void PlanRepeat(std::size_t index, base::TimePoint now);
  bool IsMeasured(base::TimePoint sent_at) const;
  std::string MakeKey();
  void Finish();

  event_base* loop_;
  const base::Clock& clock_;
  CallersSettings settings_;
  std::vector<std::unique_ptr<Caller>> callers_;
  CallersReport& report_;
  base::RandomSource random_;
  std::deque<Reservation> reservations_;  // of the whole run: late answers still find theirs
  std::deque<Due> given_up_at_;           // in the order of time, as the patience is constant
  std::deque<Due> repeats_;               // likewise
  base::TimePoint started_at_{};
  base::TimePoint began_at_{};  // when the first reservation could fall due
  base::TimePoint next_due_{};
  bool has_begun_ = false;
  bool is_ending_ = false;
  tasks::Timer tick_;
};

}  // namespace gaugevalve::callers
