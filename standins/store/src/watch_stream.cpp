#include "watch_stream.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "gateway_codec.h"

namespace gaugevalve::standins {
namespace {

constexpr base::Duration kProgressInterval = std::chrono::seconds(10);
constexpr int kHttpOk = 200;

struct BufferDeleter {
  void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
};

}  // namespace

WatchStream::WatchStream(evhttp_request* request, store::WatchRequest watch, const MvccStore& store,
                         base::TimePoint now)
    : request_(request), watch_(std::move(watch)) {
  const base::Revision following{store.CurrentRevision().value() + 1};
  next_ = watch_.start_revision == base::Revision{} ? following : watch_.start_revision;
  evhttp_send_reply_start(request_, kHttpOk, "OK");
  store::WatchFrame created;
  created.revision = store.CurrentRevision();
  created.created = true;
  Send(created, now);
}

bool WatchStream::SendChanges(const MvccStore& store, base::TimePoint now) {
  try {
    for (const RevisionChanges& changes : store.ChangesSince(next_)) {
      store::WatchFrame frame;
      frame.revision = changes.revision;
      std::ranges::copy_if(changes.events, std::back_inserter(frame.events),
                           [this](const store::WatchEvent& event) {
                             return IsInRange(event.key_value.key, watch_.key, watch_.range_end);
                           });
      if (!frame.events.empty()) {
        Send(frame, now);
      }
    }
  } catch (const StoreError& error) {
    store::WatchFrame last;
    last.revision = store.CurrentRevision();
    last.canceled = true;
    last.compact_revision = store.CompactedRevision();
    last.cancel_reason = error.what();
    Send(last, now);
    evhttp_send_reply_end(request_);
    return false;
  }
  next_ = std::max(next_, base::Revision{store.CurrentRevision().value() + 1});
  return true;
}

void WatchStream::SendProgressIfDue(const MvccStore& store, base::TimePoint now) {
  if (!watch_.progress_notify || now - sent_at_ < kProgressInterval) {
    return;
  }
  store::WatchFrame progress;
  progress.revision = store.CurrentRevision();
  Send(progress, now);
}

void WatchStream::Send(const store::WatchFrame& frame, base::TimePoint now) {
  const std::string text = EncodeWatchFrame(frame);
  const std::unique_ptr<evbuffer, BufferDeleter> buffer(evbuffer_new());
  evbuffer_add(buffer.get(), text.data(), text.size());
  evhttp_send_reply_chunk(request_, buffer.get());
  sent_at_ = now;
}

}  // namespace gaugevalve::standins
