// The exchange of a request that runs at another agent.
#pragma once

#include "exchange.h"
#include "gaugevalve/requests/admission_queue.h"

namespace gaugevalve::agent {

class HandOverService;

// Forwards calls to the HandOverService, which must outlive it.
class HandedOverExchange final : public Exchange {
 public:
  HandedOverExchange(requests::RequestId id, HandOverService& service)
      : id_(id), service_(service) {}
  ~HandedOverExchange() override;

  bool WriteBody(std::span<const std::uint8_t> bytes) override;
  void FinishBody() override;
  void PauseReading() override;
  void ResumeReading() override;

 private:
  requests::RequestId id_;
  HandOverService& service_;
};

}  // namespace gaugevalve::agent
