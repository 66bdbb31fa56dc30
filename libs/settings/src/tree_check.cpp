// CheckTree(): faults of a tree whose values are each well formed.
#include <map>
#include <string>

#include "field_resolver.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/settings/settings_tree.h"
#include "yaml_reader.h"

namespace gaugevalve::settings {
namespace {

// Checks one tree; collects what it finds.
class TreeChecker {
 public:
  base::Findings Check(const SettingsTree& tree) {
    FieldResolver values;
    values.Enter(tree.root);
    CheckThresholds(tree.root, values);
    for (const auto& [name, service] : tree.root.children) {
      CheckRequiredFields(service);
      CheckServiceIdentity(service);
      endpoint_zones_.clear();
      CheckBelow(service, values);
    }
    return findings_;
  }

 private:
  void Add(const base::SourcePlace& place, std::string message) {
    findings_.push_back({place, std::move(message)});
  }

  void CheckRequiredFields(const Branch& service) {
    for (const FieldSchema& schema : Schema()) {
      if (schema.default_text.empty() && !service.fields.contains(schema.id)) {
        base::SourcePlace place = service.place;
        place.path = JoinPath(place.path, schema.name);
        Add(place, "is missing");
      }
    }
  }

  void CheckServiceIdentity(const Branch& service) {
    const auto [owner, is_new] =
        services_by_id_.emplace(base::MakeServiceId(service.name), service.name);
    if (!is_new) {
      Add(service.place, "the name has the same identifier as service '" + owner->second +
                             "'; choose another name");
    }
    const auto address = service.fields.find(FieldId::kVirtualAddress);
    if (address == service.fields.end()) {
      return;
    }
    const auto& value = std::get<base::SocketAddress>(address->second.value);
    const auto [holder, is_free] = services_by_address_.emplace(value, service.name);
    if (!is_free) {
      Add(address->second.place,
          value.ToString() + " is already the virtual address of service '" + holder->second + "'");
    }
  }

  // Reported where one of the two is set, so that a fault at an outer branch appears once.
  void CheckThresholds(const Branch& branch, const FieldResolver& values) {
    const bool is_set_here = branch.fields.contains(FieldId::kBrownoutEnter) ||
                             branch.fields.contains(FieldId::kBrownoutLeave);
    if (is_set_here &&
        values.Ratio(FieldId::kBrownoutLeave) > values.Ratio(FieldId::kBrownoutEnter)) {
      Add(branch.place, "brownout_leave is above brownout_enter");
    }
  }

  void CheckBelow(const Branch& branch, FieldResolver values) {
    values.Enter(branch);
    CheckThresholds(branch, values);
    if (branch.level == Level::kEndpoint) {
      const auto [first, is_new] = endpoint_zones_.emplace(branch.name, branch.place.path);
      if (!is_new) {
        Add(branch.place,
            "endpoint '" + branch.name + "' is already in this service at " + first->second);
      }
    }
    for (const auto& [name, child] : branch.children) {
      CheckBelow(child, values);
    }
  }

  base::Findings findings_;
  std::map<base::ServiceId, std::string> services_by_id_;
  std::map<base::SocketAddress, std::string> services_by_address_;
  std::map<std::string, std::string> endpoint_zones_;  // endpoint name -> path of its first use
};

}  // namespace

base::Findings CheckTree(const SettingsTree& tree) { return TreeChecker().Check(tree); }

}  // namespace gaugevalve::settings
