#include "gaugevalve/flow/bucket_ownership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <string>

namespace gaugevalve::flow {
namespace {

using std::chrono::seconds;

constexpr base::ServiceId kService(5);
constexpr std::size_t kBuckets = 4;
constexpr std::uint64_t kFlowHash = 2;  // bucket 2
constexpr base::BucketIndex kBucket(2);

base::NodeId Node(int number) { return base::NodeId(static_cast<std::uint64_t>(number)); }

// A table of agents 1 to 4, all started at incarnation 10, whose buckets are all alike.
routing::BucketTable MakeTable(std::uint32_t sequence, int owner, const std::vector<int>& chain) {
  routing::BucketTable table;
  table.service = kService;
  table.version = {1, 0, sequence};
  for (int number = 1; number <= 4; ++number) {
    const auto port = static_cast<std::uint16_t>(number);
    table.agents.push_back(
        {Node(number), base::Incarnation(10), base::SocketAddress::Ipv4(0x7f000001, port), "east"});
  }
  routing::Bucket bucket{table.version, Node(owner), {}};
  for (const int number : chain) {
    bucket.previous_owners.push_back(Node(number));
  }
  table.buckets.assign(kBuckets, bucket);
  return table;
}

// The header of a balancer that has this table.
wire::ForwardingHeader FromBalancer(const routing::BucketTable& table) {
  wire::ForwardingHeader header;
  header.service = kService;
  header.table_version = table.version;
  header.bucket = kBucket;
  header.entry = wire::ResolveBucket(table, kBucket);
  header.target = header.entry.owner.node;
  return header;
}

// An agent with a table, at a standing time.
class Agent {
 public:
  Agent(int number, const routing::BucketTable& table)
      : ownership_({Node(number), base::Incarnation(10), kService}, OwnershipSettings()) {
    ownership_.UpdateTable(table, base::TimePoint());
  }

  // Returns "serve", "open", "pass:PORT" or the reason for the drop.
  // `held` is the version under which the agent has the flow confirmed; 0 is "not at all".
  std::string Decide(wire::ForwardingHeader& header, std::uint32_t held = 0,
                     base::Duration age = base::Duration(0)) {
    if (const auto reason = ownership_.ReconcileEntry(header, kFlowHash)) {
      return std::string(ToString(*reason));
    }
    const auto confirmed =
        held > 0 ? std::optional(routing::TableVersion{1, 0, held}) : std::nullopt;
    const OwnershipDecision decision =
        ownership_.Decide(header, confirmed, base::TimePoint() + age);
    switch (decision.verdict) {
      case Verdict::kServe:
        return "serve";
      case Verdict::kOpen:
        return "open";
      case Verdict::kPassOn:
        return "pass:" + std::to_string(decision.next_hop.port);
      case Verdict::kDrop:
        break;
    }
    return std::string(ToString(decision.reason));
  }

  BucketOwnership& Ownership() { return ownership_; }

