#include "datagram_echo.h"

#include <utility>

namespace gaugevalve::standins {
namespace {

constexpr std::size_t kSocketBufferBytes = 4U << 20U;

// Datagrams read before other work on the loop gets its turn.
constexpr std::size_t kDatagramsPerTurn = 64;

}  // namespace

DatagramEcho::DatagramEcho(event_base* loop, const base::SocketAddress& address,
                           EndpointIdentity identity, const EndpointFaults& faults,
                           FlowLedger& ledger)
    : socket_(tasks::UdpSocket::Bind(address)),
      received_(kDatagramsPerTurn),
      answers_(1),
      identity_(std::move(identity)),
      faults_(faults),
      ledger_(ledger),
      delay_timer_(loop, [this] { SendDueAnswers(); }),
      watch_(tasks::Watch::Readable(loop, socket_.Descriptor(), [this] { OnReadable(); })) {
  socket_.RequestBufferSize(kSocketBufferBytes);
}

void DatagramEcho::OnReadable() {
  const std::size_t count = received_.Receive(socket_.Descriptor());
  for (std::size_t index = 0; index < count; ++index) {
    OnDatagram(received_.Datagram(index), received_.Sender(index));
  }
}

void DatagramEcho::OnDatagram(std::span<const std::uint8_t> bytes,
                              const base::SocketAddress& source) {
  const std::optional<EchoRequest> request = DecodeEchoRequest(bytes);
  if (!request) {
    ledger_.RecordMalformed();
    return;
  }
  ledger_.Record(*request);
  if (faults_.ignore_datagrams || faults_.hang) {
    return;
  }
  Answer(EncodeEchoAnswer({*request, identity_.name, identity_.service}), source);
}

void DatagramEcho::Answer(std::vector<std::uint8_t> bytes, const base::SocketAddress& destination) {
  if (faults_.answer_delay == base::Duration::zero()) {
    Send(bytes, destination);
    return;
  }
  if (delayed_.size() >= kMaxDelayedAnswers) {
    return;
  }
  const bool idle = delayed_.empty();
  delayed_.push_back({clock_.Now() + faults_.answer_delay, destination, std::move(bytes)});
  if (idle) {
    delay_timer_.StartOnce(faults_.answer_delay);
  }
}

void DatagramEcho::Send(std::span<const std::uint8_t> bytes,
                        const base::SocketAddress& destination) {
  constexpr std::size_t kNoHeader = 0;
  answers_.Append(destination, kNoHeader, bytes);
  answers_.Flush(socket_.Descriptor());
}

void DatagramEcho::SendDueAnswers() {
  const base::TimePoint now = clock_.Now();
  while (!delayed_.empty() && delayed_.front().due <= now) {
    Send(delayed_.front().bytes, delayed_.front().destination);
    delayed_.pop_front();
  }
  if (!delayed_.empty()) {
    delay_timer_.StartOnce(delayed_.front().due - now);
  }
}

}  // namespace gaugevalve::standins
