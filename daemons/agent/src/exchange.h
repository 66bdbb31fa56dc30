// One request under way at whoever runs it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>

#include "gaugevalve/quic/http.h"

namespace gaugevalve::agent {

class EndpointEvents;

// What the caller's side needs of it. Destroying it before its answer is whole cancels it.
class Exchange {
 public:
  Exchange() = default;
  virtual ~Exchange() = default;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Writes a part of the request's body. Returns false when much of it still waits to be sent: wait
  // for OnRequestWritable().
  virtual bool WriteBody(std::span<const std::uint8_t> bytes) = 0;

  // The request is whole. Nothing is sent to an endpoint before the first WriteBody() or this.
  virtual void FinishBody() = 0;

  // Stops and restarts the answer, so that its sender has to wait. A few parts that were on their
  // way may still come.
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
};

// Starts an exchange, whose events go to the second argument; null when nothing was started.
using ExchangeStarter =
    std::function<std::unique_ptr<Exchange>(const quic::RequestHead&, EndpointEvents&)>;

}  // namespace gaugevalve::agent
