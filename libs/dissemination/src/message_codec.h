// Conversion between the library's types and its protobuf messages.
#pragma once

#include <string>

#include "gaugevalve/dissemination/dissemination.pb.h"
#include "gaugevalve/dissemination/record.h"

namespace gaugevalve::dissemination {

void FillEntry(const RecordKey& key, const RecordStamp& stamp, proto::Entry& entry);

void FillPatch(const Patch& patch, proto::Patch& message);

RecordKey KeyOf(const proto::Entry& entry);
RecordStamp StampOf(const proto::Entry& entry);
RecordStamp BaseOf(const proto::Patch& patch);

}  // namespace gaugevalve::dissemination
