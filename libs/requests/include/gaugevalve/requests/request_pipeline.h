// The way of a request through an agent: permit (where it is keyed), admission, endpoint, end.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/requests/admission_queue.h"
#include "gaugevalve/requests/at_most_once.h"
#include "gaugevalve/requests/retry_budget.h"

namespace gaugevalve::requests {

// A key as its caller sent it with one request.
struct RequestKey {
  KeyDigest digest;
  std::uint64_t fingerprint = 0;
  std::optional<base::Duration> created_at;  // since the Unix epoch, where the key tells
};

// A request whose head (and, where it is keyed, body) has come.
struct IncomingRequest {
  RequestId id;
  bool is_stream = false;  // a long-lived event stream: holds a connection, not a slot
  std::optional<RequestKey> key;
  std::optional<base::Duration> timeout;  // by the caller; the default applies where there is none
  std::uint8_t urgency = kDefaultUrgency;
};

// How an exchange with the endpoint ended.
enum class EndpointResult : std::uint8_t {
  kAnswered,           // a whole answer
  kRefused,            // a whole answer which says that the request was not run
  kNotSent,            // no connection: no byte left this agent, and it can be sent again
  kBodyNotReplayable,  // no byte left this agent either, but parts of the body can't be had again
  kFailed,             // broken off after the first byte
};

// What a pipeline is made of.
struct PipelineSettings {
  base::NodeId self;
  base::Incarnation incarnation;
  AdmissionLimits admission;
  base::Duration default_timeout{10'000'000};
  AtMostOnceLimits at_most_once;
  double retry_share = 0.1;   // retries per request
  double retry_burst = 10.0;  // retries saved up at most
};

// What to do after one event. Each request gets exactly one of refused, repeated or a start whose
// end is then told by FinishAtEndpoint() or Cancel().
struct PipelineActions {
  std::vector<RequestId> start;           // send it to the endpoint
  std::vector<RequestId> abandon;         // break off the exchange; its refusal is in `refused`
  std::vector<RefusedRequest> refused;    // tell the caller at once
  std::vector<RepeatedRequest> repeated;  // the answer of the first execution
  std::vector<OutgoingMessage> send;      // to other agents
};

// One agent's requests. Bounded by its parts. Not thread-safe; the owner passes in the time.
class RequestPipeline {
 public:
  // `random` must outlive this. `now` is the start of this life, `wall_time` since the Unix epoch.
  RequestPipeline(const PipelineSettings& settings, base::RandomSource& random, base::TimePoint now,
                  base::Duration wall_time);

  PipelineActions AddRequest(const IncomingRequest& request, base::TimePoint now);

  // The answer's head has gone to the caller: from now on the deadline doesn't cut it short.
  void MarkAnswerBegun(RequestId id);

  // The answer turned out to be a long-lived event stream: it gives its slot back.
  PipelineActions MarkAsStream(RequestId id, base::TimePoint now);

  // An exchange ended. `answer` is kept for repeats of a keyed request.
  PipelineActions FinishAtEndpoint(RequestId id, EndpointResult end, const StoredAnswer& answer,
                                   base::TimePoint now);

  // The caller gave the request up; where it was started, its exchange is being broken off.
  PipelineActions Cancel(RequestId id, base::TimePoint now);

  PipelineActions SetTable(const std::shared_ptr<const routing::BucketTable>& table,
                           base::TimePoint confirmed_at, base::TimePoint now);
  PipelineActions SetLimits(const AdmissionLimits& limits, base::Duration default_timeout,
                            base::TimePoint now);
  // Returns whether a key made now can be told from one that is forgotten: not in the first seconds
  // of a service, nor after the loss of two agents.
  bool RemembersNewKeys(base::TimePoint now) const { return at_most_once_.RemembersNewKeys(now); }

  PipelineActions OnMessage(base::NodeId sender, const proto::AtMostOnceMessage& message,
                            base::TimePoint now);

  // Call every few tens of milliseconds.
  PipelineActions OnTimer(base::TimePoint now);

  // Takes no new request from now on, or again; what waits and what runs is finished.
  void SetDraining(bool is_draining) { admission_.SetDraining(is_draining); }

  const AdmissionQueue& Admission() const { return admission_; }

  // Returns whether the request has not ended yet.
  bool Contains(RequestId id) const { return requests_.contains(id); }

 private:
  enum class Stage : std::uint8_t { kAwaitingPermit, kWaiting, kRunning, kStreaming };

  struct Request {
    AdmissionRequest admission;
    Stage stage = Stage::kWaiting;
    bool is_keyed = false;
    bool is_retried = false;
    bool has_answer_begun = false;
  };

  void OpenStream(const IncomingRequest& request, PipelineActions& actions);
  void Admit(Request& request, base::TimePoint now, PipelineActions& actions);
  void Take(const AdmissionActions& admitted, base::TimePoint now, PipelineActions& actions);
  void Take(AtMostOnceActions keyed, base::TimePoint now, PipelineActions& actions);
  void RefuseHere(const RefusedRequest& refused, base::TimePoint now, PipelineActions& actions);
  bool Retry(Request& request, base::TimePoint now, PipelineActions& actions);
  void LeaveSlot(const Request& request, bool counts_as_sample, base::TimePoint now,
                 PipelineActions& actions);
  void EndKeyed(RequestId id, ExecutionState state, const StoredAnswer& answer, base::TimePoint now,
                PipelineActions& actions);
  void GiveUpOverdue(base::TimePoint now, PipelineActions& actions);

  base::Duration default_timeout_;
  AdmissionQueue admission_;
  AtMostOnce at_most_once_;
  RetryBudget retry_budget_;
  absl::flat_hash_map<RequestId, Request> requests_;
};

}  // namespace gaugevalve::requests
