// Builds the messages of one call of the core, with updates carried along.
#pragma once

#include "byte_budget.h"
#include "gaugevalve/membership/membership.pb.h"
#include "gaugevalve/membership/membership_actions.h"
#include "gaugevalve/membership/membership_options.h"
#include "gaugevalve/transport/token_bucket.h"
#include "group_summary.h"
#include "member_table.h"
#include "update_queue.h"

namespace gaugevalve::membership {

// Every message carries as many queued updates as the limits for a message and for the node allow.
// Two budgets hold: one for updates, and one for all bytes, in which urgent messages have a
// reserve.
class Outbox {
 public:
  Outbox(base::NodeId self, const MembershipOptions& options, const MemberTable& table,
         UpdateQueue& queue);

  // Sets where the messages of this call go.
  void BeginCall(base::TimePoint now, MembershipActions& actions);

  // Sends a message to an address; returns false when the budget had no room for it.
  bool Send(const base::SocketAddress& destination, proto::MembershipMessage& message,
            SendPriority priority);

  // Sends a message to a member, as Send(). One that isn't taken for alive is told so, to refute
  // it.
  bool SendTo(const Member& member, proto::MembershipMessage& message, SendPriority priority);

  // Returns how long a message of this priority may be now.
  std::size_t AvailableBytes(SendPriority priority);

  // Sends queued updates; false when there was no budget or nothing to send.
  bool SendUpdates(const Member& member);

  // Adds this node's own record, for receivers that may not know it.
  void AddOwnRecord(proto::MembershipMessage& message) const;

  // Returns how often each update is to be sent at the present size of the group.
  std::uint32_t RetransmitLimit() const;

 private:
  // Adds queued updates, in all at most `room` bytes; returns how many.
  std::size_t AddUpdates(proto::MembershipMessage& message, std::size_t room);
  // Adds a summary of a group if it's shorter than fingerprints; returns its size, 0 when it wasn't
  // added.
  std::size_t AddSummary(const SummaryKey& key, proto::MembershipMessage& message) const;
  // Adds a member's record in its shortest form if it takes at most `room` bytes; returns its size,
  // 0 when it doesn't fit.
  std::size_t AddUpdate(const Member& member, AccuserTag accuser, std::size_t room,
                        proto::MembershipMessage& message) const;
  // `update_bytes` of the message are updates that ride along.
  void AppendMessage(const base::SocketAddress& destination,
                     const proto::MembershipMessage& message, SendPriority priority,
                     std::size_t update_bytes);

  base::NodeId self_;
  const MembershipOptions& options_;
  const MemberTable& table_;
  UpdateQueue& queue_;
  transport::TokenBucket updates_;
  ByteBudget bytes_;
  base::TimePoint now_{};
  MembershipActions* actions_ = nullptr;
};

}  // namespace gaugevalve::membership
