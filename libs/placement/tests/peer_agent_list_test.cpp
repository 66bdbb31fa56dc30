#include "gaugevalve/placement/peer_agent_list.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "gaugevalve/placement/node_message.h"
#include "placement_fixture.h"

namespace gaugevalve::placement {
namespace {

using testing::Node;
using testing::Report;

constexpr std::size_t kDatagramLimit = 1'400;  // bytes: no fragments

class PeerAgentListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerAgentListTest);
  CPPUNIT_TEST(ItListsWhatWasNamedWithoutItself);
  CPPUNIT_TEST(ANameIsListedOnce);
  CPPUNIT_TEST(TheNewestNamesStay);
  CPPUNIT_TEST(NamesThatNobodyRepeatsAreForgotten);
  CPPUNIT_TEST(AFullListFitsADatagramWithTheReport);
  CPPUNIT_TEST(AListingForTheStoreIsReadAsItWasWritten);
  CPPUNIT_TEST(AMalformedListingIsNoListing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ItListsWhatWasNamedWithoutItself() {
    Name(1, 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fellows.List().size());
  }

  void ANameIsListedOnce() {
    Name(2, 4);
    Name(2, 4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_fellows.List().size());
  }

  void TheNewestNamesStay() {
    Name(2, 1 + PeerAgentList::kLimit);
    Name(1'000, 1'010);
    const std::vector<ListedAgent> listed = m_fellows.List();
    CPPUNIT_ASSERT_EQUAL(PeerAgentList::kLimit, listed.size());
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{11},
                         std::count_if(listed.begin(), listed.end(), [](const ListedAgent& agent) {
                           return !(agent.address < Node(1'000));
                         }));
  }

  void NamesThatNobodyRepeatsAreForgotten() {
    Name(2, 3);
    for (int named = 0; named < 254; ++named) {
      Name(3, 3);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fellows.List().size());
    Name(3, 3);
    Name(3, 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fellows.List().size());
  }

  void AFullListFitsADatagramWithTheReport() {
    Name(2, 500);
    AgentReport report = Report(1'000'000);
    report.fellows = m_fellows.List();
    const std::string datagram = EncodeNodeMessage(report);
    CPPUNIT_ASSERT(datagram.size() < kDatagramLimit);
    const auto read = DecodeNodeMessage(
        std::span(reinterpret_cast<const std::uint8_t*>(datagram.data()), datagram.size()),
        testing::kNodePort);
    CPPUNIT_ASSERT(read);
    const auto& fellows = std::get<AgentReport>(*read).fellows;
    CPPUNIT_ASSERT_EQUAL(PeerAgentList::kLimit, fellows.size());
    CPPUNIT_ASSERT(fellows.front().address == report.fellows.front().address);
    CPPUNIT_ASSERT(fellows.front().service == report.fellows.front().service);
  }

  void AListingForTheStoreIsReadAsItWasWritten() {
    const AgentListing listing{{{Node(5), testing::drawings_service}}, 204};
    const auto read = DecodeAgentListing(EncodeAgentListing(listing), testing::kNodePort);
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT_EQUAL(std::size_t{204}, read->agent_count);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read->agents.size());
    CPPUNIT_ASSERT(read->agents.front().address == Node(5));
    CPPUNIT_ASSERT(read->agents.front().service == testing::drawings_service);
  }

  void AMalformedListingIsNoListing() {
    CPPUNIT_ASSERT(!DecodeAgentListing("\xff\xff\xff", testing::kNodePort));
  }

 private:
  void Name(std::uint32_t first, std::uint32_t last) {
    std::vector<ListedAgent> named;
    for (std::uint32_t number = first; number <= last; ++number) {
      named.push_back({Node(number), testing::orders_service});
    }
    m_fellows.Take(named);
  }

  PeerAgentList m_fellows{Node(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerAgentListTest);

}  // namespace
}  // namespace gaugevalve::placement
