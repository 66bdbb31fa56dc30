#include "gaugevalve/settings/settings_tree.h"

#include <cppunit/extensions/HelperMacros.h>

#include "expect_findings.h"
#include "gaugevalve/settings/effective_settings.h"

namespace gaugevalve::settings {
namespace {

constexpr const char* kTree = R"(version: 1
slots: 7
request_deadline: 1500ms
services:
  orders:
    kind: http3
    virtual_address: 192.0.2.10:443
    regions:
      north:
        weight: 50
        zones:
          east:
            slots: 5
            endpoints:
              orders-1: {weight: 10, brownout_leave: 0.5}
              orders-2:
          west:
            endpoints: {orders-3: {}}
  files:
    kind: datagram
    virtual_address: 192.0.2.11:443
    bucket_count: 64
)";

class SettingsTreeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTreeTest);
  CPPUNIT_TEST(InnermostBranchWins);
  CPPUNIT_TEST(EachValueKnowsItsOrigin);
  CPPUNIT_TEST(ExportIsCanonicalAndReadsBack);
  CPPUNIT_TEST(ReportsAllFaultsTogetherWithTheirPlaces);
  CPPUNIT_TEST(ReportsServicesThatClash);
  CPPUNIT_TEST(ReportsServicesWhoseIdentifiersCollide);
  CPPUNIT_TEST(RefusesOtherVersions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InnermostBranchWins() {
    const EffectiveSettings settings = Resolve(ParseTree(kTree, "t"));
    const ServiceSettings* orders = settings.FindService("orders");
    CPPUNIT_ASSERT(orders->kind == ServiceKind::kHttp3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, orders->endpoints.size());
    CPPUNIT_ASSERT_EQUAL(10U, orders->FindEndpoint("orders-1")->weight);
    CPPUNIT_ASSERT_EQUAL(50U, orders->FindEndpoint("orders-2")->weight);
    CPPUNIT_ASSERT_EQUAL(5U, orders->FindEndpoint("orders-2")->slots);
    CPPUNIT_ASSERT_EQUAL(7U, orders->FindEndpoint("orders-3")->slots);
    CPPUNIT_ASSERT(base::Duration(1'500'000) == orders->FindEndpoint("orders-3")->request_deadline);
    CPPUNIT_ASSERT_EQUAL(64U, settings.FindService("files")->bucket_count);
  }

  void EachValueKnowsItsOrigin() {
    const EffectiveSettings settings = Resolve(ParseTree(kTree, "t"));
    const EndpointSettings& endpoint = *settings.FindService("orders")->FindEndpoint("orders-1");
    CPPUNIT_ASSERT_EQUAL(std::string("from endpoint orders-1"),
                         endpoint.DescribeOrigin(FieldId::kWeight));
    CPPUNIT_ASSERT_EQUAL(std::string("from zone east"), endpoint.DescribeOrigin(FieldId::kSlots));
    CPPUNIT_ASSERT_EQUAL(std::string("from the root"),
                         endpoint.DescribeOrigin(FieldId::kRequestDeadline));
    CPPUNIT_ASSERT_EQUAL(std::string("built-in default"),
                         endpoint.DescribeOrigin(FieldId::kPriority));
  }

  void ExportIsCanonicalAndReadsBack() {
    const SettingsTree tree = ParseTree(kTree, "t");
    const std::string exported = ExportTree(tree);
    CPPUNIT_ASSERT(tree == ParseTree(exported, "t"));
    CPPUNIT_ASSERT_EQUAL(exported, ExportTree(ParseTree(exported, "t")));
  }

  void ReportsAllFaultsTogetherWithTheirPlaces() {
    const std::string text =
        "version: 1\nslotz: 3\nkind: http3\nservices:\n  a:\n    kind: tcp\n    slots: many\n"
        "    queue_length: -1\n    request_deadline: 5\n    slots: 6\n    zones: {}\n"
        "    regions:\n      r 1: {}\n      r2: {zones: {z: {endpoints: {e: {weight: [1]}}}}}\n";
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "t:2:8: slotz: unknown key 'slotz'; did you mean 'slots'?\n"
            "t:3:7: kind: can only be set at a service\n"
            "t:10:5: services.a.slots: key 'slots' appears twice in this mapping\n"
            "t:6:11: services.a.kind: 'tcp' is none of: datagram http3\n"
            "t:7:12: services.a.slots: 'many' is not a whole number\n"
            "t:8:19: services.a.queue_length: '-1' is not between 0 and 100000\n"
            "t:9:23: services.a.request_deadline: '5' is not a duration: a whole number "
            "with us, ms, s, m or h, as in 1500ms\n"
            "t:11:12: services.a.zones: unknown key 'zones'; known here: kind virtual_address "
            "bucket_count state weight priority slots connections queue_length "
            "request_deadline drain_timeout idle_timeout new_flows_per_source "
            "cold_start_ramp brownout_enter brownout_leave idempotency_window hand_over regions\n"
            "t:13:12: services.a.regions.r 1: 'r 1' is no name: 1 to 63 letters, digits, "
            "'-' or '_'\n"
            "t:14:48: services.a.regions.r2.zones.z.endpoints.e.weight: must be a single "
            "value\n"
            "t:6:5: services.a.virtual_address: is missing\n"),
        FindingsOf([&] { ParseTree(text, "t"); }));
  }

  void ReportsServicesThatClash() {
    const std::string text =
        "version: 1\nservices:\n  a: {kind: http3, virtual_address: \"192.0.2.1:1\", regions: "
        "{r: {zones: {y: {endpoints: {e: {}}}, z: {endpoints: {e: {}}}}}}}\n"
        "  b: {kind: http3, virtual_address: \"192.0.2.1:1\", brownout_enter: 0.1}\n  c: {}\n";
    CPPUNIT_ASSERT_EQUAL(
        std::string("t:3:118: services.a.regions.r.zones.z.endpoints.e: endpoint 'e' is already in "
                    "this service at services.a.regions.r.zones.y.endpoints.e\n"
                    "t:4:37: services.b.virtual_address: 192.0.2.1:1 is already the virtual "
                    "address of service 'a'\n"
                    "t:4:6: services.b: brownout_leave is above brownout_enter\n"
                    "t:5:6: services.c.kind: is missing\n"
                    "t:5:6: services.c.virtual_address: is missing\n"),
        FindingsOf([&] { ParseTree(text, "t"); }));
  }

  // The names were found by hashing numbered names until two met.
  void ReportsServicesWhoseIdentifiersCollide() {
    SettingsTree tree;
    CPPUNIT_ASSERT(base::MakeServiceId(kCollidingNames[0]) ==
                   base::MakeServiceId(kCollidingNames[1]));
    for (const char* name : kCollidingNames) {
      Branch service;
      service.level = Level::kService;
      service.name = name;
      tree.root.children.emplace(name, service);
    }
    const std::string findings = base::FormatFindings(CheckTree(tree));
    CPPUNIT_ASSERT(findings.find("the name has the same identifier as service") !=
                   std::string::npos);
  }

  void RefusesOtherVersions() {
    CPPUNIT_ASSERT_EQUAL(std::string("t:1:10: version: this release reads version 1\n"),
                         FindingsOf([] { ParseTree("version: 2\n", "t"); }));
    CPPUNIT_ASSERT_EQUAL(
        std::string("t:1:1: key 'version' is missing; this release reads version 1\n"),
        FindingsOf([] { ParseTree("slots: 2\n", "t"); }));
  }

 private:
  static constexpr const char* kCollidingNames[] = {"service-137637", "service-161609"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTreeTest);

}  // namespace
}  // namespace gaugevalve::settings
