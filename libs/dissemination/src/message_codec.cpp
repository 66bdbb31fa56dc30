#include "message_codec.h"

namespace gaugevalve::dissemination {

void FillEntry(const RecordKey& key, const RecordStamp& stamp, proto::Entry& entry) {
  entry.set_kind(key.kind);
  entry.set_scope(key.scope);
  entry.set_major(stamp.version.major);
  entry.set_minor(stamp.version.minor);
  entry.set_digest(stamp.digest);
}

void FillPatch(const Patch& patch, proto::Patch& message) {
  message.set_base_major(patch.base.version.major);
  message.set_base_minor(patch.base.version.minor);
  message.set_base_digest(patch.base.digest);
  message.set_data(patch.data);
}

RecordKey KeyOf(const proto::Entry& entry) { return {entry.kind(), entry.scope()}; }

RecordStamp StampOf(const proto::Entry& entry) {
  return {{entry.major(), entry.minor()}, entry.digest()};
}

RecordStamp BaseOf(const proto::Patch& patch) {
  return {{patch.base_major(), patch.base_minor()}, patch.base_digest()};
}

}  // namespace gaugevalve::dissemination
