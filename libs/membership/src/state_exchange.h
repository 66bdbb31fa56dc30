// Transfers whole views: paged state transfer on join, and anti-entropy repair by comparing
// digests.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/membership/membership.h"
#include "gaugevalve/membership/membership.pb.h"
#include "gaugevalve/membership/membership_options.h"
#include "gaugevalve/transport/envelope.h"
#include "gaugevalve/transport/token_bucket.h"
#include "outbox.h"
#include "peer_selector.h"

namespace gaugevalve::membership {

// A joining node fetches the live members in pages: the first from a seed, the others from any
// member that it knows by then, so that many simultaneous joins do not overload the seeds. After
// the join each node periodically offers its digest to a random member, and buckets that differ are
// compared record by record.
class StateExchange {
 public:
  // Receives each record together with the node that sent it.
  using RecordSink = std::function<void(const MemberRecord&, const transport::SenderIdentity&)>;

  StateExchange(base::NodeId self, const MembershipOptions& options, const MemberTable& table,
                const PeerSelector& selector, Outbox& outbox, base::RandomSource& random,
                MembershipCounters& counters, RecordSink sink);

  void Start(base::TimePoint now);
  bool IsJoined() const { return is_joined_; }

  void OnStateRequest(const transport::SenderIdentity& sender, const proto::StateRequest& request,
                      base::TimePoint now);
  void OnStatePage(const transport::SenderIdentity& sender, const proto::StatePage& page,
                   base::TimePoint now);
  // Handles the digest of a sender's whole view. If it differs and this node has no queued updates
  // that may still remove the difference, starts a detailed comparison. The interval between these
  // comparisons doubles until the views agree. A digest of zero means that the ping carried none.
  void OnViewDigest(const transport::SenderIdentity& sender, std::uint32_t digest,
                    bool has_no_pending_updates, base::TimePoint now);
  void OnDigestOffer(const transport::SenderIdentity& sender, const proto::DigestOffer& offer,
                     base::TimePoint now);
  void OnBucketSummary(const transport::SenderIdentity& sender,
                       const proto::BucketSummary& summary);
  void OnRecordRequest(const transport::SenderIdentity& sender,
                       const proto::RecordRequest& request);

  // Queues a request for the record of a node that cannot be used without its metadata.
  void QueueRecordRequest(base::NodeId node);
  // Requests the queued records from `holder`; each record at most once per second.
  void SendRecordRequests(const base::SocketAddress& holder, base::TimePoint now);

  void OnTick(base::TimePoint now);
  base::TimePoint NextWakeUp() const;

 private:
  struct RecordToSend {
    const Member* member = nullptr;
    RecordDetail detail = RecordDetail::kFull;
  };

  static constexpr std::size_t kMaximumBucketsCompared = 8;    // per exchange
  static constexpr std::size_t kMaximumRecordsRequested = 64;  // per message
  static constexpr std::size_t kMaximumTrackedRequests = 1024;
  static constexpr unsigned kMaximumBackOffFactor =
      8;  // maximum back-off between join attempts, in join timeouts

  void RequestPage(base::TimePoint now);
  base::SocketAddress PageSource();
  void RetryJoin(base::TimePoint now);
  void OfferDigest(base::TimePoint now);
  bool OfferDigestTo(const base::SocketAddress& destination);
  void CheckSeed(base::TimePoint now);
  const base::SocketAddress& RandomSeed() const;
  bool IsLiveAddress(const base::SocketAddress& address) const;
  std::vector<std::size_t> DifferingBuckets(const proto::DigestOffer& offer) const;
  void SendRecords(const transport::SenderIdentity& receiver,
                   const std::vector<RecordToSend>& records);

  base::NodeId self_;
  const MembershipOptions& options_;
  const MemberTable& table_;
  const PeerSelector& selector_;
  Outbox& outbox_;
  base::RandomSource& random_;
  MembershipCounters& counters_;
  RecordSink sink_;
  transport::TokenBucket pages_;
  transport::TokenBucket comparisons_;
  std::vector<base::SocketAddress> seeds_;  // without this node's own address

  bool is_joined_ = false;
  base::NodeId cursor_;  // members up to this identifier were received
  absl::btree_set<base::NodeId>
      used_page_sources_;  // a source's byte budget covers one or two pages per second
  unsigned failed_requests_ = 0;
  base::TimePoint page_deadline_{};
  base::TimePoint next_offer_at_{};
  base::TimePoint next_seed_check_at_{};
  base::TimePoint next_quick_offer_at_{};
  base::Duration quick_offer_interval_;

  std::vector<base::NodeId> nodes_to_request_;
  absl::btree_map<base::NodeId, base::TimePoint> requested_at_;
};

}  // namespace gaugevalve::membership
