// A connection over which reservations are sent.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "answer_checks.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::callers {

// What one attempt carries.
struct AttemptRequest {
  std::string key;                                       // "" for none
  std::optional<std::chrono::milliseconds> time_left{};  // said to the service, when given
};

// Connects by itself, and again when it lost its connection. Everything runs on the loop's thread.
class Caller {
 public:
  // Called once when the attempt has ended, also long after it was given up. Must not send.
  using Done = std::function<void(const load::CheckedAnswer&)>;

  virtual ~Caller() = default;

  // Connects again where needed. To be called every few milliseconds.
  virtual void OnTick() = 0;

  // Tells whether Send() can be expected to succeed.
  virtual bool IsReady() const = 0;

  // Sends a reservation; returns false, without calling `done`, when it was not sent.
  virtual bool Send(const AttemptRequest& request, Done done) = 0;

  // Hears that an attempt got no answer within the caller's patience.
  virtual void OnGivenUp() = 0;

  // Closes the connection for good and tells the other side, where the protocol can. What is in
  // progress gets no outcome any more.
  virtual void Close() = 0;
};

}  // namespace gaugevalve::callers
