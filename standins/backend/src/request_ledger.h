// What an endpoint knows of the HTTP requests it was given.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace gaugevalve::standins {

// Counts executions; the endpoint itself never refuses to run a reservation twice, so that the
// ledger shows what the system in front of it let through. Holds at most kMaxKeys keys; executions
// under further ones are counted as `unrecorded`, so a comparison sees that it is not complete.
class RequestLedger {
 public:
  static constexpr std::size_t kMaxKeys = 1'000'000;

  // Notes that a reservation began to run. `key` is its Idempotency-Key, "" for none. Returns which
  // execution under this key it is, from 1.
  std::uint64_t RecordReservation(const std::string& key);

  // Note what became of other requests.
  void RecordDrawing() { ++drawings_; }
  void RecordBoard() { ++boards_; }
  void RecordShed() { ++shed_; }            // refused before it ran
  void RecordAbandoned() { ++abandoned_; }  // its caller went away before it ran

  // Returns {"reservations": {key: executions}, "reservations_without_key":.., ...}.
  nlohmann::json ToJson() const;

 private:
  std::map<std::string, std::uint64_t> executions_by_key_;
  std::uint64_t without_key_ = 0;
  std::uint64_t unrecorded_ = 0;
  std::uint64_t drawings_ = 0;
  std::uint64_t boards_ = 0;
  std::uint64_t shed_ = 0;
  std::uint64_t abandoned_ = 0;
};

}  // namespace gaugevalve::standins
