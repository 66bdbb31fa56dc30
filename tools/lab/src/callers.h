// The callers: flows that come and go, their requests, and what they notice.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/time.h"
#include "packet.h"
#include "world.h"

namespace gaugevalve::lab {

class DataPath;
class RequestRunner;

// Offers the same load in every run of a seed: arrivals, lengths, gaps and service times come from
// streams of their own that no policy's outcome changes. A caller sends a lost datagram again with
// growing pauses and gives up after kMostAttempts; a flow that breaks is opened anew at once.
class Callers final : public PacketListener {
 public:
  static constexpr std::uint32_t kMostAttempts = 6;

  explicit Callers(World& world);

  // Must be called before Start(): callers, data path and requests need each other.
  void Connect(DataPath& data_path, RequestRunner& requests);
  void Start();

  // All flows held by this agent are lost.
  void OnAgentKilled(const AgentHost& agent);

  void OnServed(const Packet& packet, AgentHost& agent, bool opened) override;
  std::optional<std::size_t> HomeOf(const Packet& packet) override;
  void OnLost(const Packet& packet, std::string_view cause) override;

 private:
  struct Flow {
    Flow(std::size_t its_service, std::uint64_t seed) : service(its_service), random(seed) {}

    std::size_t service;
    base::RandomSource random;
    double requests_per_second = 1.0;
    std::uint32_t generation = 0;
    std::optional<std::size_t> home;          // the agent that holds it
    std::optional<base::TimePoint> asked_at;  // first datagram that is to open it
  };

  void Arrive(std::size_t service);
  void SendNext(std::uint64_t flow_id);
  void SendPacket(std::uint64_t flow_id, Flow& flow, bool is_request, base::Duration service_time);
  void Resend(Packet packet);
  void End(std::uint64_t flow_id);
  void Break(std::uint64_t flow_id, Flow& flow, const std::string& cause);
  void LeaveHome(Flow& flow);
  void SettleAt(Flow& flow, AgentHost& agent, const Packet& packet);
  void NoteWait(Flow& flow, const Packet& packet);
  static wire::FlowKey KeyOf(std::uint64_t flow_id, const Flow& flow);
  Flow* Find(const Packet& packet);

  World& world_;
  DataPath* data_path_ = nullptr;
  RequestRunner* requests_ = nullptr;
  std::vector<base::RandomSource> arrivals_;  // index = service
  std::map<std::uint64_t, Flow> flows_;
  std::uint64_t next_flow_ = 1;
  std::vector<std::uint64_t> arrived_;  // index = service
};

}  // namespace gaugevalve::lab
