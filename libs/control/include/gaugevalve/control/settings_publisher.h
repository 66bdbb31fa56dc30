// Converts the settings in the store to records, on the few balancers that read the store.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/dissemination/record.h"
#include "gaugevalve/dissemination/record_store.h"
#include "gaugevalve/store/response.h"

namespace gaugevalve::control {

// A record to publish.
struct PublishedRecord {
  dissemination::RecordKey key;
  dissemination::RecordVersion version;
  std::string value;
};

// Records made from a read of the store, in the order in which to publish them. The root comes
// last, so that a node that has it can find its subtrees.
struct SettingsRecords {
  std::vector<PublishedRecord> records;
  base::Findings findings;  // why parts of the read could not be used
};

// Returns the records that `held` lacks. `key_values` is either the whole tree or the puts of one
// delivery of a watch on it. In both cases the newest root comes with every subtree that it
// changed.
SettingsRecords RecordsFromStore(const std::vector<store::KeyValue>& key_values,
                                 const dissemination::RecordStore& held);

}  // namespace gaugevalve::control
