#include "gaugevalve/store/result.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace gaugevalve::store {

const char* Describe(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "no failure";
    case Reason::kUnreachable:
      return "the store can't be reached";
    case Reason::kRateLimited:
      return "the store's rate limit was hit";
    case Reason::kNotFound:
      return "not found in the store";
    case Reason::kCompacted:
      return "the revision is compacted away";
    case Reason::kInvalid:
      return "the store refused the request as invalid";
    case Reason::kQueueFull:
      return "too many requests to the store are waiting";
    case Reason::kDeadline:
      return "the deadline passed";
    case Reason::kConnectionLost:
      return "the connection to the store was lost";
    case Reason::kServerError:
      return "the store reported an error of its own";
    case Reason::kBadAnswer:
      return "the store's answer can't be read";
  }
  return "unknown reason";
}

Result Result::Ok(Response response) {
  return Result{Outcome::kOk, Reason::kNone, "", std::move(response)};
}

Result Result::Failed(Outcome outcome, Reason reason, const std::string& detail) {
  const char* consequence =
      outcome == Outcome::kUnknown ? "the outcome is unknown" : "nothing was changed";
  std::string words = absl::StrCat(Describe(reason), detail.empty() ? "" : " (", detail,
                                   detail.empty() ? "; " : "); ", consequence);
  return Result{outcome, reason, std::move(words), Response{}};
}

}  // namespace gaugevalve::store
