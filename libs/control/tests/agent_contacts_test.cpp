#include "gaugevalve/control/agent_contacts.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/control/control_node.h"

namespace gaugevalve::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kStart(seconds(100));
constexpr base::Incarnation kProcess(1'000);
const base::ServiceId k_service = base::MakeServiceId("stock");

membership::Member MakeAgent(const std::string& name, base::ServiceId service) {
  membership::MemberMetadata metadata;
  metadata.role = membership::Role::kAgent;
  metadata.service = service;
  metadata.process_incarnation = kProcess;
  membership::Member member;
  member.node = base::MakeNodeId(name);
  member.incarnation = kProcess;
  member.metadata_version = kProcess;
  member.metadata = std::make_shared<const membership::MemberMetadata>(metadata);
  return member;
}

// An agent of `k_service` that knows two others, one of them of another service.
class AgentContactsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentContactsTest);
  CPPUNIT_TEST(ContactsAreReportedAFewTimesASecond);
  CPPUNIT_TEST(ContactsThatWereNotTakenStay);
  CPPUNIT_TEST(OnlyAgentsOfTheOwnServiceAreNoted);
  CPPUNIT_TEST(AnEarlierProcessIsNotNoted);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<ControlNode> node_;

  void Hear(const std::string& name, base::Incarnation incarnation, base::TimePoint now) {
    transport::SenderIdentity sender;
    sender.node = base::MakeNodeId(name);
    sender.incarnation = incarnation;
    node_->NoteContact(sender, transport::MessageKind::kRequestHandOver, now);
  }

 public:
  void setUp() override {
    ControlNodeOptions options;
    options.name = "self";
    options.metadata = *MakeAgent("self", k_service).metadata;
    node_ = std::make_unique<ControlNode>(options);
    const std::vector<membership::Member> others{
        MakeAgent("peer", k_service), MakeAgent("foreign", base::MakeServiceId("drawings"))};
    node_->Preload(others);
  }

  void ContactsAreReportedAFewTimesASecond() {
    AgentContacts& contacts = node_->Contacts();
    CPPUNIT_ASSERT(!contacts.IsReportDue(kStart));
    Hear("peer", kProcess, kStart);
    CPPUNIT_ASSERT(contacts.IsReportDue(kStart));
    contacts.OnReported(kStart);
    Hear("peer", kProcess, kStart + milliseconds(1));
    CPPUNIT_ASSERT(!contacts.IsReportDue(kStart + milliseconds(199)));
    CPPUNIT_ASSERT(contacts.IsReportDue(kStart + milliseconds(200)));
  }

  void ContactsThatWereNotTakenStay() {
    Hear("peer", kProcess, kStart);
    Hear("peer", kProcess, kStart + seconds(1));
    const auto pending = node_->Contacts().Pending();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pending.size());
    CPPUNIT_ASSERT(pending[0].agent ==
                   (routing::AgentIncarnation{base::MakeNodeId("peer"), kProcess}));
    CPPUNIT_ASSERT(pending[0].source == routing::ContactSource::kHandOver);
    CPPUNIT_ASSERT(pending[0].heard_at == kStart + seconds(1));
    CPPUNIT_ASSERT(node_->Contacts().IsReportDue(kStart + seconds(1)));
  }

  void OnlyAgentsOfTheOwnServiceAreNoted() {
    Hear("foreign", kProcess, kStart);
    Hear("unknown", kProcess, kStart);
    CPPUNIT_ASSERT(node_->Contacts().Pending().empty());
  }

  void AnEarlierProcessIsNotNoted() {
    Hear("peer", base::Incarnation(kProcess.value() - 1), kStart);
    CPPUNIT_ASSERT(node_->Contacts().Pending().empty());
    Hear("peer", base::Incarnation(kProcess.value() + 1), kStart);  // it refuted a suspicion
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node_->Contacts().Pending().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentContactsTest);

}  // namespace
}  // namespace gaugevalve::control
