// Receiver side of fencing: rejects actions of earlier holders of a lease.
#pragma once

#include "gaugevalve/lease/fencing_token.h"

namespace gaugevalve::lease {

// Guards one resource. A lease alone can't prevent a holder that was paused from sending what it
// decided before the pause. The gate rejects such actions as soon as anything of a newer holder has
// arrived. Not thread-safe.
class FencingGate {
 public:
  // Tells whether the action may be performed: no action of a newer holder was admitted before.
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
