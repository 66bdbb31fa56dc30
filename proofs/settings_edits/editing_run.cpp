#include "editing_run.h"

#include <rapidcheck.h>

#include <array>

#include "gaugevalve/settings/store_layout.h"
#include "gaugevalve/settings/tree_editor.h"

namespace gaugevalve::proofs {
namespace {

constexpr std::size_t kMaxRequestsOnTheWay = 8;

// The places that edits set: in the root and in two services, so that edits meet and don't.
constexpr std::array<const char*, 4> kPlaces{"slots", "services.a.slots", "services.b.slots",
                                             "services.b.connections"};

constexpr const char* kFirstTree = R"(version: 1
slots: 1
services:
  a: {kind: datagram, virtual_address: "192.0.2.1:1", slots: 1}
  b: {kind: datagram, virtual_address: "192.0.2.2:1", slots: 1, connections: 1}
)";

std::map<std::string, std::string> FirstValues() {
  std::map<std::string, std::string> values;
  for (const char* place : kPlaces) {
    values[place] = "1";
  }
  return values;
}

settings::StoreTransaction FirstTransaction() {
  const settings::TreeEditor editor(
      settings::StoredTree{},
      {settings::ReplaceOperation{settings::ParseTree(kFirstTree, "proof")}},
      {"first", "proof", "first", 0});
  return editor.Transaction();
}

}  // namespace

EditingRun::EditingRun(Mutation mutation)
    : oracle_(FirstValues()), operators_(kOperatorCount, OperatorProcess(oracle_, mutation)) {
  store_.Run(FirstTransaction());
  Check();
}

void EditingRun::Begin(std::size_t who, std::size_t first_place, std::size_t second_place) {
  if (is_store_away_ || !operators_[who].IsIdle()) {
    return;
  }
  ++edits_;
  const std::string value = std::to_string(edits_ + 1);
  WantedEdit edit{"edit " + std::to_string(edits_), {}};
  edit.values[kPlaces[first_place % kPlaces.size()]] = value;
  edit.values[kPlaces[second_place % kPlaces.size()]] = value;
  operators_[who].Begin(edit, store_);
  Check();
}

void EditingRun::Send(std::size_t who) {
  if (operators_[who].IsIdle() || network_.size() >= kMaxRequestsOnTheWay) {
    return;
  }
  for (settings::StoreTransaction& transaction : operators_[who].Transactions()) {
    network_.push_back({who, operators_[who].AttemptId(), std::move(transaction)});
  }
}

EditingRun::Request EditingRun::Take(std::size_t position) {
  const auto taken = network_.begin() + static_cast<std::ptrdiff_t>(position % network_.size());
  Request request = std::move(*taken);
  network_.erase(taken);
  return request;
}

void EditingRun::Deliver(std::size_t position, AnswerFate fate) {
  if (network_.empty()) {
    return;
  }
  const Request request = Take(position);
  OperatorProcess& sender = operators_[request.who];
  const bool is_awaited = !sender.IsIdle() && sender.AttemptId() == request.attempt_id;
  if (is_store_away_) {
    if (is_awaited) {
      sender.OnAnswerLost(nullptr);
    }
    return;
  }
  const settings::StoreTransactionAnswer answer = store_.Run(request.transaction);
  if (is_awaited && fate == AnswerFate::kArrives) {
    sender.OnAnswer(answer);
  } else if (is_awaited) {
    sender.OnAnswerLost(&store_);
  }
  Check();
}

void EditingRun::Drop(std::size_t position) {
  if (!network_.empty()) {
    Take(position);
  }
}

void EditingRun::TimeOut(std::size_t who) {
  if (!operators_[who].IsIdle()) {
    operators_[who].OnAnswerLost(is_store_away_ ? nullptr : &store_);
    Check();
  }
}

void EditingRun::LookUp(std::size_t who) {
  if (!is_store_away_ && !operators_[who].IsIdle()) {
    operators_[who].LookUp(store_);
    Check();
  }
}

void EditingRun::SetStoreAway(bool away) { is_store_away_ = away; }

void EditingRun::RewriteCapabilities() {
  if (!is_store_away_) {
    store_.Put(std::string(settings::kCapabilitiesKey),
               settings::FormatCapabilities({settings::kSchemaVersion}));
  }
}

void EditingRun::Settle() {
  SetStoreAway(false);
  while (!network_.empty()) {
    Deliver(0, AnswerFate::kArrives);
  }
  for (std::size_t who = 0; who < operators_.size(); ++who) {
    Send(who);
    while (!network_.empty()) {
      Deliver(0, AnswerFate::kArrives);
    }
    RC_ASSERT(operators_[who].IsIdle());
  }
  Check();
}

}  // namespace gaugevalve::proofs
