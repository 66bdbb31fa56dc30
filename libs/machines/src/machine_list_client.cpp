#include "gaugevalve/machines/machine_list_client.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::machines {

MachineListClient::MachineListClient(event_base* loop, const base::SocketAddress& address,
                                     const base::Clock& clock,
                                     const MachineListPollerSettings& settings, std::uint64_t seed,
                                     Callback on_list)
    : clock_(clock),
      poller_(settings, seed),
      on_list_(std::move(on_list)),
      timer_(loop, [this] { Advance(); }),
      exchange_(loop, address, http_client::HttpExchange::Kind::kAnswer, *this) {
  timer_.StartOnce(base::Duration::zero());
}

void MachineListClient::OnHttpAnswer(const http_client::HttpAnswer& answer) {
  const auto parsed = poller_.OnAnswer(answer, clock_.Now());
  ArmTimer();
  if (parsed && on_list_) {
    on_list_(*parsed);
  }
}

void MachineListClient::OnHttpFailure(http_client::TransportFailure /*failure*/,
                                      const std::string& /*message*/) {
  poller_.OnFailure(clock_.Now());
  ArmTimer();
}

void MachineListClient::Advance() {
  const base::TimePoint now = clock_.Now();
  if (poller_.ExpireIfDue(now)) {
    exchange_.Cancel();
  }
  if (poller_.StartIfDue(now) && !exchange_.Start({http_client::Method::kGet, kPath, ""})) {
    poller_.OnFailure(now);
  }
  ArmTimer();
}

void MachineListClient::ArmTimer() {
  timer_.StartOnce(std::max(poller_.NextDue() - clock_.Now(), base::Duration::zero()));
}

}  // namespace gaugevalve::machines
