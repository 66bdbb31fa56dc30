// Simulates one run: a store that can be away, operators, and a network that loses and delays.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "balancer_fleet.h"
#include "edit_oracle.h"
#include "model_store.h"
#include "mutation.h"
#include "operator_process.h"

namespace gaugevalve::proofs {

inline constexpr std::size_t kOperatorCount = 3;

// What becomes of a request that reaches the store.
enum class AnswerFate : std::uint8_t { kArrives, kIsLost };

// The system under test of the proof. Steps that make no sense at the moment do nothing. Every step
// ends with the oracle's check.
class EditingRun {
 public:
  explicit EditingRun(Mutation mutation);
  EditingRun(const EditingRun&) = delete;
  EditingRun& operator=(const EditingRun&) = delete;

  // Operator `who` wants new values at two places of the tree. Nothing while the store is away.
  void Begin(std::size_t who, std::size_t first_place, std::size_t second_place);

  // Puts the operator's transaction on the network, again if it was sent before. Returns whether it
  // did.
  bool Send(std::size_t who);

  // The newest request on the network reaches the store, and its answer arrives.
  void DeliverNewest() { Deliver(network_.size() - 1, AnswerFate::kArrives); }

  // The request at this position of the network reaches the store; while that is away, nothing is
  // applied and the sender hears nothing.
  void Deliver(std::size_t position, AnswerFate fate);

  // The request is lost on the way.
  void Drop(std::size_t position);

  // The operator stops waiting for an answer; its requests stay on their way.
  void TimeOut(std::size_t who);

  void LookUp(std::size_t who);
  void SetStoreAway(bool away);

  // Somebody writes the capabilities anew, with the same content.
  void RewriteCapabilities();

  // Balancers come and go, and the lease moves. Nothing of the lease while the store is away.
  void Join(std::uint32_t release) { fleet_.Join(release); }
  void Leave(std::size_t place) { fleet_.Leave(place); }
  void MoveLease(std::size_t who);

  // The coordinator counts the balancers and puts its transaction, if any, on the network. Returns
  // whether it did.
  bool Count(std::size_t who);

  // The coordinator stops waiting for its answer; its request stays on its way.
  void TimeOutCoordinator(std::size_t who);

  // Ends all faults, lets everything on its way arrive and every operator find out its outcome.
  void Settle();

  const EditOracle& Oracle() const { return oracle_; }

  // Returns after how many steps a balancer of the older release was in service.
  std::size_t StepsWithOlderBalancer() const { return steps_with_older_; }

 private:
  enum class Sender : std::uint8_t { kOperator, kCoordinator };

  struct Request {
    Sender sender;
    std::size_t who;
    std::string attempt_id;
    settings::StoreTransaction transaction;
  };

  void DeliverEdit(const Request& request, AnswerFate fate);
  void DeliverCapabilities(const Request& request, AnswerFate fate);

  Request Take(std::size_t position);
  void Check();

  ModelStore store_;
  bool is_store_away_ = false;
  EditOracle oracle_;
  std::vector<OperatorProcess> operators_;
  BalancerFleet fleet_;
  std::array<std::string, kCoordinatorCount> awaited_;  // by each coordinator; empty: nothing
  std::vector<Request> network_;
  int edits_ = 0;
  int counts_ = 0;
  std::size_t steps_with_older_ = 0;
};

}  // namespace gaugevalve::proofs
