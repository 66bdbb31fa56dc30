#include "etcd_settings_store.h"

#include <utility>
#include <variant>

namespace gaugevalve::ctl {
namespace {

store::StoreClientSettings ClientSettings(const std::vector<base::SocketAddress>& endpoints) {
  store::StoreClientSettings settings;
  settings.endpoints = endpoints;
  return settings;
}

StoreOutcome OutcomeOf(const store::Result& result) {
  switch (result.outcome) {
    case store::Outcome::kOk:
      return StoreOutcome::kOk;
    case store::Outcome::kRefused:
      return StoreOutcome::kNotApplied;
    case store::Outcome::kUnknown:
      return StoreOutcome::kUnknown;
  }
  return StoreOutcome::kUnknown;
}

// Returns the entries of all ranges that the transaction read.
std::vector<settings::StoredEntry> EntriesOf(const store::TxnResponse& response) {
  std::vector<settings::StoredEntry> entries;
  for (const store::OperationResponse& operation : response.responses) {
    const auto* const range = std::get_if<store::RangeResponse>(&operation);
    if (range == nullptr) {
      continue;
    }
    for (const store::KeyValue& key_value : range->key_values) {
      entries.push_back(
          {key_value.key, key_value.value, settings::ModRevision(key_value.mod_revision.value())});
    }
  }
  return entries;
}

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

}  // namespace

EtcdSettingsStore::EtcdSettingsStore(const std::vector<base::SocketAddress>& endpoints,
                                     std::uint64_t seed)
    : client_(ClientSettings(endpoints), seed) {}

ReadReply EtcdSettingsStore::Read(const std::vector<KeyRange>& ranges, base::Duration timeout) {
  store::TxnRequest request;
  for (const KeyRange& range : ranges) {
    store::RangeRequest read{.key = range.key};
    read.range_end = range.is_prefix ? store::PrefixEnd(range.key) : "";
    request.success.emplace_back(std::move(read));
  }
  const store::Result result = client_.Call(std::move(request), timeout);
  ReadReply reply{OutcomeOf(result), result.words, {}};
  if (result.IsOk()) {
    reply.entries = EntriesOf(result.Get<store::TxnResponse>());
  }
  return reply;
}

RunReply EtcdSettingsStore::Run(const settings::StoreTransaction& transaction,
                                base::Duration timeout) {
  const store::Result result = client_.Call(MakeRequest(transaction), timeout);
  RunReply reply{OutcomeOf(result), result.words, {}};
  if (result.IsOk()) {
    const auto& response = result.Get<store::TxnResponse>();
    reply.answer.succeeded = response.succeeded;
    reply.answer.reads = EntriesOf(response);
  }
  return reply;
}

}  // namespace gaugevalve::ctl
