// A request that is running at the endpoint or at another agent.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>

#include "gaugevalve/quic/http.h"

namespace gaugevalve::agent {

class EndpointEvents;

// The caller's side of a running request. Destroying it before its answer is complete cancels it.
class Exchange {
 public:
  Exchange() = default;
  virtual ~Exchange() = default;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Writes a part of the request's body. Returns false when the send buffer is full: the caller
  // must then wait for OnRequestWritable().
  virtual bool WriteBody(std::span<const std::uint8_t> bytes) = 0;

  // Marks the request as complete. Nothing is sent to an endpoint before the first WriteBody() or
  // this.
  virtual void FinishBody() = 0;

  // Pause or resume the answer, which applies backpressure to its sender. A few parts that are
  // already in transit may still arrive.
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
};

// Starts an exchange, whose events go to the second argument; null when nothing was started.
using ExchangeStarter =
    std::function<std::unique_ptr<Exchange>(const quic::RequestHead&, EndpointEvents&)>;

}  // namespace gaugevalve::agent
