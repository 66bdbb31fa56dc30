#include "gaugevalve/store/blocking_store_client.h"

#include <event2/event.h>

#include <new>
#include <optional>
#include <utility>

namespace gaugevalve::store {
namespace {

event_base* NewEventBase() {
  event_base* base = event_base_new();
  if (base == nullptr) {
    throw std::bad_alloc();
  }
  return base;
}

}  // namespace

void BlockingStoreClient::EventBaseDeleter::operator()(event_base* base) const {
  event_base_free(base);
}

BlockingStoreClient::BlockingStoreClient(const StoreClientSettings& settings, std::uint64_t seed)
    : base_(NewEventBase()), client_(base_.get(), settings, clock_, seed) {}

BlockingStoreClient::~BlockingStoreClient() = default;

Result BlockingStoreClient::Call(Request request, base::Duration timeout) {
  std::optional<Result> end;
  client_.Submit(std::move(request), timeout, [&end](const Result& result) { end = result; });
  while (!end) {
    event_base_loop(base_.get(), EVLOOP_ONCE);
  }
  return *end;
}

}  // namespace gaugevalve::store
