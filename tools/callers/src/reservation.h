// One reservation as its caller sees it: attempts with the same key, until the outcome is known.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "gaugevalve/base/time.h"
#include "http3_report.h"

namespace gaugevalve::callers {

using load::CallerOutcome;

// Keeps the outcome of each attempt. A value without sockets or clocks.
class Reservation {
 public:
  // `key` is the idempotency key of all attempts, "" for none.
  explicit Reservation(std::string key) : key_(std::move(key)) {}

  // Notes that an attempt is sent and returns its number, from 0.
  std::size_t Begin(base::TimePoint now);

  // Notes how an attempt ended; also one that was given up by then.
  void End(std::size_t attempt, CallerOutcome outcome);

  // Tells whether the attempt has no outcome yet.
  bool IsRunning(std::size_t attempt) const { return !attempts_.at(attempt).has_ended; }

  // Returns what the caller may rely on: answered when an attempt was; not run when every attempt
  // was refused with the promise that it didn't run; unknown otherwise.
  CallerOutcome Verdict() const;

  // Returns when the attempt was sent.
  base::TimePoint SentAt(std::size_t attempt) const { return attempts_.at(attempt).sent_at; }

  std::size_t Attempts() const { return attempts_.size(); }
  const std::string& Key() const { return key_; }

 private:
  struct Attempt {
    base::TimePoint sent_at;
    bool has_ended = false;
    CallerOutcome outcome = CallerOutcome::kUnknown;
  };

  std::string key_;
  std::vector<Attempt> attempts_;
};

}  // namespace gaugevalve::callers
