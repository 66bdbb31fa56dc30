#include "gaugevalve/control/settings_activator.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/control/record_keys.h"
#include "gaugevalve/control/settings_publisher.h"
#include "gaugevalve/control_simulation/simulated_store.h"

namespace gaugevalve::control {
namespace {

constexpr char kTree[] = R"(version: 1
services:
  stock:
    kind: datagram
    virtual_address: 192.0.2.10:443
    weight: WEIGHT
  sheets:
    kind: datagram
    virtual_address: 192.0.2.11:443
    weight: WEIGHT
)";

settings::SettingsTree TreeWithWeight(const std::string& weight) {
  std::string text = kTree;
  const std::string placeholder = "WEIGHT";
  for (std::size_t place = text.find(placeholder); place != std::string::npos;
       place = text.find(placeholder)) {
    text.replace(place, placeholder.size(), weight);
  }
  return settings::ParseTree(text, "test");
}

class SettingsActivatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsActivatorTest);
  CPPUNIT_TEST(ActivatesOnlyWhenComplete);
  CPPUNIT_TEST(PartOfLaterRevisionBlocksTheOlder);
  CPPUNIT_TEST(PublishesOnlyChangedRecords);
  CPPUNIT_TEST(MalformedRootKeepsTheActiveSettings);
  CPPUNIT_TEST(RevisionOfANewerSchemaIsRefused);
  CPPUNIT_TEST(AgentReadsItsService);
  CPPUNIT_TEST_SUITE_END();

  static constexpr dissemination::RecordStoreLimits kLimits{};

  // Returns the records that a store reader without any records would publish.
  static std::vector<PublishedRecord> AllRecords(control_simulation::SimulatedStore& store) {
    const dissemination::RecordStore nothing(kLimits);
    return RecordsFromStore(store.ReadSince(base::Revision())->key_values, nothing).records;
  }

  static void Put(dissemination::RecordStore& records, const PublishedRecord& record) {
    records.Publish(record.key, record.version, record.value);
  }

  void RevisionOfANewerSchemaIsRefused() {
    control_simulation::SimulatedStore store;
    store.Commit(TreeWithWeight("5"));
    dissemination::RecordStore records(kLimits);
    for (const PublishedRecord& record : AllRecords(store)) {
      Put(records, record);
    }
    SettingsActivator older({}, settings::kSchemaVersion - 1);
    CPPUNIT_ASSERT(older.Advance(records) == ActivationResult::kRefused);
    CPPUNIT_ASSERT(older.Findings().front().message.find("needs settings schema") !=
                   std::string::npos);
    CPPUNIT_ASSERT(older.Active().settings == nullptr);
    SettingsActivator present;
    CPPUNIT_ASSERT(present.Advance(records) == ActivationResult::kActivated);
  }

  void ActivatesOnlyWhenComplete() {
    control_simulation::SimulatedStore store;
    store.Commit(TreeWithWeight("5"));
    const std::vector<PublishedRecord> parts = AllRecords(store);
    CPPUNIT_ASSERT(KindOf(parts.back().key) == RecordKind::kSettingsRoot);
    // The root arrives first, which is the least favourable order.
    dissemination::RecordStore records(kLimits);
    SettingsActivator activator;
    Put(records, parts.back());
    for (std::size_t part = 0; part + 1 < parts.size(); ++part) {
      const ActivationResult result = activator.Advance(records);
      CPPUNIT_ASSERT(result == ActivationResult::kIncomplete ||
                     KindOf(parts[part].key) == RecordKind::kSettingsDefaults);
      Put(records, parts[part]);
    }
    activator.Advance(records);
    CPPUNIT_ASSERT_EQUAL(base::Revision(1), activator.Active().revision);
    CPPUNIT_ASSERT(*activator.Active().settings == store.Committed().at(base::Revision(1)));
    CPPUNIT_ASSERT(activator.Advance(records) == ActivationResult::kNothingNewer);
  }

  void PartOfLaterRevisionBlocksTheOlder() {
    control_simulation::SimulatedStore store;
    store.Commit(TreeWithWeight("5"));
    dissemination::RecordStore records(kLimits);
    const std::vector<PublishedRecord> first = AllRecords(store);
    store.Commit(TreeWithWeight("6"));
    const std::vector<PublishedRecord> second = AllRecords(store);
    SettingsActivator activator;
    Put(records, second.front());  // one subtree already belongs to the second revision
    for (const PublishedRecord& record : first) {
      Put(records, record);
    }
    CPPUNIT_ASSERT(activator.Advance(records) == ActivationResult::kIncomplete);
    for (const PublishedRecord& record : second) {
      Put(records, record);
    }
    CPPUNIT_ASSERT(activator.Advance(records) == ActivationResult::kActivated);
    CPPUNIT_ASSERT_EQUAL(base::Revision(2), activator.Active().revision);
  }

  void PublishesOnlyChangedRecords() {
    control_simulation::SimulatedStore store;
    store.Commit(TreeWithWeight("5"));
    dissemination::RecordStore records(kLimits);
    for (const PublishedRecord& record : AllRecords(store)) {
      Put(records, record);
    }
    settings::SettingsTree tree = TreeWithWeight("5");
    settings::SettingsTree changed = TreeWithWeight("6");
    tree.root.children["stock"] = changed.root.children["stock"];
    store.Commit(tree);
    const SettingsRecords published =
        RecordsFromStore(store.ReadSince(base::Revision())->key_values, records);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, published.records.size());
    CPPUNIT_ASSERT(published.records[0].key ==
                   KeyOf(RecordKind::kSettingsSubtree, base::MakeServiceId("stock")));
    CPPUNIT_ASSERT(published.records[1].key == KeyOf(RecordKind::kSettingsRoot));
  }

  void MalformedRootKeepsTheActiveSettings() {
    control_simulation::SimulatedStore store;
    store.Commit(TreeWithWeight("5"));
    dissemination::RecordStore records(kLimits);
    for (const PublishedRecord& record : AllRecords(store)) {
      Put(records, record);
    }
    SettingsActivator activator;
    activator.Advance(records);
    records.Publish(KeyOf(RecordKind::kSettingsRoot), VersionOf(base::Revision(2)), "{");
    CPPUNIT_ASSERT(activator.Advance(records) == ActivationResult::kRefused);
    CPPUNIT_ASSERT(!activator.Findings().empty());
    CPPUNIT_ASSERT_EQUAL(base::Revision(1), activator.Active().revision);
  }

  void AgentReadsItsService() {
    control_simulation::SimulatedStore store;
    store.Commit(TreeWithWeight("5"));
    dissemination::RecordStore records(kLimits);
    ServiceSettingsReader reader("stock");
    CPPUNIT_ASSERT(!reader.Advance(records));
    for (const PublishedRecord& record : AllRecords(store)) {
      Put(records, record);
    }
    CPPUNIT_ASSERT(reader.Advance(records));
    CPPUNIT_ASSERT(!reader.Advance(records));
    CPPUNIT_ASSERT_EQUAL(std::string("stock"), reader.Settings()->name);
    CPPUNIT_ASSERT(*reader.Settings() ==
                   *store.Committed().at(base::Revision(1)).FindService("stock"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsActivatorTest);

}  // namespace
}  // namespace gaugevalve::control
