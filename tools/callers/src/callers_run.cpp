#include "callers_run.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "reservation_key.h"

namespace gaugevalve::callers {
namespace {

constexpr base::Duration kTickInterval = std::chrono::milliseconds(1);
constexpr base::Duration kConnectTimeout = std::chrono::seconds(10);

// Flow numbers of runs with different seeds don't overlap, so ledgers can tell the runs apart.
constexpr unsigned kSeedShift = 32;

// Connections tried at random before the next ready one is searched for.
constexpr int kRandomPicks = 4;

}  // namespace

CallersRun::CallersRun(event_base* loop, const base::Clock& clock, const CallersSettings& settings,
                       std::vector<std::unique_ptr<Caller>> callers, CallersReport& report)
    : loop_(loop),
      clock_(clock),
      settings_(settings),
      callers_(std::move(callers)),
      report_(report),
      random_(settings.seed),
      tick_(loop, [this] { OnTick(); }) {
  report_.seed = settings_.seed;
}

void CallersRun::Start() {
  started_at_ = clock_.Now();
  tick_.StartPeriodic(kTickInterval);
}

void CallersRun::OnTick() {
  const base::TimePoint now = clock_.Now();
  for (const auto& caller : callers_) {
    caller->OnTick();
  }
  if (!has_begun_) {
    BeginWhenReady(now);
    return;
  }
  if (now >= began_at_ + settings_.warm_up + settings_.duration) {
    is_ending_ = true;
  }
  SendDue(now);
  GiveUpDue(now);
  RepeatDue(now);
  if (is_ending_ && given_up_at_.empty() && repeats_.empty()) {
    Finish();
  }
}

void CallersRun::BeginWhenReady(base::TimePoint now) {
  const bool all_ready = std::all_of(callers_.begin(), callers_.end(),
                                     [](const auto& caller) { return caller->IsReady(); });
  if (all_ready || now - started_at_ >= kConnectTimeout) {
    has_begun_ = true;
    began_at_ = now;
    next_due_ = now;
  }
}

void CallersRun::SendDue(base::TimePoint now) {
  const double mean_interval = 1e6 / settings_.requests_per_second;  // microseconds
  while (!is_ending_ && next_due_ <= now) {
    next_due_ += base::Duration(static_cast<std::int64_t>(random_.NextExponential(mean_interval)));
    AddReservation(now);
    is_ending_ = is_ending_ || reservations_.size() >= kMaxReservations;
  }
}

void CallersRun::AddReservation(base::TimePoint now) {
  reservations_.emplace_back(settings_.is_keyed ? MakeKey() : "");
  const bool is_sent = SendAttempt(reservations_.size() - 1, now);
  if (IsMeasured(now)) {
    ++report_.due;
    report_.unsent += is_sent ? 0 : 1;
  }
}

bool CallersRun::SendAttempt(std::size_t index, base::TimePoint now) {
  Caller* const caller = PickReady();
  if (caller == nullptr) {
    return false;
  }
  Reservation& reservation = reservations_[index];
  AttemptRequest request{reservation.Key()};
  if (settings_.says_deadline) {
    request.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(settings_.deadline);
  }
  const std::size_t attempt = reservation.Attempts();
  const auto done = [this, index, attempt](const load::CheckedAnswer& answer) {
    OnAnswer(index, attempt, answer);
  };
  if (!caller->Send(request, done)) {
    return false;
  }
  reservation.Begin(now);
  given_up_at_.push_back({now + settings_.patience, index, attempt});
  return true;
}

Caller* CallersRun::PickReady() {
  for (int pick = 0; pick < kRandomPicks; ++pick) {
    Caller* const caller = callers_[random_.NextBelow(callers_.size())].get();
    if (caller->IsReady()) {
      return caller;
    }
  }
  const auto ready = std::find_if(callers_.begin(), callers_.end(),
                                  [](const auto& caller) { return caller->IsReady(); });
  return ready == callers_.end() ? nullptr : ready->get();
}

void CallersRun::OnAnswer(std::size_t index, std::size_t attempt,
                          const load::CheckedAnswer& answer) {
  const base::TimePoint now = clock_.Now();
  Reservation& reservation = reservations_[index];
  const bool was_answered = reservation.Verdict() == CallerOutcome::kAnswered;
  reservation.End(attempt, answer.outcome);
  report_.wrong_answers += answer.is_crossed || answer.is_cut_as_whole ? 1 : 0;
  if (attempt == 0 && IsMeasured(reservation.SentAt(0))) {
    CountFirst(index, answer, now);
  }
  const bool is_answered = reservation.Verdict() == CallerOutcome::kAnswered;
  const bool is_echoed = !was_answered && random_.NextUnit() < settings_.echo_share;
  if (!is_answered || is_echoed) {
    PlanRepeat(index, now);
  }
}

void CallersRun::CountFirst(std::size_t index, const load::CheckedAnswer& answer,
                            base::TimePoint now) {
  const base::Duration latency = now - reservations_[index].SentAt(0);
  ++report_.first.outcomes[answer.outcome];
  if (answer.outcome == CallerOutcome::kAnswered) {
    report_.first.latencies.Add(latency);
    report_.in_time += latency <= settings_.deadline ? 1 : 0;
    ++report_.answers_by_endpoint[answer.endpoint];
  } else if (answer.outcome == CallerOutcome::kNotRun) {
    report_.refusals.Add(latency);
  }
}

void CallersRun::PlanRepeat(std::size_t index, base::TimePoint now) {
  if (reservations_[index].Attempts() < settings_.attempts) {
    repeats_.push_back({now + settings_.repeat_after, index, 0});
  }
}

void CallersRun::GiveUpDue(base::TimePoint now) {
  while (!given_up_at_.empty()) {
    const Due due = given_up_at_.front();
    const bool is_running = reservations_[due.reservation].IsRunning(due.attempt);
    if (is_running && due.at > now) {
      return;
    }
    given_up_at_.pop_front();
    if (is_running) {
      ++report_.given_up;
      PlanRepeat(due.reservation, now);
    }
  }
}

void CallersRun::RepeatDue(base::TimePoint now) {
  while (!repeats_.empty() && repeats_.front().at <= now) {
    const Due due = repeats_.front();
    repeats_.pop_front();
    if (SendAttempt(due.reservation, now)) {
      ++report_.repeats;
    } else {
      repeats_.push_back({now + settings_.repeat_after, due.reservation, 0});
    }
  }
}

bool CallersRun::IsMeasured(base::TimePoint sent_at) const {
  return sent_at >= began_at_ + settings_.warm_up;
}

std::string CallersRun::MakeKey() {
  const std::uint64_t number = (settings_.seed << kSeedShift) + reservations_.size() + 1;
  if (!settings_.has_timed_keys) {
    return "without-a-time-" + std::to_string(number);
  }
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
  return load::MakeReservationKey(static_cast<std::uint64_t>(milliseconds.count()),
                                  settings_.service, number, 0);
}

void CallersRun::Finish() {
  const std::chrono::duration<double> measured = clock_.Now() - began_at_ - settings_.warm_up;
  const std::chrono::duration<double> wanted = settings_.duration;
  report_.measured_seconds = std::min(measured.count(), wanted.count());
  for (const Reservation& reservation : reservations_) {
    if (settings_.is_keyed && reservation.Attempts() > 0) {
      report_.keys[reservation.Verdict()].push_back(reservation.Key());
    }
  }
  for (const auto& caller : callers_) {
    caller->Close();  // or agents would count the connections until they are idle
  }
  event_base_loopbreak(loop_);
}

}  // namespace gaugevalve::callers
