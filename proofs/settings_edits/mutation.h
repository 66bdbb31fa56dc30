// Mechanisms that the proof can switch off, to show that it would notice.
#pragma once

#include <cstdint>

namespace gaugevalve::proofs {

enum class Mutation : std::uint8_t {
  kNone,
  kNoCompare,            // the transaction writes without comparing the root's revision
  kBlindRetry,           // after a lost answer the edit is planned anew on a fresh read and sent
  kTrustFailedCompare,   // a failed comparison counts as a lost race, whoever won it
  kGiveUpAsNotApplied,   // after a lost answer an unchanged root counts as "not applied"
  kSeparateWrites,       // the root, the services and the history are written one by one
  kNoCapabilityCompare,  // the transaction doesn't compare the capabilities
  kServeUncounted,       // a balancer goes in service without asking what it must understand
  kUnfencedCoordinator,  // a coordinator writes the capabilities without comparing its lease
  kTrustLookUp,          // after a lost answer the coordinator believes what the store has now
};

}  // namespace gaugevalve::proofs
