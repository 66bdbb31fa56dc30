#include "gaugevalve/settings/node_settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include "expect_findings.h"

namespace gaugevalve::settings {
namespace {

constexpr const char* kAgentFile = R"(name: agent-1
role: agent
region: north
zone: east
data_address: 127.0.0.1:7000
control_address: 127.0.0.1:0
admin_address: 0.0.0.0:7002
seed_peers: [127.0.0.1:7101, 127.0.0.1:7102]
store_endpoints: [127.0.0.1:2379]
egress_address: 127.0.0.1:7200
connection_id_key_file: keys
agent:
  service: orders
  endpoint: orders-1
  datagram_address: 127.0.0.1:9000
static:
  services:
    - {name: orders, kind: datagram, virtual_address: 192.0.2.1:443, bucket_count: 64}
  agents:
    - {node: agent-1, service: orders, zone: east, data_address: 127.0.0.1:7000}
)";

class NodeSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeSettingsTest);
  CPPUNIT_TEST(ReadsEveryKey);
  CPPUNIT_TEST(ReportsAllFaultsTogetherWithTheirPlaces);
  CPPUNIT_TEST(HoldsStaticSettingsToTheTreesRules);
  CPPUNIT_TEST(ReportsTextThatIsNotYaml);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsEveryKey() {
    const NodeSettings settings = ParseNodeSettings(kAgentFile, "agent.yaml");
    CPPUNIT_ASSERT(settings.role == NodeRole::kAgent);
    CPPUNIT_ASSERT_EQUAL(std::string("east"), settings.zone);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:7000"), settings.data_address.ToString());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings.seed_peers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("orders-1"), settings.agent->endpoint);
    CPPUNIT_ASSERT_EQUAL(std::string("keys"), settings.connection_id_key_file);
    CPPUNIT_ASSERT(!settings.agent->http_address);
    CPPUNIT_ASSERT_EQUAL(64U, settings.static_settings->services.at(0).bucket_count);
    CPPUNIT_ASSERT_EQUAL(std::string("agent-1"), settings.static_settings->agents.at(0).node);
  }

  void ReportsAllFaultsTogetherWithTheirPlaces() {
    const std::string text =
        "name: b.1\nrole: balancer\nregion: north\nzonne: east\ndata_address: 0.0.0.0:1\n"
        "control_address: here\nadmin_address: 127.0.0.1:1\nrole: agent\nseed_peers: 5\n";
    CPPUNIT_ASSERT_EQUAL(
        std::string("n.yaml:8:1: role: key 'role' appears twice in this mapping\n"
                    "n.yaml:4:8: zonne: unknown key 'zonne'; did you mean 'zone'?\n"
                    "n.yaml:1:7: name: 'b.1' is no name: 1 to 63 letters, digits, '-' or '_'\n"
                    "n.yaml:1:1: key 'zone' is missing\n"
                    "n.yaml:5:15: data_address: must be an address that peers can reach, not the "
                    "wildcard\n"
                    "n.yaml:6:18: control_address: 'here' is not an IP address and port, as in "
                    "192.0.2.1:443\n"
                    "n.yaml:9:13: seed_peers: must be a list\n"),
        FindingsOf([&] { ParseNodeSettings(text, "n.yaml"); }));
  }

  void HoldsStaticSettingsToTheTreesRules() {
    const std::string text =
        "name: b1\nrole: balancer\nregion: r\nzone: z\ndata_address: 127.0.0.1:1\n"
        "control_address: 127.0.0.1:2\nadmin_address: 127.0.0.1:3\nstatic:\n  services:\n"
        "    - {name: s, kind: tcp, virtual_address: 192.0.2.1:1, bucket_count: 1}\n"
        "  agents:\n    - {node: a, service: t, zone: z, data_address: 127.0.0.1:4}\n";
    CPPUNIT_ASSERT_EQUAL(
        std::string("n:10:23: static.services[0].kind: 'tcp' is none of: datagram http3\n"
                    "n:10:72: static.services[0].bucket_count: '1' is not between 16 and 4096\n"
                    "n:12:26: static.agents[0].service: no service 't' in static.services\n"),
        FindingsOf([&] { ParseNodeSettings(text, "n"); }));
  }

  void ReportsTextThatIsNotYaml() {
    const std::string findings = FindingsOf([] { ParseNodeSettings("a: [1\nb: }", "n"); });
    CPPUNIT_ASSERT_MESSAGE(findings, findings.starts_with("n:2:"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeSettingsTest);

}  // namespace
}  // namespace gaugevalve::settings
