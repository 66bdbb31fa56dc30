#include "gaugevalve/control/store_transaction_codec.h"

#include <variant>

namespace gaugevalve::control {

store::TxnRequest MakeRequest(const settings::StoreTransaction& transaction) {
  store::TxnRequest request;
  for (const settings::KeyCondition& condition : transaction.conditions) {
    request.compares.push_back({condition.key, store::CompareTarget::kModRevision,
                                store::CompareRelation::kEqual,
                                static_cast<std::int64_t>(condition.mod_revision.value()), ""});
  }
  for (const settings::KeyWrite& write : transaction.writes) {
    request.success.emplace_back(store::PutRequest{write.key, write.value, {}});
  }
  for (const std::string& key : transaction.deletions) {
    request.success.emplace_back(store::DeleteRangeRequest{key, ""});
  }
  for (const std::string& key : transaction.reads_on_failure) {
    request.failure.emplace_back(store::RangeRequest{.key = key});
  }
  return request;
}

settings::StoreTransactionAnswer MakeAnswer(const store::TxnResponse& response) {
  settings::StoreTransactionAnswer answer{response.succeeded, {}};
  for (const store::OperationResponse& operation : response.responses) {
    const auto* const range = std::get_if<store::RangeResponse>(&operation);
    if (range == nullptr) {
      continue;
    }
    for (const store::KeyValue& key_value : range->key_values) {
      answer.reads.push_back(
          {key_value.key, key_value.value, settings::ModRevision(key_value.mod_revision.value())});
    }
  }
  return answer;
}

}  // namespace gaugevalve::control
