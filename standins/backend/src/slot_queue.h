// Which of an endpoint's requests run, wait or are shed.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

namespace gaugevalve::standins {

// What becomes of a request that arrives.
enum class Admission : std::uint8_t {
  kRun,   // it has a slot
  kWait,  // it is in the queue
  kShed,  // there is no room: it must be refused, and has not run
};

// A fixed number of slots and a bounded queue before them, first come first served. A decision
// core: the caller runs what it is told to.
class SlotQueue {
 public:
  using RequestNumber = std::uint64_t;

  SlotQueue(std::size_t slots, std::size_t queue_limit)
      : slots_(slots), queue_limit_(queue_limit) {}

  // Takes in a request; numbers are not used twice.
  Admission Arrive(RequestNumber request);

  // Frees the slot of a request that ended and returns the request that has it now, if any.
  std::optional<RequestNumber> Finish();

  // Takes a request out of the queue; false when it isn't waiting.
  bool Abandon(RequestNumber request);

  std::size_t Slots() const { return slots_; }
  std::size_t Busy() const { return busy_; }
  std::size_t Waiting() const { return waiting_.size(); }

 private:
  std::size_t slots_;
  std::size_t queue_limit_;
  std::size_t busy_ = 0;
  std::deque<RequestNumber> waiting_;
};

}  // namespace gaugevalve::standins