 private:
  BucketOwnership ownership_;
};

class BucketOwnershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BucketOwnershipTest);
  CPPUNIT_TEST(OwnerWithoutChainOpens);
  CPPUNIT_TEST(OwnerAsksTheWholeChainBeforeItOpens);
  CPPUNIT_TEST(PreviousOwnerServesWhatItHas);
  CPPUNIT_TEST(PreviousOwnerNeverOpensUnderAnOlderEntry);
  CPPUNIT_TEST(NewerEntryOfADatagramIsRemembered);
  CPPUNIT_TEST(NewerEntryStartsTheWalkAnew);
  CPPUNIT_TEST(UnconfirmedFlowIsServedOnlyAfterAWalk);
  CPPUNIT_TEST(NewestClaimServes);
  CPPUNIT_TEST(ClaimThatLapsedIsAskedForAnew);
  CPPUNIT_TEST(ForeignDatagramsAreDropped);
  CPPUNIT_TEST(StaleAgentServesButOpensNothing);
  CPPUNIT_TEST(AgentThatWasFrozenOpensNothingUntilConfirmed);
  CPPUNIT_TEST(FormerLifeInTheTableOpensNothing);
  CPPUNIT_TEST(DrainingAgentOpensNothingAfterTheGrace);
  CPPUNIT_TEST(HopsAreBounded);
  CPPUNIT_TEST(TableOfAnotherSizeIsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OwnerWithoutChainOpens() {
    const auto table = MakeTable(1, 1, {});
    auto header = FromBalancer(table);
    CPPUNIT_ASSERT_EQUAL(std::string("open"), Agent(1, table).Decide(header));
  }

  void OwnerAsksTheWholeChainBeforeItOpens() {
    const auto table = MakeTable(1, 1, {2, 3});
    auto header = FromBalancer(table);
    CPPUNIT_ASSERT_EQUAL(std::string("pass:2"), Agent(1, table).Decide(header));
    CPPUNIT_ASSERT_EQUAL(std::string("pass:3"), Agent(2, table).Decide(header));
    CPPUNIT_ASSERT_EQUAL(std::string("pass:1"), Agent(3, table).Decide(header));
    CPPUNIT_ASSERT_EQUAL(std::string("open"), Agent(1, table).Decide(header));
    CPPUNIT_ASSERT_EQUAL(std::uint8_t{3}, header.hop_count);
  }

  void PreviousOwnerServesWhatItHas() {
    const auto table = MakeTable(2, 1, {2});
    auto header = FromBalancer(table);
    Agent(1, table).Decide(header);
    CPPUNIT_ASSERT_EQUAL(std::string("serve"), Agent(2, table).Decide(header, 1));
  }

  void PreviousOwnerNeverOpensUnderAnOlderEntry() {
    auto header = FromBalancer(MakeTable(1, 2, {}));
    CPPUNIT_ASSERT_EQUAL(std::string("pass:1"), Agent(2, MakeTable(2, 1, {2})).Decide(header));
    CPPUNIT_ASSERT(header.entry.version == (routing::TableVersion{1, 0, 2}));
  }

  void NewerEntryOfADatagramIsRemembered() {
    Agent agent(2, MakeTable(1, 2, {}));
    auto newer = FromBalancer(MakeTable(2, 1, {2}));
    newer.target = Node(2);
    newer.walk = wire::ChainWalk::kWalking;
    CPPUNIT_ASSERT_EQUAL(std::string("pass:1"), agent.Decide(newer));
    auto older = FromBalancer(MakeTable(1, 2, {}));
    CPPUNIT_ASSERT_EQUAL(std::string("pass:1"), agent.Decide(older));
    agent.Ownership().UpdateTable(MakeTable(1, 2, {}), base::TimePoint());
    older = FromBalancer(MakeTable(1, 2, {}));
    CPPUNIT_ASSERT_EQUAL(std::string("pass:1"), agent.Decide(older));
  }

  void NewerEntryStartsTheWalkAnew() {
    auto header = FromBalancer(MakeTable(1, 1, {2}));
    header.walk = wire::ChainWalk::kFinished;
    CPPUNIT_ASSERT_EQUAL(std::string("pass:3"), Agent(1, MakeTable(2, 1, {3})).Decide(header));
    CPPUNIT_ASSERT(header.walk == wire::ChainWalk::kWalking);
  }

  void UnconfirmedFlowIsServedOnlyAfterAWalk() {
    const auto table = MakeTable(2, 1, {2});
    auto direct = FromBalancer(MakeTable(1, 2, {}));
    Agent previous(2, table);
    CPPUNIT_ASSERT_EQUAL(std::string("pass:1"), previous.Decide(direct, 1));
    CPPUNIT_ASSERT_EQUAL(std::string("pass:2"), Agent(1, table).Decide(direct));
    CPPUNIT_ASSERT_EQUAL(std::string("serve"), previous.Decide(direct, 1));
  }

  void NewestClaimServes() {
    const auto table = MakeTable(9, 1, {2, 3, 4});
    auto header = FromBalancer(table);
    CPPUNIT_ASSERT_EQUAL(std::string("pass:2"), Agent(1, table).Decide(header, 5));
    CPPUNIT_ASSERT_EQUAL(std::string("pass:3"), Agent(2, table).Decide(header, 4));
    CPPUNIT_ASSERT_EQUAL(std::string("pass:4"), Agent(3, table).Decide(header, 7));
    CPPUNIT_ASSERT_EQUAL(std::string("pass:3"), Agent(4, table).Decide(header, 6));
    CPPUNIT_ASSERT_EQUAL(std::string("serve"), Agent(3, table).Decide(header, 7));
  }

  void ClaimThatLapsedIsAskedForAnew() {
    const auto table = MakeTable(9, 1, {2, 3});
    auto header = FromBalancer(table);
    Agent(1, table).Decide(header);
    Agent(2, table).Decide(header, 4);
    CPPUNIT_ASSERT_EQUAL(std::string("pass:2"), Agent(3, table).Decide(header));
    CPPUNIT_ASSERT_EQUAL(std::string("pass:1"), Agent(2, table).Decide(header));
    CPPUNIT_ASSERT_EQUAL(std::string("pass:2"), Agent(1, table).Decide(header));
    CPPUNIT_ASSERT(header.claim == wire::FlowClaim());
  }

  void ForeignDatagramsAreDropped() {
    const auto table = MakeTable(1, 1, {});
    Agent agent(1, table);
    auto service = FromBalancer(table);
    service.service = base::ServiceId(6);
    CPPUNIT_ASSERT_EQUAL(std::string("foreign_service"), agent.Decide(service));
    auto target = FromBalancer(table);
    target.target = Node(9);
    CPPUNIT_ASSERT_EQUAL(std::string("foreign_target"), agent.Decide(target));
    auto bucket = FromBalancer(table);
    bucket.bucket = base::BucketIndex(1);
    CPPUNIT_ASSERT_EQUAL(std::string("wrong_bucket"), agent.Decide(bucket));
    auto nobody = FromBalancer(MakeTable(2, 0, {}));
    nobody.target = Node(1);
    CPPUNIT_ASSERT_EQUAL(std::string("no_owner"), agent.Decide(nobody));
  }

  void StaleAgentServesButOpensNothing() {
    const auto table = MakeTable(1, 1, {});
    Agent agent(1, table);
    auto header = FromBalancer(table);
    CPPUNIT_ASSERT_EQUAL(std::string("open"), agent.Decide(header, 0, seconds(2)));
    CPPUNIT_ASSERT_EQUAL(std::string("stale_table"), agent.Decide(header, 0, seconds(6)));
    CPPUNIT_ASSERT_EQUAL(std::string("serve"), agent.Decide(header, 1, seconds(6)));
    agent.Ownership().UpdateTable(table, base::TimePoint(seconds(4)));
    CPPUNIT_ASSERT_EQUAL(std::string("open"), agent.Decide(header, 0, seconds(6)));
  }

  void AgentThatWasFrozenOpensNothingUntilConfirmed() {
    const auto table = MakeTable(1, 1, {});
    Agent agent(1, table);
    auto header = FromBalancer(table);
    agent.Ownership().NoteTime(base::TimePoint());
    agent.Ownership().NoteTime(base::TimePoint(seconds(1)));
    CPPUNIT_ASSERT_EQUAL(std::string("open"), agent.Decide(header, 0, seconds(1)));
    const base::TimePoint woken = base::TimePoint(seconds(2)) + base::Duration(1);
    agent.Ownership().NoteTime(woken);
    CPPUNIT_ASSERT_EQUAL(std::string("stale_table"), agent.Decide(header, 0, seconds(2)));
    agent.Ownership().UpdateTable(table, woken);
    CPPUNIT_ASSERT_EQUAL(std::string("open"), agent.Decide(header, 0, seconds(2)));
  }

  void FormerLifeInTheTableOpensNothing() {
    auto table = MakeTable(1, 1, {});
    table.agents[0].incarnation = base::Incarnation(9);
    Agent agent(1, table);
    auto header = FromBalancer(table);
    CPPUNIT_ASSERT_EQUAL(std::string("not_listed"), agent.Decide(header));
    table.agents[0].incarnation = base::Incarnation(11);
    agent.Ownership().UpdateTable(table, base::TimePoint());
    CPPUNIT_ASSERT_EQUAL(std::string("open"), agent.Decide(header));
  }

  void DrainingAgentOpensNothingAfterTheGrace() {
    const auto table = MakeTable(1, 1, {});
    Agent agent(1, table);
    auto header = FromBalancer(table);
    agent.Ownership().StartDraining(base::TimePoint());
    CPPUNIT_ASSERT_EQUAL(std::string("open"), agent.Decide(header, 0, seconds(2)));
    agent.Ownership().UpdateTable(table, base::TimePoint(seconds(3)));
    CPPUNIT_ASSERT_EQUAL(std::string("draining"), agent.Decide(header, 0, seconds(3)));
    auto alone = MakeTable(2, 1, {});
    alone.agents.resize(1);
    agent.Ownership().UpdateTable(alone, base::TimePoint());
    CPPUNIT_ASSERT_EQUAL(std::string("open"), agent.Decide(header, 0, seconds(3)));
  }

  void HopsAreBounded() {
    const auto table = MakeTable(1, 1, {2});
    for (const int hops : {int{kMaxHops}, int{std::numeric_limits<std::uint8_t>::max()}}) {
      auto header = FromBalancer(table);
      header.hop_count = static_cast<std::uint8_t>(hops);
      CPPUNIT_ASSERT_EQUAL(std::string("hop_limit"), Agent(1, table).Decide(header));
    }
  }

  void TableOfAnotherSizeIsIgnored() {
    Agent agent(1, MakeTable(1, 1, {}));
    auto larger = MakeTable(2, 2, {});
    larger.buckets.resize(2 * kBuckets, larger.buckets[0]);
    agent.Ownership().UpdateTable(larger, base::TimePoint());
    CPPUNIT_ASSERT_EQUAL(kBuckets, agent.Ownership().BucketCount());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, agent.Ownership().AcknowledgedVersion().sequence);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BucketOwnershipTest);

}  // namespace
}  // namespace gaugevalve::flow
