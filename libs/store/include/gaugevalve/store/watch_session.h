// Follows a key range of the store through lost streams, compactions and stale streams.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/store/backoff.h"
#include "gaugevalve/store/request.h"
#include "gaugevalve/store/response.h"
#include "gaugevalve/store/result.h"

namespace gaugevalve::store {

// What to follow, and how patiently.
struct WatchSessionSettings {
  std::string key;
  std::string range_end;  // empty: only `key`
  BackoffSettings backoff;
  base::Duration open_timeout = std::chrono::seconds(5);
  // How often an open stream is checked by a read, as a stream may silently stop delivering. Each
  // check costs one request, which brings only the keys that the stream has not delivered; its time
  // is drawn from [half, whole] of this.
  base::Duration audit_period = std::chrono::seconds(60);
  // How long a change may be seen by a check before the stream brings it.
  base::Duration audit_grace = std::chrono::seconds(2);
};

// Run this read and report its end with OnReadResult().
struct ReadForWatch {
  RangeRequest request;
};

// Open this stream when the rate budget allows it; report with OnStreamStarted(), OnFrame() and
// OnStreamClosed().
struct OpenWatchStream {
  WatchRequest request;
};

// Close the stream; nothing more is to be reported about it.
struct CloseWatchStream {};

// The range's whole content. Replaces everything delivered before.
struct WatchSnapshot {
  base::Revision revision;
  std::vector<KeyValue> key_values;
};

// Changes since the last delivery, in the order of their revisions.
struct WatchChanges {
  base::Revision revision;  // all changes up to here have been delivered
  std::vector<WatchEvent> events;
};

using WatchAction =
    std::variant<ReadForWatch, OpenWatchStream, CloseWatchStream, WatchSnapshot, WatchChanges>;

// Pure core; not thread-safe. What it delivers never goes backwards: the revisions of deliveries
// grow, and no change is delivered twice or left out between a snapshot and the next one.
class WatchSession {
 public:
  WatchSession(WatchSessionSettings settings, std::uint64_t seed);

  // Begins with a read of the range.
  void Start(base::TimePoint now);

  void OnReadResult(const Result& result, base::TimePoint now);
  // The stream's request has been posted; the time-out of opening counts from here.
  void OnStreamStarted(base::TimePoint now);

  void OnFrame(const WatchFrame& frame, base::TimePoint now);
  void OnStreamClosed(base::TimePoint now);

  // Does what is due.
  void Tick(base::TimePoint now);

  // Returns the actions decided since the last call, in order.
  std::vector<WatchAction> TakeActions();

  // Returns when Tick() is next needed; nothing while an answer is awaited.
  std::optional<base::TimePoint> NextDue() const;

  // Returns the revision up to which everything was delivered; 0 before the first snapshot.
  base::Revision DeliveredRevision() const { return delivered_; }

  // Returns true while a stream is open, that is, while changes are expected to arrive by it.
  bool IsStreaming() const { return state_ == State::kStreaming; }

 private:
  enum class State : std::uint8_t {
    kIdle,
    kReading,
    kWaitingToOpen,
    kOpening,
    kStreaming,
    kBackingOff
  };
  enum class NextStep : std::uint8_t { kRead, kOpen };

  void Read();
  void Open();
  void BackOff(NextStep next_step, base::TimePoint now);
  void ScheduleAudit(base::TimePoint now);
  void DeliverChanges(const WatchFrame& frame);
  void Audit();
  void OnAuditResult(const RangeResponse& response, base::TimePoint now);
  bool IsBehind(const RangeResponse& response) const;

  WatchSessionSettings settings_;
  base::RandomSource random_;
  Backoff backoff_;
  State state_ = State::kIdle;
  NextStep next_step_ = NextStep::kRead;
  bool audit_running_ = false;
  base::Revision delivered_;
  std::int64_t key_count_ = 0;               // keys in the range as delivered
  std::optional<base::Revision> suspected_;  // what was delivered when a check found more
  base::TimePoint due_{};  // meaning depends on the state: time-out, end of back-off or next audit
  std::vector<WatchAction> actions_;
};

}  // namespace gaugevalve::store
