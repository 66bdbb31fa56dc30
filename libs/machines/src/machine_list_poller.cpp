#include "gaugevalve/machines/machine_list_poller.h"

namespace gaugevalve::machines {
namespace {

constexpr int kHttpOk = 200;

std::optional<ParsedMachineList> Parse(const http_client::HttpAnswer& answer) {
  if (answer.status != kHttpOk) {
    return std::nullopt;
  }
  try {
    return ParseMachineList(answer.body);
  } catch (const base::FindingsError&) {
    return std::nullopt;
  }
}

}  // namespace

MachineListPoller::MachineListPoller(const MachineListPollerSettings& settings, std::uint64_t seed)
    : settings_(settings), random_(seed) {}

bool MachineListPoller::StartIfDue(base::TimePoint now) {
  if (running_ || now < due_) {
    return false;
  }
  running_ = true;
  due_ = now + settings_.timeout;
  return true;
}

bool MachineListPoller::ExpireIfDue(base::TimePoint now) {
  if (!running_ || now < due_) {
    return false;
  }
  OnFailure(now);
  return true;
}

std::optional<ParsedMachineList> MachineListPoller::OnAnswer(const http_client::HttpAnswer& answer,
                                                             base::TimePoint now) {
  std::optional<ParsedMachineList> parsed = Parse(answer);
  if (!parsed) {
    OnFailure(now);
    return std::nullopt;
  }
  failures_ = 0;
  ScheduleNext(now);
  if (last_version_ && parsed->list.version <= *last_version_) {
    return std::nullopt;  // unchanged, or an older copy from another platform server
  }
  last_version_ = parsed->list.version;
  return parsed;
}

void MachineListPoller::OnFailure(base::TimePoint now) {
  ++failures_;
  ScheduleNext(now);
}

void MachineListPoller::ScheduleNext(base::TimePoint now) {
  const base::Duration half = settings_.period / 2;
  running_ = false;
  due_ = now + half + random_.NextJitter(half);
}

}  // namespace gaugevalve::machines
