// The bounded, lock-free queue through which tasks send each other messages.
#pragma once

#include <atomic>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "gaugevalve/tasks/wake_event.h"

namespace gaugevalve::tasks {

// Many senders, one receiver. Each sender's messages arrive in the order it sent them.
//
// When the mailbox is full, TrySend() refuses the message, counts it and leaves it with the caller,
// who decides what that means: a snapshot may be sent again later, a report may be skipped. Nothing
// blocks and nothing that was accepted is lost.
//
// The queue is D. Vyukov's bounded ring: each cell carries a sequence number that says whose turn
// it is, so senders only contend on one counter.
template <class Message>
class Mailbox {
 public:
  // `capacity` (messages) is rounded up to a power of two.
  explicit Mailbox(std::size_t capacity)
      : cells_(std::bit_ceil(capacity)), mask_(cells_.size() - 1) {
    for (std::size_t index = 0; index < cells_.size(); ++index) {
      cells_[index].sequence.store(index, std::memory_order_relaxed);
    }
  }

  // Queues `message` and wakes the receiver. Returns false, with `message` untouched, when full.
  // Any thread.
  bool TrySend(Message&& message) {
    Cell* const cell = ClaimCell();
    if (cell == nullptr) {
      refused_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    cell->message.emplace(std::move(message));
    cell->sequence.store(cell->sequence.load(std::memory_order_relaxed) + 1,
                         std::memory_order_release);
    wake_event_.Signal();
    return true;
  }

  // Returns the oldest message, or nothing when there is none. The receiving thread only.
  std::optional<Message> TryReceive() {
    Cell& cell = cells_[head_ & mask_];
    if (cell.sequence.load(std::memory_order_acquire) != head_ + 1) {
      return std::nullopt;
    }
    std::optional<Message> message;
    message.swap(cell.message);
    cell.sequence.store(head_ + cells_.size(), std::memory_order_release);
    ++head_;
    return message;
  }

  // The event that becomes readable when there are messages; acknowledge it, then receive all.
  WakeEvent& Wake() { return wake_event_; }

  // Returns how many messages were refused because the mailbox was full. Any thread.
  std::uint64_t RefusedCount() const { return refused_.load(std::memory_order_relaxed); }

  // Returns how many messages the mailbox holds at most.
  std::size_t Capacity() const { return cells_.size(); }

 private:
  struct Cell {
    std::atomic<std::size_t> sequence = 0;
    std::optional<Message> message;
  };

  // Returns the cell for the next message, or null when the ring is full.
  Cell* ClaimCell() {
    std::size_t position = tail_.load(std::memory_order_relaxed);
    while (true) {
      Cell& cell = cells_[position & mask_];
      const std::size_t sequence = cell.sequence.load(std::memory_order_acquire);
      if (sequence == position) {
        if (tail_.compare_exchange_weak(position, position + 1, std::memory_order_relaxed)) {
          return &cell;
        }
      } else if (sequence < position) {
        return nullptr;
      } else {
        position = tail_.load(std::memory_order_relaxed);
      }
    }
  }

  std::vector<Cell> cells_;
  std::size_t mask_;
  WakeEvent wake_event_;
  std::atomic<std::uint64_t> refused_ = 0;
  alignas(64) std::atomic<std::size_t> tail_ = 0;  // next to write; shared by the senders
  alignas(64) std::size_t head_ = 0;               // next to read; the receiver's own
};

}  // namespace gaugevalve::tasks
