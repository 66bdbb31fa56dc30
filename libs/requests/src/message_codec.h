// Conversion between the library's types and its messages; private to the library.
#pragma once

#include "gaugevalve/requests/execution_record.h"
#include "gaugevalve/requests/requests.pb.h"
#include "gaugevalve/routing/table_version.h"

namespace gaugevalve::requests {

// Encodes the record; its age is relative to `now`.
void EncodeRecord(const ExecutionRecord& record, base::TimePoint now, proto::Record* message);

// Decodes a record. A state from a later release is decoded as kUnknown, which is always safe.
ExecutionRecord DecodeRecord(const proto::Record& message, base::TimePoint now);

void EncodeKey(const KeyDigest& key, proto::Key* message);
KeyDigest DecodeKey(const proto::Key& message);

void EncodeVersion(const routing::TableVersion& version, proto::BucketVersion* message);
routing::TableVersion DecodeVersion(const proto::BucketVersion& message);

}  // namespace gaugevalve::requests
