// Conversions between the project's types and those of ngtcp2.
#pragma once

#include <ngtcp2/ngtcp2.h>

#include <chrono>
#include <span>

#include "gaugevalve/base/time.h"
#include "gaugevalve/connection_id/connection_id.h"
#include "gaugevalve/quic/datagram_sink.h"

namespace gaugevalve::quic {

inline ngtcp2_tstamp ToNative(base::TimePoint time) {
  return static_cast<ngtcp2_tstamp>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

inline ngtcp2_duration ToNative(base::Duration duration) {
  return static_cast<ngtcp2_duration>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(duration).count());
}

// Rounds up, so that a timer never fires before it is due.
inline base::TimePoint FromNative(ngtcp2_tstamp time) {
  return base::TimePoint(
      std::chrono::ceil<base::Duration>(std::chrono::nanoseconds(static_cast<std::int64_t>(time))));
}

inline ngtcp2_cid ToNative(const connection_id::ConnectionId& id) {
  ngtcp2_cid native{};
  ngtcp2_cid_init(&native, id.bytes().data(), id.bytes().size());
  return native;
}

inline connection_id::ConnectionId FromNative(const ngtcp2_cid& id) {
  return *connection_id::ConnectionId::FromBytes(std::span(id.data, id.datalen));
}

// A path with its own address storage, for one call of the library.
class NativePath {
 public:
  explicit NativePath(const Path& path) {
    path_.local.addrlen = path.local.ToNative(local_);
    path_.local.addr = reinterpret_cast<sockaddr*>(&local_);
    path_.remote.addrlen = path.remote.ToNative(remote_);
    path_.remote.addr = reinterpret_cast<sockaddr*>(&remote_);
  }
  NativePath(const NativePath&) = delete;
  NativePath& operator=(const NativePath&) = delete;

  const ngtcp2_path* Get() const { return &path_; }

 private:
  sockaddr_storage local_{};
  sockaddr_storage remote_{};
  ngtcp2_path path_{};
};

// Returns the path that the library chose for a packet.
Path FromNative(const ngtcp2_path& path);

// Fills `bytes` from the system's cryptographic random source. Throws std::runtime_error when that
// fails.
void FillRandom(std::span<std::uint8_t> bytes);

}  // namespace gaugevalve::quic
