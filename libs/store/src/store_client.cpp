#include "gaugevalve/store/store_client.h"

#include <utility>

#include "store_client_shell.h"
#include "stream_watch.h"

namespace gaugevalve::store {

StoreClient::StoreClient(event_base* base, const StoreClientSettings& settings,
                         const base::Clock& clock, std::uint64_t seed)
    : shell_(std::make_unique<StoreClientShell>(base, settings, clock, seed)) {}

StoreClient::~StoreClient() = default;

void StoreClient::Submit(Request request, base::Duration timeout, Callback callback) {
  shell_->Submit(std::move(request), timeout, std::move(callback));
}

std::unique_ptr<Watch> StoreClient::StartWatch(WatchSessionSettings settings,
                                               WatchObserver& observer) {
  settings.backoff = SpreadBackoff(settings.backoff, shell_->RequestsPerSecond());
  return std::make_unique<StreamWatch>(*shell_, std::move(settings), observer);
}

}  // namespace gaugevalve::store
