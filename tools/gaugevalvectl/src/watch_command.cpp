#include "watch_command.h"

#include <event2/event.h>

#include <csignal>
#include <memory>
#include <new>
#include <random>
#include <variant>

#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/finding.h"
#include "gaugevalve/settings/history_entry.h"
#include "gaugevalve/settings/store_layout.h"
#include "history_text.h"

namespace gaugevalve::ctl {
namespace {

struct EventBaseDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

struct EventDeleter {
  void operator()(event* handle) const { event_free(handle); }
};

using EventHandle = std::unique_ptr<event, EventDeleter>;

void EndLoop(evutil_socket_t /*signal*/, short /*events*/, void* base) {
  event_base_loopbreak(static_cast<event_base*>(base));
}

EventHandle EndOn(int signal, event_base* base) {
  EventHandle handle(evsignal_new(base, signal, &EndLoop, base));
  if (handle == nullptr || event_add(handle.get(), nullptr) != 0) {
    throw std::bad_alloc();
  }
  return handle;
}

store::WatchSessionSettings HistoryWatch() {
  store::WatchSessionSettings settings;
  settings.key = std::string(settings::kHistoryPrefix);
  settings.range_end = store::PrefixEnd(settings.key);
  return settings;
}

}  // namespace

void HistoryPrinter::OnSnapshot(const store::WatchSnapshot& snapshot) {
  const bool is_first = printed_ == base::Revision(0);
  if (is_first && !snapshot.key_values.empty()) {
    PrintIfNew(snapshot.key_values.back());  // keys sort by revision
    return;
  }
  for (const store::KeyValue& key_value : snapshot.key_values) {
    PrintIfNew(key_value);
  }
}

void HistoryPrinter::OnChanges(const store::WatchChanges& changes) {
  for (const store::WatchEvent& event : changes.events) {
    if (event.kind == store::WatchEventKind::kPut) {
      PrintIfNew(event.key_value);
    }
  }
}

void HistoryPrinter::OnStreaming(bool streaming) {
  if (!streaming) {
    context_.err << "the store's stream ended; edits made meanwhile are shown when it is back\n";
  }
}

void HistoryPrinter::PrintIfNew(const store::KeyValue& key_value) {
  try {
    const settings::HistoryEntry entry = settings::ParseHistoryEntry(key_value.value);
    if (entry.revision <= printed_) {
      return;
    }
    printed_ = entry.revision;
    if (context_.options.format == OutputFormat::kJson) {
      constexpr auto kReplaceBadUtf8 = nlohmann::ordered_json::error_handler_t::replace;
      context_.out << HistoryToJson(entry).dump(-1, ' ', false, kReplaceBadUtf8) << std::endl;
    } else {
      context_.out << HistoryToText(entry) << std::flush;
    }
  } catch (const base::FindingsError& error) {
    context_.err << error.what();
  }
}

ExitCode WatchTree(const CommandContext& context, const std::vector<std::string>& /*arguments*/) {
  const std::unique_ptr<event_base, EventBaseDeleter> base(event_base_new());
  if (base == nullptr) {
    throw std::bad_alloc();
  }
  const EventHandle interrupt = EndOn(SIGINT, base.get());
  const EventHandle terminate = EndOn(SIGTERM, base.get());
  const base::SystemClock clock;
  store::StoreClientSettings settings;
  settings.endpoints = context.options.store_endpoints;
  store::StoreClient client(base.get(), settings, clock, std::random_device()());
  HistoryPrinter printer(context);
  const std::unique_ptr<store::Watch> watch = client.StartWatch(HistoryWatch(), printer);
  event_base_dispatch(base.get());
  return ExitCode::kOk;
}

}  // namespace gaugevalve::ctl
