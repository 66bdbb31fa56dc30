// The platform's store over its etcd v3 JSON API.
#pragma once

#include "gaugevalve/store/blocking_store_client.h"
#include "settings_store.h"

namespace gaugevalve::ctl {

// Maps the commands' requests to the store client.
class EtcdSettingsStore final : public SettingsStore {
 public:
  // `seed` drives the jitter of retries. Throws std::invalid_argument without an endpoint.
  EtcdSettingsStore(const std::vector<base::SocketAddress>& endpoints, std::uint64_t seed);

  ReadReply Read(const std::vector<KeyRange>& ranges, base::Duration timeout) override;
  RunReply Run(const settings::StoreTransaction& transaction, base::Duration timeout) override;

 private:
  store::BlockingStoreClient client_;
};

}  // namespace gaugevalve::ctl
