#include "fabric_pages.h"

#include "gaugevalve/standins/json_page.h"

namespace gaugevalve::standins {
namespace {

void AddImpairmentPage(telemetry::AdminServer& server, const std::string& path,
                       Impairment& impairment) {
  AddJsonPage(
      server, path,
      [&impairment](const telemetry::AdminRequest&) {
        return ImpairmentToJson(impairment.Settings());
      },
      [&impairment](const telemetry::AdminRequest& request) {
        impairment.SetSettings(ImpairmentFromJson(impairment.Settings(), request.body));
      });
}

}  // namespace

void AddFabricPages(telemetry::AdminServer& server, Fabric& fabric) {
  AddImpairmentPage(server, "/admin/faults/inbound", fabric.Inbound());
  AddImpairmentPage(server, "/admin/faults/outbound", fabric.Outbound());
  BalancerSet& balancers = fabric.Balancers();
  AddJsonPage(
      server, "/admin/balancers",
      [&balancers](const telemetry::AdminRequest&) { return balancers.ToJson(); },
      [&balancers](const telemetry::AdminRequest& request) {
        balancers.ChangeFromJson(request.body);
      });
}

}  // namespace gaugevalve::standins
