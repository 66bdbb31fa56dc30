// How whole views travel: joining by pages, and repair by comparing digests.
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

// A joining node fetches the live members page by page: the first from a seed, the others from any
// member it knows by then, so that a mass start doesn't weigh on the seeds. Later each node offers
// its digest to a random member now and then; buckets that differ are compared record by record.
class StateExchange {
 public:
  // Takes a record received, with the node that sent it.
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
  // Takes the digest of a sender's whole view. When it differs and this node has no
  // piggybacked_bytes left to spread (so the difference won't end by itself), compares in detail,
  // ever more rarely as long as the views don't become the same. A zero digest is of a ping that
  // doesn't carry one.
  void OnViewDigest(const transport::SenderIdentity& sender, std::uint32_t digest,
                    bool has_no_pending_updates, base::TimePoint now);
  void OnDigestOffer(const transport::SenderIdentity& sender, const proto::DigestOffer& offer,
                     base::TimePoint now);
  void OnBucketSummary(const transport::SenderIdentity& sender,
                       const proto::BucketSummary& summary);
  void OnRecordRequest(const transport::SenderIdentity& sender,
                       const proto::RecordRequest& request);

  // Notes that `holder` has a record this node can't use without its metadata.
  void QueueRecordRequest(base::NodeId node);
  // Asks `holder` for the records noted since the last call, each once a second at most.
  void SendRecordRequests(const base::SocketAddress& holder, base::TimePoint now);

  void OnTick(base::TimePoint now);
  base::TimePoint NextWakeUp() const;

 private:
  struct RecordToSend {
    const Member* member = nullptr;
    RecordDetail detail = RecordDetail::kFull;
  };

  static constexpr std::size_t kMaximumBucketsCompared = 8;    // in one exchange
  static constexpr std::size_t kMaximumRecordsRequested = 64;  // in one message
  static constexpr std::size_t kMaximumTrackedRequests = 1024;
  static constexpr unsigned kMaximumBackOffFactor = 8;  // join timeouts between two tries

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
  base::NodeId cursor_;                              // members up to here were received
  absl::btree_set<base::NodeId> used_page_sources_;  // each has bytes for one or two in a second
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
