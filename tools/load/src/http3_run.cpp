#include "http3_run.h"

#include <algorithm>
#include <chrono>

namespace gaugevalve::load {
namespace {

constexpr base::Duration kTickInterval = std::chrono::milliseconds(5);

// Flow numbers of runs with different seeds don't overlap, so ledgers can tell the runs apart.
constexpr unsigned kSeedShift = 32;

}  // namespace

// A flow to open in place of one whose board was refused.
struct Retry {
  base::TimePoint at;
  std::uint32_t attempt = 0;
  base::TimePoint ends_at;
};

struct Http3Run::Service {
  standins::NamedAddress target;
  Http3ServiceReport* report = nullptr;
  double due_flows = 0;  // flows that the rate allows by now
  std::vector<std::unique_ptr<Http3Flow>> flows;
  std::vector<Retry> retries;
};

Http3Run::Http3Run(event_base* loop, const Http3RunSettings& settings, Http3RunReport& report)
    : loop_(loop), settings_(settings), random_(settings.seed), tick_(loop, [this] { OnTick(); }) {
  for (const standins::NamedAddress& target : settings_.services) {
    services_.push_back(std::make_unique<Service>());
    services_.back()->target = target;
    services_.back()->report = &report.services[target.name];
  }
}

Http3Run::~Http3Run() = default;

void Http3Run::Start() {
  last_tick_ = clock_.Now();
  ends_at_ = last_tick_ + settings_.duration;
  tick_.StartPeriodic(kTickInterval);
}

void Http3Run::EndSoon() {
  ending_ = true;
  for (const auto& service : services_) {
    for (const auto& flow : service->flows) {
      flow->EndSoon();
    }
  }
}

void Http3Run::OnTick() {
  const base::TimePoint now = clock_.Now();
  if (!ending_ && now >= ends_at_) {
    EndSoon();
  }
  bool has_open_flows = false;
  for (const auto& service : services_) {
    RemoveEndedFlows(*service, now);
    for (const auto& flow : service->flows) {
      flow->OnTick();
    }
    if (!ending_) {
      OpenRetries(*service, now);
      OpenDueFlows(*service, now);
    }
    has_open_flows = has_open_flows || !service->flows.empty();
  }
  last_tick_ = now;
  if (ending_ && !has_open_flows) {
    event_base_loopbreak(loop_);
  }
}

void Http3Run::RemoveEndedFlows(Service& service, base::TimePoint now) {
  std::erase_if(service.flows, [&](const auto& flow) {
    if (flow->HasEnded() && flow->BoardRetryAfter().has_value()) {
      service.retries.push_back(
          {now + *flow->BoardRetryAfter(), flow->Attempt() + 1, flow->EndsAt()});
    }
    return flow->HasEnded();
  });
}

void Http3Run::OpenRetries(Service& service, base::TimePoint now) {
  std::vector<Retry> due;
  std::erase_if(service.retries, [&](const Retry& retry) {
    if (now >= retry.at) {
      due.push_back(retry);
    }
    return now >= retry.at;
  });
  for (const Retry& retry : due) {
    OpenFlow(service, retry.attempt, retry.ends_at);
  }
}

void Http3Run::OpenDueFlows(Service& service, base::TimePoint now) {
  const std::chrono::duration<double> elapsed = now - last_tick_;
  service.due_flows += elapsed.count() * settings_.flows_per_second;
  while (service.due_flows >= 1) {
    service.due_flows -= 1;
    if (service.flows.size() >= settings_.max_open_flows) {
      continue;
    }
    const double mean_lifetime = static_cast<double>(settings_.mean_flow_lifetime.count());
    const base::Duration lifetime(
        static_cast<std::int64_t>(random_.NextExponential(mean_lifetime)));
    OpenFlow(service, 1, now + lifetime);
  }
}

void Http3Run::OpenFlow(Service& service, std::uint32_t attempt, base::TimePoint ends_at) {
  const std::uint64_t number = (settings_.seed << kSeedShift) + ++flows_opened_;
  service.flows.push_back(std::make_unique<Http3Flow>(
      loop_, clock_, settings_.flow, service.target.name, service.target.address, number, attempt,
      ends_at, random_, *service.report));
}

}  // namespace gaugevalve::load
