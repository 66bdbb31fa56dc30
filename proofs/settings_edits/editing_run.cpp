#include "editing_run.h"

#include <rapidcheck.h>

#include <array>
#include <optional>

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
    : oracle_(FirstValues()),
      operators_(kOperatorCount, OperatorProcess(oracle_, mutation)),
      fleet_(store_, mutation) {
  store_.Run(FirstTransaction());
  fleet_.Start();
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

bool EditingRun::Send(std::size_t who) {
  if (operators_[who].IsIdle() || network_.size() >= kMaxRequestsOnTheWay) {
    return false;
  }
  for (settings::StoreTransaction& transaction : operators_[who].Transactions()) {
    network_.push_back(
        {Sender::kOperator, who, operators_[who].AttemptId(), std::move(transaction)});
  }
  return true;
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
  if (request.sender == Sender::kOperator) {
    DeliverEdit(request, fate);
  } else {
    DeliverCapabilities(request, fate);
  }
  Check();
}

void EditingRun::DeliverEdit(const Request& request, AnswerFate fate) {
  OperatorProcess& sender = operators_[request.who];
  const bool is_awaited = !sender.IsIdle() && sender.AttemptId() == request.attempt_id;
  if (is_store_away_) {
    if (is_awaited) {
      sender.OnAnswerLost(nullptr);
    }
    return;
  }
  const settings::StoreTransactionAnswer answer = store_.Run(request.transaction);
  RC_ASSERT(!answer.succeeded || fleet_.Understands(kNewerRelease));
  if (is_awaited && fate == AnswerFate::kArrives) {
    sender.OnAnswer(answer);
  } else if (is_awaited) {
    sender.OnAnswerLost(&store_);
  }
}

void EditingRun::DeliverCapabilities(const Request& request, AnswerFate fate) {
  std::string& awaited = awaited_[request.who];
  const bool is_awaited = awaited == request.attempt_id;
  std::optional<settings::StoreTransactionAnswer> answer;
  if (!is_store_away_) {
    answer = store_.Run(request.transaction);
  }
  if (!is_awaited) {
    return;
  }
  awaited.clear();
  if (answer && fate == AnswerFate::kArrives) {
    fleet_.OnAnswer(request.who, *answer);
  } else {
    fleet_.OnAnswerLost(request.who, is_store_away_ ? nullptr : &store_);
  }
}

void EditingRun::MoveLease(std::size_t who) {
  if (!is_store_away_) {
    awaited_[who].clear();
    fleet_.MoveLease(who);
    Check();
  }
}

bool EditingRun::Count(std::size_t who) {
  if (network_.size() >= kMaxRequestsOnTheWay) {
    return false;
  }
  std::optional<settings::StoreTransaction> transaction = fleet_.Work(who);
  if (transaction) {
    awaited_[who] = "count " + std::to_string(++counts_);
    network_.push_back({Sender::kCoordinator, who, awaited_[who], std::move(*transaction)});
  }
  Check();
  return transaction.has_value();
}

void EditingRun::TimeOutCoordinator(std::size_t who) {
  if (!awaited_[who].empty()) {
    awaited_[who].clear();
    fleet_.OnAnswerLost(who, is_store_away_ ? nullptr : &store_);
    Check();
  }
}

void EditingRun::Check() {
  steps_with_older_ += fleet_.HasOlderInService() ? 1 : 0;
  oracle_.Check(store_);
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
    const std::string key(settings::kCapabilitiesKey);
    store_.Put(key, store_.Read({key}).front().value);
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
