// Mechanisms that the proof can switch off, to show that it would notice.
#pragma once

#include <cstdint>

namespace gaugevalve::proofs {

enum class Mutation : std::uint8_t {
  kNone,
  kNoCompare,           // the transaction writes without comparing the root's revision
  kBlindRetry,          // after a lost answer the edit is planned anew on a fresh read and sent
  kTrustFailedCompare,  // a failed comparison counts as a lost race, whoever won it
  kGiveUpAsNotApplied,  // after a lost answer an unchanged root counts as "not applied"
  kSeparateWrites,      // the root, the services and the history are written one by one
};

}  // namespace gaugevalve::proofs
