// A simulated network between one server and its clients, in one thread and in simulated time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/quic/http3_client.h"
#include "gaugevalve/quic/http3_server.h"

namespace gaugevalve::quic::testing {

// Faults of the network, each a probability for every datagram.
struct NetworkFaults {
  double loss = 0;
  double reorder = 0;  // held back by up to four times the latency
  double duplicate = 0;
};

// Carries datagrams between attached clients and a server with a fixed latency and the given
// faults, and fires their timers. Time moves from event to event.
class MemoryNetwork final {
 public:
  MemoryNetwork(const NetworkFaults& faults, std::uint64_t seed);

  // The sink to give to the server or to a client.
  DatagramSink& GetSink() { return sink_; }

  void SetServer(Http3Server& server) { server_ = &server; }
  // A client receives what is sent to its local address; a second address may be added.
  void AddClient(const base::SocketAddress& address, Http3Client& client);
  void RemoveClient(const base::SocketAddress& address) { clients_.erase(address); }

  // Runs until `is_done` holds, or returns false when `limit` of simulated time has passed.
  bool RunUntil(const std::function<bool()>& is_done,
                base::Duration limit = std::chrono::seconds(60));
  // Runs for a span of simulated time.
  void RunFor(base::Duration span);

  base::TimePoint Now() const { return now_; }
  // Sees every datagram before it is carried; returning false drops it.
  std::function<bool(const Path&, std::span<const std::uint8_t>)> filter;
  // What the server made of the last datagram.
  DatagramOutcome last_outcome = DatagramOutcome::kHandled;
  // Answers datagrams that the server doesn't know with a stateless reset.
  bool resets_unknown = false;

 private:
  struct Datagram {
    base::TimePoint arrival;
    std::uint64_t order;
    Path path;  // as the sender sees it
    std::vector<std::uint8_t> payload;
    bool operator>(const Datagram& other) const {
      return std::tie(arrival, order) > std::tie(other.arrival, other.order);
    }
  };
  class Sink final : public DatagramSink {
   public:
    explicit Sink(MemoryNetwork& network) : network_(network) {}
    void SendDatagram(const Path& path, std::span<const std::uint8_t> payload) override {
      network_.Carry(path, payload);
    }
    void RequestFlush() override {}

   private:
    MemoryNetwork& network_;
  };

  void Carry(const Path& path, std::span<const std::uint8_t> payload);
  base::Duration DrawLatency();
  void Deliver(const Datagram& datagram);
  void FlushAll();
  base::TimePoint NextEvent() const;
  void Step(base::TimePoint limit);

  NetworkFaults faults_;
  base::RandomSource random_;
  Sink sink_{*this};
  base::TimePoint now_{std::chrono::seconds(1000)};
  std::uint64_t sent_ = 0;
  std::size_t steps_at_now_ = 0;
  std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>> in_flight_;
  Http3Server* server_ = nullptr;
  std::map<base::SocketAddress, Http3Client*> clients_;
};

}  // namespace gaugevalve::quic::testing
