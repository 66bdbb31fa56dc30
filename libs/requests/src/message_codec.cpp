#include "message_codec.h"

#include <algorithm>
#include <chrono>

namespace gaugevalve::requests {
namespace {

proto::ExecutionState EncodeState(ExecutionState state) {
  switch (state) {
    case ExecutionState::kGranted:
      return proto::GRANTED;
    case ExecutionState::kAnswered:
      return proto::ANSWERED;
    case ExecutionState::kNotRun:
      return proto::NOT_RUN;
    case ExecutionState::kUnknown:
      return proto::UNKNOWN;
  }
  return proto::UNKNOWN;
}

ExecutionState DecodeState(proto::ExecutionState state) {
  switch (state) {
    case proto::GRANTED:
      return ExecutionState::kGranted;
    case proto::ANSWERED:
      return ExecutionState::kAnswered;
    case proto::NOT_RUN:
      return ExecutionState::kNotRun;
    default:
      return ExecutionState::kUnknown;
  }
}

}  // namespace

void EncodeKey(const KeyDigest& key, proto::Key* message) {
  message->set_high(key.high);
  message->set_low(key.low);
}

KeyDigest DecodeKey(const proto::Key& message) { return {message.high(), message.low()}; }

void EncodeVersion(const routing::TableVersion& version, proto::BucketVersion* message) {
  message->set_epoch(version.epoch);
  message->set_generation(version.generation);
  message->set_sequence(version.sequence);
}

routing::TableVersion DecodeVersion(const proto::BucketVersion& message) {
  return {message.epoch(), message.generation(), message.sequence()};
}

void EncodeRecord(const ExecutionRecord& record, base::TimePoint now, proto::Record* message) {
  EncodeKey(record.key, message->mutable_key());
  message->set_fingerprint(record.fingerprint);
  message->set_executor(record.grant.executor.value());
  message->set_executor_incarnation(record.grant.incarnation.value());
  message->set_grant(record.grant.number);
  message->set_state(EncodeState(record.state));
  if (record.state == ExecutionState::kAnswered) {
    message->mutable_answer()->set_status(static_cast<std::uint32_t>(record.answer.status));
    message->mutable_answer()->set_content_type(record.answer.content_type);
    message->mutable_answer()->set_body(record.answer.body);
  }
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - record.first_recorded_at);
  message->set_age_milliseconds(static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0)));
}

ExecutionRecord DecodeRecord(const proto::Record& message, base::TimePoint now) {
  // An age that no process can have reached is clamped, so that times do not overflow.
  constexpr std::uint64_t kMaxAgeMilliseconds = 1'000'000'000'000;
  ExecutionRecord record;
  record.key = DecodeKey(message.key());
  record.fingerprint = message.fingerprint();
  record.grant.executor = base::NodeId(message.executor());
  record.grant.incarnation = base::Incarnation(message.executor_incarnation());
  record.grant.number = message.grant();
  record.state = DecodeState(message.state());
  record.answer.status = static_cast<int>(message.answer().status());
  record.answer.content_type = message.answer().content_type();
  record.answer.body = message.answer().body().substr(0, kMaxStoredBodyBytes);
  const std::uint64_t age = std::min(message.age_milliseconds(), kMaxAgeMilliseconds);
  record.first_recorded_at = now - std::chrono::milliseconds(age);
  return record;
}

}  // namespace gaugevalve::requests
