// gaugevalve-benchmark-forwarding: the balancer's data task against a bare relay loop, on loopback.
//
// Both get one thread, the same traffic and the same sink, in turns, so that what else the machine
// does falls on both alike. Two rates are printed: datagrams a second of the clock, and a second of
// the worker thread's own processor time, which a busy machine disturbs less.

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/flags/flag.h"
#include "balancer_worker.h"
#include "bare_relay.h"
#include "datagram_forwarder.h"
#include "gaugevalve/command_line/parse.h"
#include "gaugevalve/control/node_view.h"
#include "sink.h"
#include "traffic_source.h"

ABSL_FLAG(std::uint32_t, flows, 500'000, "Distinct flows.");
ABSL_FLAG(std::uint32_t, payload, 100, "Payload of a datagram, bytes.");
ABSL_FLAG(std::uint32_t, rounds, 5, "Turns of each; the median counts.");
ABSL_FLAG(double, seconds, 2, "Length of a turn, seconds.");
ABSL_FLAG(std::uint32_t, agents, 7, "Agents of the service.");
ABSL_FLAG(std::uint32_t, services, 1100, "Services of the view; traffic goes to one of them.");
ABSL_FLAG(std::uint32_t, senders, 2, "Threads that send.");

namespace {

using namespace gaugevalve;  // NOLINT(google-build-using-namespace): a program's only file
using benchmark::BareRelay;
using benchmark::Sink;
using benchmark::Traffic;

constexpr std::size_t kBuckets = 256;
constexpr std::uint16_t kVirtualPort = 443;

base::SocketAddress VirtualAddress(std::uint32_t service) {
  return base::SocketAddress::Ipv4(0xc0000000 + service, kVirtualPort);
}

balancer::ViewPointer MakeView(const Sink& sink) {
  std::vector<routing::AgentEntry> agents;
  for (std::uint32_t agent = 0; agent < absl::GetFlag(FLAGS_agents); ++agent) {
    agents.push_back({base::NodeId(agent + 1), base::Incarnation(1), sink.AddressOf(agent), ""});
  }
  auto view = std::make_shared<control::NodeView>();
  for (std::uint32_t service = 0; service < absl::GetFlag(FLAGS_services); ++service) {
    const base::ServiceId id(service);
    auto table = std::make_shared<const routing::BucketTable>(
        routing::MakeInitialTable(id, {1, 0, 1}, agents, kBuckets));
    view->services.push_back({id, std::to_string(service), control::ServiceKind::kDatagram,
                              VirtualAddress(service), std::move(table)});
  }
  return view;
}

// Returns the resident memory of this process, bytes.
std::uint64_t ResidentBytes() {
  std::ifstream stream("/proc/self/statm");
  std::uint64_t total_pages = 0;
  std::uint64_t resident_pages = 0;
  stream >> total_pages >> resident_pages;
  return resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

// The processor time that a thread has used, seconds.
double ProcessorSeconds(clockid_t clock) {
  timespec used{};
  clock_gettime(clock, &used);
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

// What one turn gave, in datagrams a second.
struct Rates {
  double by_clock = 0;
  double by_processor_time = 0;
};

// Keeps a worker busy for one turn. `worker_clock` is the clock of its thread's processor time.
Rates MeasureTurn(const Traffic& traffic, const base::SocketAddress& worker, clockid_t worker_clock,
                  const Sink& sink) {
  std::atomic<bool> stop = false;
  std::vector<std::thread> senders;
  const std::uint32_t sender_count = absl::GetFlag(FLAGS_senders);
  senders.reserve(sender_count);
  for (std::uint32_t sender = 0; sender < sender_count; ++sender) {
    const std::uint32_t first = sender * (traffic.flows / sender_count);
    senders.emplace_back([&, first] { SendTraffic(traffic, worker, first, stop); });
  }
  const auto started = std::chrono::steady_clock::now();
  const std::uint64_t count_before = sink.Count();
  const double used_before = ProcessorSeconds(worker_clock);
  std::this_thread::sleep_for(std::chrono::duration<double>(absl::GetFlag(FLAGS_seconds)));
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - started;
  const double used = ProcessorSeconds(worker_clock) - used_before;
  const auto count = static_cast<double>(sink.Count() - count_before);
  stop = true;
  for (std::thread& sender : senders) {
    sender.join();
  }
  return {count / elapsed.count(), count / used};
}

Rates Median(std::vector<Rates> turns) {
  const auto median_of = [&](double Rates::*field) {
    std::sort(turns.begin(), turns.end(),
              [&](const Rates& left, const Rates& right) { return left.*field < right.*field; });
    return turns[turns.size() / 2].*field;
  };
  return {median_of(&Rates::by_clock), median_of(&Rates::by_processor_time)};
}

void Print(const std::string& name, const Rates& rates) {
  std::cout << name << ": " << static_cast<std::uint64_t>(rates.by_clock) << " datagrams/s, "
            << static_cast<std::uint64_t>(rates.by_processor_time)
            << " datagrams per second of processor time\n";
}

int Run() {
  const Traffic traffic{VirtualAddress(absl::GetFlag(FLAGS_services) / 2),
                        absl::GetFlag(FLAGS_flows), absl::GetFlag(FLAGS_payload)};
  Sink sink;
  std::atomic<bool> stop_relay = false;
  BareRelay relay(sink.AddressOf(0));
  std::thread relay_thread([&] { relay.Run(stop_relay); });
  clockid_t relay_clock = 0;
  pthread_getcpuclockid(relay_thread.native_handle(), &relay_clock);

  prometheus::Registry registry;
  balancer::BalancerWorker worker(base::SocketAddress::Ipv4(INADDR_LOOPBACK, 0), {}, nullptr,
                                  registry);
  worker.PublishView(MakeView(sink));
  worker.Start();
  const clockid_t worker_clock = worker.ProcessorClock();

  std::vector<Rates> relay_turns;
  std::vector<Rates> balancer_turns;
  std::uint64_t resident_before = 0;
  for (std::uint32_t round = 0; round < absl::GetFlag(FLAGS_rounds); ++round) {
    relay_turns.push_back(MeasureTurn(traffic, relay.Address(), relay_clock, sink));
    resident_before = round == 0 ? ResidentBytes() : resident_before;
    balancer_turns.push_back(MeasureTurn(traffic, worker.DataAddress(), worker_clock, sink));
  }
  const std::uint64_t resident_after = ResidentBytes();
  worker.Stop();
  stop_relay = true;
  relay_thread.join();

  const Rates bare = Median(relay_turns);
  const Rates balanced = Median(balancer_turns);
  std::cout << traffic.flows << " flows, payload " << traffic.payload_size << " bytes, "
            << absl::GetFlag(FLAGS_rounds) << " turns of " << absl::GetFlag(FLAGS_seconds)
            << " s each, medians\n";
  Print("bare relay", bare);
  Print("balancer  ", balanced);
  std::cout << "ratio: " << balanced.by_clock / bare.by_clock << " by the clock, "
            << balanced.by_processor_time / bare.by_processor_time << " by processor time\n"
            << "resident memory: " << resident_before << " bytes before the flows, "
            << resident_after << " after\n";
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  command_line::Parse(
      argc, argv,
      "Compares the balancer's data task with a bare recvmmsg/sendmmsg loop on loopback.");
  return Run();
}
