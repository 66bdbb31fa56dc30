// The receiver's half of fencing: refuses what an earlier holder of a lease sends.
#pragma once

#include "gaugevalve/lease/fencing_token.h"

namespace gaugevalve::lease {

// Guards one resource. A lease alone can't keep a paused holder from sending what it decided before
// the pause; this can, as soon as anything of a newer holder has arrived. Not thread-safe.
class FencingGate {
 public:
  // Returns true when the action may be taken: no action of a newer holder was taken before.
  bool Admit(FencingToken token) {
    if (token == FencingToken{} || token < newest_) {
      return false;
    }
    newest_ = token;
    return true;
  }

  // Returns the newest token admitted; 0 before the first.
  FencingToken Newest() const { return newest_; }

 private:
  FencingToken newest_{};
};

}  // namespace gaugevalve::lease
