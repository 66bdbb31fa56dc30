// Builds the messages of one call of the core, with piggybacked updates.
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

// Every message carries as many queued updates as the per-message limit and the node's budgets
// allow. Two budgets apply: one for updates and one for all bytes, of which a reserve is kept for
// urgent messages.
class Outbox {
 public:
  Outbox(base::NodeId self, const MembershipOptions& options, const MemberTable& table,
         UpdateQueue& queue);

  // Sets the time and the output of the current call.
  void BeginCall(base::TimePoint now, MembershipActions& actions);

  // Sends a message to an address. Returns false when the budget is too small for it.
  bool Send(const base::SocketAddress& destination, proto::MembershipMessage& message,
            SendPriority priority);

  // Like Send(), for a member. If the member is not believed alive, the message includes its
  // record, so that it can refute it.
  bool SendTo(const Member& member, proto::MembershipMessage& message, SendPriority priority);

  // Returns the maximum size of a message of this priority now.
  std::size_t AvailableBytes(SendPriority priority);

  // Sends queued updates. Returns false when there is no budget or nothing to send.
  bool SendUpdates(const Member& member);

  // Adds this node's own record, for receivers that may not know it.
  void AddOwnRecord(proto::MembershipMessage& message) const;

  // Returns how often each update is sent at the current group size.
  std::uint32_t RetransmitLimit() const;

 private:
  // Adds queued updates of at most `room` bytes in total. Returns the bytes added.
  std::size_t AddUpdates(proto::MembershipMessage& message, std::size_t room);
  // Adds a summary of a group if it is smaller than the fingerprints. Returns its size, or 0 when
  // it was not added.
  std::size_t AddSummary(const SummaryKey& key, proto::MembershipMessage& message) const;
  // Adds the shortest form of a member's record if it takes at most `room` bytes. Returns its size,
  // or 0 when it does not fit.
  std::size_t AddUpdate(const Member& member, AccuserTag accuser, std::size_t room,
                        proto::MembershipMessage& message) const;
  // Appends a message to the actions and charges the budget. `update_bytes` is the part of the
  // message taken by piggybacked updates.
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
