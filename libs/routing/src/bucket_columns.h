// Column encoding of buckets in messages, see routing.proto.
#pragma once

#include <vector>

#include "gaugevalve/routing/bucket_table.h"
#include "gaugevalve/routing/routing.pb.h"

namespace gaugevalve::routing {

void ToProto(const TableVersion& version, proto::TableVersion& message);
TableVersion FromProto(const proto::TableVersion& message);

// Appends the buckets' columns; `agents` are those of the same message, in its order.
void ToProto(const std::vector<const Bucket*>& buckets, const std::vector<AgentEntry>& agents,
             proto::BucketColumns& message);

// Decodes and checks the buckets. Throws DecodeError.
std::vector<Bucket> FromProto(const proto::BucketColumns& message,
                              const std::vector<AgentEntry>& agents);

}  // namespace gaugevalve::routing
