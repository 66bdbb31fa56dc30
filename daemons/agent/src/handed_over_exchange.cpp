#include "handed_over_exchange.h"

#include "hand_over_service.h"

namespace gaugevalve::agent {

HandedOverExchange::~HandedOverExchange() { service_.Cancel(id_); }

bool HandedOverExchange::WriteBody(std::span<const std::uint8_t> bytes) {
  return service_.WriteBody(id_, bytes);
}

void HandedOverExchange::FinishBody() { service_.FinishBody(id_); }

void HandedOverExchange::PauseReading() { service_.SetAnswerPaused(id_, true); }

void HandedOverExchange::ResumeReading() { service_.SetAnswerPaused(id_, false); }

}  // namespace gaugevalve::agent
