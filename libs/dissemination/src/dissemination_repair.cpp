// Comparison with a random peer, and reading all records on joining. See dissemination_core.cpp.
#include <algorithm>
#include <unordered_map>

#include "gaugevalve/dissemination/dissemination.pb.h"
#include "gaugevalve/dissemination/dissemination_core.h"
#include "gaugevalve/dissemination/value_codec.h"
#include "message_codec.h"

namespace gaugevalve::dissemination {
namespace {

// Limits on what one comparison message makes the receiver send.
constexpr std::size_t kMaxBranchesFollowed = 2;
constexpr std::size_t kMaxLeavesFollowed = 4;
constexpr std::size_t kMaxUpdatesPerAnswer = 64;
constexpr std::uint32_t kPageRetryMilliseconds = 500;
// If at least this many branches differ, the differences are read in pages.
constexpr std::size_t kBranchesForPages = 12;

void FillLevel(std::uint32_t branch_plus_one, const DigestTree::Digests& digests,
               proto::DigestLevel& level) {
  level.set_branch_plus_one(branch_plus_one);
  level.mutable_digests()->Assign(digests.begin(), digests.end());
}

// Returns at most `limit` positions at which the digests differ. The search starts at a random
// position, so that all positions of a long list are covered evenly over time.
std::vector<std::size_t> Differences(const DigestTree::Digests& own,
                                     const proto::DigestLevel& theirs, std::size_t limit,
                                     base::RandomSource& random) {
  std::vector<std::size_t> found;
  if (theirs.digests_size() != static_cast<int>(own.size())) {
    return found;
  }
  const std::size_t start = random.NextBelow(own.size());
  for (std::size_t step = 0; step < own.size() && found.size() < limit; ++step) {
    const std::size_t place = (start + step) % own.size();
    if (own[place] != theirs.digests(static_cast<int>(place))) {
      found.push_back(place);
    }
  }
  return found;
}

std::vector<const proto::Entry*> PointersTo(
    const google::protobuf::RepeatedPtrField<proto::Entry>& entries) {
  std::vector<const proto::Entry*> pointers;
  for (const proto::Entry& entry : entries) {
    pointers.push_back(&entry);
  }
  return pointers;
}

}  // namespace

void DisseminationCore::CompareWithRandomPeer(base::TimePoint now, Actions& actions) {
  answers_.budget.Refill(now);
  const base::Duration usual =
      options_.interest.everything ? options_.compare_interval : options_.narrow_compare_interval;
  // The budget does not hold back comparisons, but halves their rate while it is overdrawn.
  const base::Duration interval = answers_.budget.HasTokens() ? usual : 2 * usual;
  next_comparison_ = now + interval / 2 + random_->NextJitter(interval);
  const base::NodeId peer = peers_.ChooseFullPeer();
  if (peer != base::NodeId()) {
    CompareWith(peer, now, actions);
  }
}

void DisseminationCore::CompareWith(base::NodeId peer, base::TimePoint now, Actions& actions) {
  proto::Message message;
  if (options_.interest.everything) {
    comparison_token_ = store_.Digests().Root();
    message.set_compare_root(comparison_token_);
  } else {
    comparison_token_ = random_->NextUint64();
    proto::InterestEntries& interest = *message.mutable_interest();
    interest.set_scope(options_.interest.scope);
    interest.set_common_kinds(options_.interest.common_kinds);
    interest.set_token(comparison_token_);
    for (const Record* record : store_.Covered(options_.interest)) {
      FillEntry(record->key, record->stamp, *interest.add_entries());
    }
  }
  compared_peer_ = peer;
  compared_at_ = now;
  Send(peer, message, answers_.budget, actions);
}

void DisseminationCore::AnswerComparison(base::NodeId from, const proto::Message& message,
                                         base::TimePoint now, Actions& actions) {
  proto::Message answer;
  const DigestTree& digests = store_.Digests();
  if (message.has_compare_root()) {
    if (message.compare_root() == digests.Root()) {
      answer.set_equal(message.compare_root());
    } else {
      FillLevel(0, digests.Branches(), *answer.add_levels());
    }
  }
  for (const proto::DigestLevel& level : message.levels()) {
    if (level.branch_plus_one() == 0) {
      ++counters_.comparisons_different;
      const std::size_t differing =
          Differences(digests.Branches(), level, DigestTree::kFanout, *random_).size();
      if (differing >= kBranchesForPages) {
        StartPageReads(from, now);
        continue;
      }
      for (const std::size_t branch :
           Differences(digests.Branches(), level, kMaxBranchesFollowed, *random_)) {
        FillLevel(static_cast<std::uint32_t>(branch) + 1, digests.LeavesOf(branch),
                  *answer.add_levels());
      }
      continue;
    }
    const std::size_t branch = level.branch_plus_one() - 1;
    if (branch >= DigestTree::kFanout) {
      continue;
    }
    for (const std::size_t place :
         Differences(digests.LeavesOf(branch), level, kMaxLeavesFollowed, *random_)) {
      const std::size_t leaf = branch * DigestTree::kFanout + place;
      proto::LeafEntries& entries = *answer.add_leaves();
      entries.set_leaf(static_cast<std::uint32_t>(leaf));
      for (const Record* record : store_.InLeaves(leaf, leaf + 1)) {
        FillEntry(record->key, record->stamp, *entries.add_entries());
      }
    }
  }
  for (const proto::LeafEntries& leaf : message.leaves()) {
    // Only announced: the peer may be receiving the same records from another comparison.
    for (const Record* record : CompareEntries(from, store_.InLeaves(leaf.leaf(), leaf.leaf() + 1),
                                               PointersTo(leaf.entries()), now)) {
      FillEntry(record->key, record->stamp, *answer.add_announcements());
    }
  }
  if (message.has_interest()) {
    AnswerInterest(from, message.interest(), now, answer);
  }
  if (message.has_equal()) {
    HandleEqual(from, message.equal());
  }
  if (answer.ByteSizeLong() > 0) {
    Send(from, answer, answers_.budget, actions);
  }
}

void DisseminationCore::AnswerInterest(base::NodeId from, const proto::InterestEntries& entries,
                                       base::TimePoint now, proto::Message& answer) {
  const Interest interest{false, entries.scope(), entries.common_kinds()};
  absl::flat_hash_map<RecordKey, RecordStamp> known;
  for (const proto::Entry& entry : entries.entries()) {
    known[KeyOf(entry)] = StampOf(entry);
  }
  const std::vector<const Record*> lacking =
      CompareEntries(from, store_.Covered(interest), PointersTo(entries.entries()), now);
  for (const Record* record : lacking) {
    Enqueue({from, record->key, SendMode::kReply, known[record->key], true, now});
  }
  if (lacking.empty()) {
    answer.set_equal(entries.token());
  }
}

// Requests the records of which the peer has a newer version. Returns the records in `held` that
// the peer lacks, at most kMaxUpdatesPerAnswer.
std::vector<const Record*> DisseminationCore::CompareEntries(
    base::NodeId from, const std::vector<const Record*>& held,
    const std::vector<const proto::Entry*>& theirs, base::TimePoint now) {
  absl::flat_hash_map<RecordKey, RecordStamp> known;
  for (const proto::Entry* entry : theirs) {
    known[KeyOf(*entry)] = StampOf(*entry);
    RequestFrom(from, KeyOf(*entry), StampOf(*entry), now);
  }
  std::vector<const Record*> lacking;
  for (const Record* record : held) {
    const auto found = known.find(record->key);
    const RecordStamp peer_stamp = found == known.end() ? RecordStamp{} : found->second;
    if (record->stamp > peer_stamp && lacking.size() < kMaxUpdatesPerAnswer) {
      lacking.push_back(record);
    }
  }
  return lacking;
}

void DisseminationCore::HandleEqual(base::NodeId from, std::uint64_t token) {
  if (from != compared_peer_ || token != comparison_token_) {
    return;
  }
  compared_peer_ = base::NodeId();
  ++counters_.comparisons_equal;
  confirmed_at_ = std::max(confirmed_at_, compared_at_);
  joined_ = true;
}

// Starts to read the differing records in pages, unless a read is in progress.
void DisseminationCore::StartPageReads(base::NodeId source, base::TimePoint now) {
  const bool reading = std::any_of(streams_.begin(), streams_.end(),
                                   [](const ReadStream& stream) { return !stream.done; });
  if (reading) {
    return;
  }
  streams_.clear();
  const std::size_t width = DigestTree::kLeafCount / options_.read_streams;
  for (std::size_t first = 0; first < DigestTree::kLeafCount; first += width) {
    ReadStream stream;
    stream.source = source;
    stream.first_leaf = first;
    stream.end_leaf = std::min(first + width, DigestTree::kLeafCount);
    stream.deadline = now;
    streams_.push_back(stream);
  }
}

// Requests the pages that are due. If the source of a stream does not answer, the stream continues
// with another one.
void DisseminationCore::AdvancePageReads(base::TimePoint now, Actions& actions) {
  const bool must_join = options_.interest.everything && !joined_ && streams_.empty();
  if (must_join && peers_.FullPeerCount() > 0) {
    StartPageReads(base::NodeId(), now);
  }
  for (ReadStream& stream : streams_) {
    if (stream.done || now < stream.deadline) {
      continue;
    }
    const bool unanswered = stream.asked || stream.source == base::NodeId();
    if (unanswered) {
      stream.source = peers_.ChooseFullPeer();
    }
    stream.asked = true;
    stream.deadline = now + options_.page_timeout;
    if (stream.source != base::NodeId()) {
      RequestPage(stream, actions);
    }
  }
}

void DisseminationCore::RequestPage(const ReadStream& stream, Actions& actions) {
  proto::Message message;
  proto::PageRequest& request = *message.mutable_page_request();
  request.set_first_leaf(static_cast<std::uint32_t>(stream.first_leaf));
  request.set_end_leaf(static_cast<std::uint32_t>(stream.end_leaf));
  if (stream.has_after) {
    FillEntry(stream.after, {}, *request.mutable_after());
  }
  if (joined_) {
    for (std::size_t leaf = stream.first_leaf; leaf < stream.end_leaf; ++leaf) {
      request.add_leaf_digests(store_.Digests().Leaf(leaf));
    }
  }
  Send(stream.source, message, answers_.budget, actions);
}

void DisseminationCore::ServePage(base::NodeId from, const proto::PageRequest& request,
                                  base::TimePoint now, Actions& actions) {
  proto::Message message;
  proto::Page& page = *message.mutable_page();
  page.set_first_leaf(request.first_leaf());
  page.set_end_leaf(request.end_leaf());
  page_budget_.Refill(now);
  if (!page_budget_.HasTokens()) {
    page.set_retry_after_milliseconds(kPageRetryMilliseconds);
    Send(from, message, page_budget_, actions);
    return;
  }
  const bool has_digests = request.leaf_digests_size() + request.first_leaf() == request.end_leaf();
  const RecordKey after = KeyOf(request.after());
  const std::vector<const Record*> records =
      store_.InLeaves(std::min<std::size_t>(request.first_leaf(), DigestTree::kLeafCount),
                      std::min<std::size_t>(request.end_leaf(), DigestTree::kLeafCount),
                      request.has_after() ? &after : nullptr);
  std::size_t bytes = 0;
  std::size_t taken = 0;
  for (; taken < records.size() && bytes < options_.page_bytes; ++taken) {
    const std::size_t leaf = DigestTree::LeafOf(records[taken]->key);
    const bool agrees =
        has_digests && request.leaf_digests(static_cast<int>(leaf - request.first_leaf())) ==
                           store_.Digests().Leaf(leaf);
    if (agrees) {
      continue;
    }
    proto::Update& update = *page.add_updates();
    FillEntry(records[taken]->key, records[taken]->stamp, *update.mutable_entry());
    update.set_value(CompressValue(*records[taken]->value));
    bytes += update.ByteSizeLong();
  }
  page.set_done(taken == records.size());
  ++counters_.pages_served;
  counters_.page_bytes_sent += message.ByteSizeLong();
  Send(from, message, page_budget_, actions);
}

void DisseminationCore::HandlePage(base::NodeId from, const proto::Page& page, base::TimePoint now,
                                   Actions& actions) {
  const auto stream =
      std::find_if(streams_.begin(), streams_.end(), [&](const ReadStream& candidate) {
        return candidate.first_leaf == page.first_leaf() && candidate.end_leaf == page.end_leaf();
      });
  if (stream == streams_.end() || stream->done || stream->source != from) {
    return;
  }
  for (const proto::Update& update : page.updates()) {
    HandleUpdate(from, update, false, now, actions);
    stream->has_after = true;
    stream->after = KeyOf(update.entry());
  }
  stream->asked = false;
  stream->done = page.done();
  stream->deadline = now + std::chrono::milliseconds(page.retry_after_milliseconds());
  joined_ = joined_ || std::all_of(streams_.begin(), streams_.end(),
                                   [](const ReadStream& each) { return each.done; });
  AdvancePageReads(now, actions);
}

}  // namespace gaugevalve::dissemination
