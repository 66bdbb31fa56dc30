#include "work_runner.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "gaugevalve/standins/drawing_pattern.h"
#include "gaugevalve/standins/endpoint_headers.h"

namespace gaugevalve::standins {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr int kCreated = 201;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr char kRetryAfterSeconds[] = "1";

// While `hang` is switched on, a request that has run is looked at again after so long.
constexpr base::Duration kHangInterval = std::chrono::milliseconds(50);

// How far a request has come.
enum class Stage : std::uint8_t { kWaiting, kRunning, kAnswering };

}  // namespace

struct WorkRunner::Work {
  Work(WorkRunner& its_runner, evhtp_request_t* its_request,
       std::optional<std::uint64_t> its_drawing)
      : runner(its_runner),
        request(its_request),
        drawing(its_drawing),
        timer(its_runner.loop_, [this] { runner.OnTimer(*this); }) {}

  WorkRunner& runner;
  std::uint64_t number = 0;
  evhtp_request_t* request;              // null once the caller is gone
  std::optional<std::uint64_t> drawing;  // nothing: a reservation
  Stage stage = Stage::kWaiting;
  std::string key;              // the reservation's, "" for none
  std::uint64_t execution = 0;  // which execution of the key this is
  tasks::Timer timer;
};

WorkRunner::WorkRunner(event_base* loop, const WorkSettings& settings, EndpointIdentity identity,
                       const EndpointFaults& faults, RequestLedger& ledger)
    : loop_(loop),
      settings_(settings),
      identity_(std::move(identity)),
      faults_(faults),
      ledger_(ledger),
      started_at_(clock_.Now()),
      random_(kSeed),
      slots_(settings.slots, settings.queue_limit),
      retire_timer_(loop, [this] { retired_.clear(); }) {}

WorkRunner::~WorkRunner() = default;

void WorkRunner::AdmitReservation(evhtp_request_t* request) {
  auto work = std::make_unique<Work>(*this, request, std::nullopt);
  work->key = HeaderOf(request, kIdempotencyKeyHeader);
  Admit(std::move(work));
}

void WorkRunner::AdmitDrawing(evhtp_request_t* request, std::uint64_t drawing) {
  Admit(std::make_unique<Work>(*this, request, drawing));
}

void WorkRunner::Admit(std::unique_ptr<Work> work) {
  work->number = ++requests_;
  const Admission admission = slots_.Arrive(work->number);
  if (admission == Admission::kShed) {
    Shed(work->request);
    return;
  }
  Work& admitted = *work;
  work_.emplace(admitted.number, std::move(work));
  evhtp_request_set_hook(admitted.request, evhtp_hook_on_request_fini,
                         AsHook(&WorkRunner::OnRequestEnd), &admitted);
  if (admission == Admission::kRun) {
    Run(admitted);
  }
}

void WorkRunner::Shed(evhtp_request_t* request) {
  ledger_.RecordShed();
  AddHeader(request, "Retry-After", kRetryAfterSeconds);
  AddHeader(request, kOutcomeHeader, kOutcomeNotRun);
  SendWhole(request, kUnavailable, "text/plain", "no slot is free\n");
}

void WorkRunner::Run(Work& work) {
  work.stage = Stage::kRunning;
  if (work.drawing) {
    ledger_.RecordDrawing();
  } else {
    work.execution = ledger_.RecordReservation(work.key);
  }
  work.timer.StartOnce(ServiceTime(settings_.service_time, faults_, clock_.Now() - started_at_));
}

void WorkRunner::OnTimer(Work& work) {
  if (work.stage == Stage::kAnswering) {
    SendAnswer(work);
    return;
  }
  if (faults_.hang && work.request != nullptr) {
    work.timer.StartOnce(kHangInterval);
    return;
  }
  EndRun(work);
  if (work.request == nullptr) {
    Retire(work);
  } else {
    work.stage = Stage::kAnswering;
    work.timer.StartOnce(faults_.answer_delay);
  }
}

void WorkRunner::EndRun(Work& work) {
  work.timer.Cancel();
  const std::optional<std::uint64_t> next = slots_.Finish();
  if (next) {
    Run(*work_.at(*next));
  }
}

void WorkRunner::SendAnswer(Work& work) {
  evhtp_request_t* const request = std::exchange(work.request, nullptr);
  AddHeader(request, kEndpointHeader, identity_.name);
  std::string body;
  if (work.drawing) {
    body = DrawingBytes(*work.drawing, 0, settings_.drawing_bytes);
  } else {
    const nlohmann::json document = {{"endpoint", identity_.name},
                                     {"service", identity_.service},
                                     {"key", work.key},
                                     {"execution", work.execution}};
    body = document.dump();
  }
  const int status = work.drawing ? kOk : kCreated;
  const std::string content_type = work.drawing ? "application/octet-stream" : "application/json";
  evhtp_request_unset_hook(request, evhtp_hook_on_request_fini);
  Retire(work);
  if (random_.NextUnit() < faults_.cut_fraction) {
    SendCut(request, status, content_type, body);
  } else {
    SendWhole(request, status, content_type, body);
  }
}

evhtp_res WorkRunner::OnRequestEnd(evhtp_request_t* /*request*/, void* work) {
  auto* const gone = static_cast<Work*>(work);
  gone->runner.OnCallerGone(*gone);
  return EVHTP_RES_OK;
}

void WorkRunner::OnCallerGone(Work& work) {
  work.request = nullptr;
  if (work.stage == Stage::kWaiting) {
    slots_.Abandon(work.number);
    ledger_.RecordAbandoned();
    Retire(work);
  } else if (work.stage == Stage::kAnswering) {
    Retire(work);
  } else if (work.drawing) {
    EndRun(work);
    Retire(work);
  }
}

void WorkRunner::Retire(Work& work) {
  work.timer.Cancel();
  const auto entry = work_.find(work.number);
  retired_.push_back(std::move(entry->second));
  work_.erase(entry);
  retire_timer_.StartOnce(base::Duration::zero());
}

}  // namespace gaugevalve::standins
