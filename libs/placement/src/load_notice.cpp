#include "gaugevalve/placement/load_notice.h"

#include <algorithm>
#include <limits>

#include "gaugevalve/base/little_endian.h"
#include "gaugevalve/placement/forward_header.h"

namespace gaugevalve::placement {
namespace {

using base::ReadNumber;
using base::WriteNumber;

// Offsets of the fields. The datagram begins with the message kind and three zero bytes, as
// required by the reader of ForwardHeader.
constexpr std::size_t kBusyOffset = 4;
constexpr std::size_t kAverageOffset = 6;
constexpr std::size_t kFlowsOffset = 8;
constexpr std::size_t kAnswerOffset = 10;
constexpr std::size_t kSequenceOffset = 14;
constexpr std::size_t kIncarnationOffset = 18;
constexpr std::size_t kQueuedOffset = 22;
constexpr double kAverageUnit = 16;  // units per request

template <class Number>
std::uint16_t ToField(Number number) {
  constexpr std::uint16_t kLargest = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(
      std::clamp<Number>(number, Number{0}, static_cast<Number>(kLargest)));
}

}  // namespace

bool LoadNotice::IsNewerThan(const AgentReport& report) const {
  const bool is_same_incarnation = static_cast<std::uint32_t>(incarnation.value()) ==
                                   static_cast<std::uint32_t>(report.incarnation.value());
  const auto ahead = static_cast<std::int32_t>(static_cast<std::uint32_t>(sequence) -
                                               static_cast<std::uint32_t>(report.sequence));
  return is_same_incarnation && ahead > 0;
}

LoadNotice MakeLoadNotice(const AgentReport& report) {
  return {report.incarnation,     report.sequence,          report.load.busy,
          report.load.queued,     report.load.busy_average, report.load.open_flows,
          report.load.answer_time};
}

std::array<std::uint8_t, LoadNotice::kSize> EncodeLoadNotice(const LoadNotice& notice) {
  std::array<std::uint8_t, LoadNotice::kSize> bytes{};
  const std::span<std::uint8_t> datagram(bytes);
  const auto answer =
      std::min<std::int64_t>(notice.answer_time.count(), std::numeric_limits<std::uint32_t>::max());
  bytes[0] = static_cast<std::uint8_t>(MessageKind::kLoad);
  WriteNumber(datagram, kBusyOffset, ToField(notice.busy));
  WriteNumber(datagram, kAverageOffset, ToField(notice.busy_average * kAverageUnit));
  WriteNumber(datagram, kFlowsOffset, ToField(notice.open_flows));
  WriteNumber(datagram, kAnswerOffset, static_cast<std::uint32_t>(answer));
  WriteNumber(datagram, kSequenceOffset, static_cast<std::uint32_t>(notice.sequence));
  WriteNumber(datagram, kIncarnationOffset, static_cast<std::uint32_t>(notice.incarnation.value()));
  constexpr std::uint32_t kLargest = std::numeric_limits<std::uint8_t>::max();
  for (std::size_t priority = 0; priority < kPriorityCount; ++priority) {
    bytes[kQueuedOffset + priority] =
        static_cast<std::uint8_t>(std::min(notice.queued[priority], kLargest));
  }
  return bytes;
}

std::optional<LoadNotice> DecodeLoadNotice(std::span<const std::uint8_t> datagram) {
  const bool has_queued = datagram.size() == LoadNotice::kSize;
  const bool is_notice = (has_queued || datagram.size() == LoadNotice::kSizeWithoutQueued) &&
                         datagram[0] == static_cast<std::uint8_t>(MessageKind::kLoad);
  if (!is_notice) {
    return std::nullopt;
  }
  LoadNotice notice;
  notice.busy = ReadNumber<std::uint16_t>(datagram, kBusyOffset);
  notice.busy_average = ReadNumber<std::uint16_t>(datagram, kAverageOffset) / kAverageUnit;
  notice.open_flows = ReadNumber<std::uint16_t>(datagram, kFlowsOffset);
  notice.answer_time = base::Duration(ReadNumber<std::uint32_t>(datagram, kAnswerOffset));
  notice.sequence = ReadNumber<std::uint32_t>(datagram, kSequenceOffset);
  notice.incarnation = base::Incarnation(ReadNumber<std::uint32_t>(datagram, kIncarnationOffset));
  for (std::size_t priority = 0; has_queued && priority < kPriorityCount; ++priority) {
    notice.queued[priority] = datagram[kQueuedOffset + priority];
  }
  return notice;
}

}  // namespace gaugevalve::placement
