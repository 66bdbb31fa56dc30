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
//
// The handler gets a limited number of messages per iteration of the loop: senders that are faster
// than the handler must not keep the loop's timers and sockets waiting.
template <class Message>
class Inbox {
 public:
  using Handler = std::function<void(Message)>;

  // `capacity` in messages; see Mailbox for what happens when full. The handler must not throw.
  Inbox(event_base* loop, std::size_t capacity, Handler handler)
      : mailbox_(capacity),
        handler_(std::move(handler)),
        watch_(Watch::Readable(loop, mailbox_.Wake().Descriptor(), [this] { ReceiveSome(); })) {}

  Inbox(const Inbox&) = delete;
  Inbox& operator=(const Inbox&) = delete;

  // Queues `message`; returns false, with `message` untouched, when full.
  bool TrySend(Message&& message) { return mailbox_.TrySend(std::move(message)); }

  // Returns how many messages were refused because the inbox was full.
  std::uint64_t RefusedCount() const { return mailbox_.RefusedCount(); }

 private:
  static constexpr int kMessagesPerWakeUp = 64;

  void ReceiveSome() {
    mailbox_.Wake().Acknowledge();
    for (int count = 0; count < kMessagesPerWakeUp; ++count) {
      std::optional<Message> message = mailbox_.TryReceive();
      if (!message) {
        return;
      }
      handler_(std::move(*message));
    }
    mailbox_.Wake().Signal();  // the rest follows after the loop's other events
  }

  Mailbox<Message> mailbox_;
  Handler handler_;
  Watch watch_;
};

}  // namespace gaugevalve::tasks
