// What an endpoint knows of the datagram flows it served.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "gaugevalve/standins/echo_message.h"

namespace gaugevalve::standins {

// Counts requests by flow. Holds at most kMaxFlows flows; requests of further ones are still
// counted in total and `unrecorded`, so a comparison sees that the ledger is not complete.
class FlowLedger {
 public:
  static constexpr std::size_t kMaxFlows = 1'000'000;

  explicit FlowLedger(std::string service);

  // Notes a request that arrived, also when it was meant for another service.
  void Record(const EchoRequest& request);

  // Notes a datagram that was no request.
  void RecordMalformed() { ++malformed_; }

  // Returns {"requests":..,"foreign":..,"malformed":..,"unrecorded":..,"flows":[numbers]}.
  nlohmann::json ToJson() const;

 private:
  std::string service_;
  absl::flat_hash_map<std::uint64_t, std::uint64_t> requests_by_flow_;
  std::uint64_t requests_ = 0;
  std::uint64_t foreign_ = 0;  // meant for another service: must stay 0
  std::uint64_t malformed_ = 0;
  std::uint64_t unrecorded_ = 0;
};

}  // namespace gaugevalve::standins
