// A mailbox that calls a handler in its task's loop for each message.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "gaugevalve/tasks/mailbox.h"
#include "gaugevalve/tasks/watch.h"

namespace gaugevalve::tasks {

// The receiving end belongs to the loop's thread; TrySend() is for any thread. The inbox must be
// destroyed after its loop has ended or from the loop's thread, and after its last sender.
template <class Message>
class Inbox {
 public:
  using Handler = std::function<void(Message)>;

  // `capacity` in messages; see Mailbox for what happens when full. The handler must not throw.
  Inbox(event_base* loop, std::size_t capacity, Handler handler)
      : mailbox_(capacity),
        handler_(std::move(handler)),
        watch_(Watch::Readable(loop, mailbox_.Wake().Descriptor(), [this] { ReceiveAll(); })) {}

  Inbox(const Inbox&) = delete;
  Inbox& operator=(const Inbox&) = delete;

  // Queues `message`; returns false, with `message` untouched, when full.
  bool TrySend(Message&& message) { return mailbox_.TrySend(std::move(message)); }

  // Returns how many messages were refused because the inbox was full.
  std::uint64_t RefusedCount() const { return mailbox_.RefusedCount(); }

 private:
  void ReceiveAll() {
    mailbox_.Wake().Acknowledge();
    while (std::optional<Message> message = mailbox_.TryReceive()) {
      handler_(std::move(*message));
    }
  }

  Mailbox<Message> mailbox_;
  Handler handler_;
  Watch watch_;
};

}  // namespace gaugevalve::tasks
