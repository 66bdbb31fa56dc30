// The datagrams of a connection, in and out, and its timers.
#include <algorithm>
#include <array>
#include <utility>

#include "connection.h"
#include "native.h"

namespace gaugevalve::quic {
namespace {

constexpr std::size_t kMaxVectors = 16;
// Timers that are due at once fire no more often than this (RFC 9002, section 6.1.2).
constexpr std::chrono::milliseconds kTimerGranularity{1};

std::size_t TotalSize(std::span<const nghttp3_vec> vectors) {
  std::size_t size = 0;
  for (const nghttp3_vec& vector : vectors) {
    size += vector.len;
  }
  return size;
}

}  // namespace

void Connection::HandleDatagram(const Path& path, std::span<const std::uint8_t> datagram,
                                base::TimePoint now) {
  if (state_ == State::kClosing) {
    // Fewer and fewer answers, so that a peer that doesn't hear them isn't flooded.
    ++datagrams_while_closing_;
    const bool is_power_of_two = (datagrams_while_closing_ & (datagrams_while_closing_ - 1)) == 0;
    if (is_power_of_two) {
      Send(close_path_, close_packet_);
    }
    return;
  }
  if (state_ != State::kOpen) {
    return;
  }
  const NativePath native_path(path);
  const ngtcp2_pkt_info info{};
  const int result = ngtcp2_conn_read_pkt(transport_.get(), native_path.Get(), &info,
                                          datagram.data(), datagram.size(), ToNative(now));
  if (result != 0) {
    Fail(result, now);
  }
}

void Connection::HandleExpiry(base::TimePoint now) {
  if (state_ == State::kClosing || state_ == State::kDraining) {
    state_ = now >= end_time_ ? State::kFinished : state_;
    return;
  }
  if (state_ != State::kOpen || NextExpiry() > now) {
    return;
  }
  const int result = ngtcp2_conn_handle_expiry(transport_.get(), ToNative(now));
  if (result != 0) {
    Fail(result, now);
  }
}

base::TimePoint Connection::NextExpiry() const {
  if (state_ == State::kClosing || state_ == State::kDraining) {
    return end_time_;
  }
  if (state_ == State::kFinished || transport_ == nullptr) {
    return base::TimePoint::max();
  }
  const ngtcp2_tstamp expiry = ngtcp2_conn_get_expiry(transport_.get());
  return expiry == UINT64_MAX ? base::TimePoint::max()
                              : std::max(FromNative(expiry), earliest_timer_);
}

void Connection::Flush(base::TimePoint now) {
  closed_streams_.clear();
  if (state_ != State::kOpen || transport_ == nullptr) {
    return;
  }
  ApplyStreamActions();
  ResumeWindowBlockedStreams();
  const std::size_t packets_before = packets_sent_;
  if (!WritePackets(now)) {
    return;
  }
  ngtcp2_conn_update_pkt_tx_time(transport_.get(), ToNative(now));
  // A pacing timer that has run out stays so while the amplification limit forbids to send.
  const bool has_written = packets_sent_ != packets_before;
  earliest_timer_ = has_written ? base::TimePoint{} : now + kTimerGranularity;
}

// Asks HTTP/3 again for streams that the connection's window held back, once that has room: the
// libraries report only the windows of streams. They were asked while it was used up because an end
// without bytes needs no room in it.
void Connection::ResumeWindowBlockedStreams() {
  if (window_blocked_streams_.empty() || ngtcp2_conn_get_max_data_left(transport_.get()) == 0) {
    return;
  }
  for (const std::int64_t id : std::exchange(window_blocked_streams_, {})) {
    nghttp3_conn_unblock_stream(http_.get(), id);
  }
}

// Writes as many packets as congestion control and pacing allow now; false when the connection
// ended.
bool Connection::WritePackets(base::TimePoint now) {
  std::array<std::uint8_t, kMaxSentDatagram> buffer;
  const std::size_t quantum = ngtcp2_conn_get_send_quantum(transport_.get());
  const std::size_t max_packets = std::max<std::size_t>(quantum / buffer.size(), 1);
  for (std::size_t packets = 0; packets < max_packets; ++packets) {
    ngtcp2_path_storage path;
    ngtcp2_path_storage_zero(&path);
    const ngtcp2_ssize written = WritePacket(path, buffer, now);
    if (written < 0) {
      Fail(static_cast<int>(written), now);
      return false;
    }
    if (written == 0) {
      return true;
    }
    ++packets_sent_;
    Send(FromNative(path.path), std::span(buffer).first(static_cast<std::size_t>(written)));
  }
  return true;
}

// Fills one packet with what the streams have. Returns its size, 0 when there is nothing to send or
// no leave to send it, or an error of ngtcp2.
ngtcp2_ssize Connection::WritePacket(ngtcp2_path_storage& path, std::span<std::uint8_t> buffer,
                                     base::TimePoint now) {
  ngtcp2_pkt_info info{};
  for (;;) {
    std::int64_t id = -1;
    int is_last = 0;
    std::array<nghttp3_vec, kMaxVectors> vectors;
    nghttp3_ssize count = 0;
    if (http_ != nullptr) {
      count = nghttp3_conn_writev_stream(http_.get(), &id, &is_last, vectors.data(), kMaxVectors);
      if (count < 0) {
        return HttpFailure(static_cast<int>(count));
      }
    }
    const std::uint32_t flags =
        NGTCP2_WRITE_STREAM_FLAG_MORE | (is_last != 0 ? NGTCP2_WRITE_STREAM_FLAG_FIN : 0);
    ngtcp2_ssize taken = -1;
    const ngtcp2_ssize written = ngtcp2_conn_writev_stream(
        transport_.get(), &path.path, &info, buffer.data(), buffer.size(), &taken, flags, id,
        reinterpret_cast<const ngtcp2_vec*>(vectors.data()), static_cast<std::size_t>(count),
        ToNative(now));
    if (taken >= 0) {
      nghttp3_conn_add_write_offset(http_.get(), id, static_cast<std::size_t>(taken));
    }
    // An end is offered together with the last bytes, or alone after them.
    const std::size_t size = TotalSize(std::span(vectors).first(static_cast<std::size_t>(count)));
    const bool is_end_taken = taken >= 0 && static_cast<std::size_t>(taken) == size;
    if (is_last != 0 && (is_end_taken || size == 0)) {
      const int result = OnEndOffered(id, is_end_taken);
      if (result != 0) {
        return result;
      }
    }
    switch (written) {
      case NGTCP2_ERR_WRITE_MORE:
        continue;
      case NGTCP2_ERR_STREAM_DATA_BLOCKED:
        nghttp3_conn_block_stream(http_.get(), id);
        if (ngtcp2_conn_get_max_data_left(transport_.get()) == 0) {
          window_blocked_streams_.push_back(id);
        }
        continue;
      case NGTCP2_ERR_STREAM_SHUT_WR:
      case NGTCP2_ERR_STREAM_NOT_FOUND:
        nghttp3_conn_shutdown_stream_write(http_.get(), id);
        continue;
      default:
        return written;
    }
  }
}

}  // namespace gaugevalve::quic
