// Processing of a request in an agent: permit (if it has a key), admission, endpoint, end.
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

// An idempotency key and the request it was sent with.
struct RequestKey {
  KeyDigest digest;
  std::uint64_t fingerprint = 0;
  std::optional<base::Duration> created_at;  // since the Unix epoch, if the key has a time
};

// A request whose head (and, if it has a key, body) has been received.
struct IncomingRequest {
  RequestId id;
  bool is_stream = false;  // a long-lived event stream: uses a connection, not a slot
  std::optional<RequestKey> key;
  std::optional<base::Duration> timeout;  // set by the caller; otherwise the default applies
  std::uint8_t urgency = kDefaultUrgency;
};

// How an exchange with the endpoint ended.
enum class EndpointResult : std::uint8_t {
  kAnswered,           // a complete answer
  kRefused,            // a complete answer which says that the request was not run
  kNotSent,            // no connection: no byte left this agent, so it can be sent again
  kBodyNotReplayable,  // no byte left this agent, but parts of the body are no longer available
  kFailed,             // aborted after the first byte was sent
};

// Settings of a pipeline.
struct PipelineSettings {
  base::NodeId self;
  base::Incarnation incarnation;
  AdmissionLimits admission;
  base::Duration default_timeout{10'000'000};
  AtMostOnceLimits at_most_once;
  double retry_share = 0.1;   // retries per request
  double retry_burst = 10.0;  // maximum number of retries saved up
};

// The actions that result from one event. Each request appears exactly once in `refused` or
// `repeated`, or is started and then ends with FinishAtEndpoint() or Cancel().
struct PipelineActions {
  std::vector<RequestId> start;           // send to the endpoint
  std::vector<RequestId> abandon;         // abort the exchange; its refusal is in `refused`
  std::vector<RefusedRequest> refused;    // tell the caller immediately
  std::vector<RepeatedRequest> repeated;  // answered with the answer of the first execution
  std::vector<OutgoingMessage> send;      // to other agents
};

// The requests of one agent. Bounded by its components. Not thread-safe; the owner passes in the
// time.
class RequestPipeline {
 public:
  // `random` must outlive this object. `now` is the start time of this incarnation, which is
  // `wall_time` since the Unix epoch.
  RequestPipeline(const PipelineSettings& settings, base::RandomSource& random, base::TimePoint now,
                  base::Duration wall_time);

  PipelineActions AddRequest(const IncomingRequest& request, base::TimePoint now);

  // The answer's head was sent to the caller: from now on the deadline does not abort the answer.
  void MarkAnswerBegun(RequestId id);

  // The answer is a long-lived event stream: releases the slot.
  PipelineActions MarkAsStream(RequestId id, base::TimePoint now);

  // An exchange with the endpoint ended. `answer` is stored for repetitions of a keyed request.
  PipelineActions FinishAtEndpoint(RequestId id, EndpointResult end, const StoredAnswer& answer,
                                   base::TimePoint now);

  // The caller cancelled the request. If it was started, its exchange is being aborted.
  PipelineActions Cancel(RequestId id, base::TimePoint now);

  PipelineActions SetTable(const std::shared_ptr<const routing::BucketTable>& table,
                           base::TimePoint confirmed_at, base::TimePoint now);
  PipelineActions SetLimits(const AdmissionLimits& limits, base::Duration default_timeout,
                            base::TimePoint now);
  // Returns whether a key created now can be distinguished from a lost one. This is not so in the
  // first seconds of a service or after the loss of two agents.
  bool RemembersNewKeys(base::TimePoint now) const { return at_most_once_.RemembersNewKeys(now); }

  PipelineActions OnMessage(base::NodeId sender, const proto::AtMostOnceMessage& message,
                            base::TimePoint now);

  // Call every few tens of milliseconds.
  PipelineActions OnTimer(base::TimePoint now);

  // Starts or stops refusing new requests. Waiting and running requests are finished.
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
  void Apply(const AdmissionActions& admitted, base::TimePoint now, PipelineActions& actions);
  void Apply(AtMostOnceActions keyed, base::TimePoint now, PipelineActions& actions);
  void OnAdmissionRefusal(const RefusedRequest& refused, base::TimePoint now,
                          PipelineActions& actions);
  bool Retry(Request& request, base::TimePoint now, PipelineActions& actions);
  void ReleaseSlot(const Request& request, bool counts_as_sample, base::TimePoint now,
                   PipelineActions& actions);
  void FinishKeyed(RequestId id, ExecutionState state, const StoredAnswer& answer,
                   base::TimePoint now, PipelineActions& actions);
  void AbortOverdue(base::TimePoint now, PipelineActions& actions);

  base::Duration default_timeout_;
  AdmissionQueue admission_;
  AtMostOnce at_most_once_;
  RetryBudget retry_budget_;
  absl::flat_hash_map<RequestId, Request> requests_;
};

}  // namespace gaugevalve::requests
