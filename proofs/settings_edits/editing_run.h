// The world of one run: a store that can be away, operators, and a network that loses and delays.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

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

  // Puts the operator's transaction on the network, again if it was sent before.
  void Send(std::size_t who);

  // The request at this position of the network reaches the store; while that is away, nothing is
  // applied and the sender hears nothing.
  void Deliver(std::size_t position, AnswerFate fate);

  // The request is lost on the way.
  void Drop(std::size_t position);

  // The operator stops waiting for an answer; its requests stay on their way.
  void TimeOut(std::size_t who);

  void LookUp(std::size_t who);
  void SetStoreAway(bool away);

  // The coordinator writes the capabilities anew, with the same content.
  void RewriteCapabilities();

  // Ends all faults, lets everything on its way arrive and every operator find out its outcome.
  void Settle();

  const EditOracle& Oracle() const { return oracle_; }

 private:
  struct Request {
    std::size_t who;
    std::string attempt_id;
    settings::StoreTransaction transaction;
  };

  Request Take(std::size_t position);
  void Check() { oracle_.Check(store_); }

  ModelStore store_;
  bool is_store_away_ = false;
  EditOracle oracle_;
  std::vector<OperatorProcess> operators_;
  std::vector<Request> network_;
  int edits_ = 0;
};

}  // namespace gaugevalve::proofs
