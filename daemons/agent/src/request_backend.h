// What an Http3Service gives its callers' requests to.
#pragma once

#include <string_view>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/control/node_view.h"
#include "gaugevalve/quic/request_handler.h"
#include "gaugevalve/routing/agent_report.h"
#include "gaugevalve/settings/effective_settings.h"

namespace gaugevalve::agent {

// Takes requests from the HTTP/3 server, and what steers them from the rest of the agent. All calls
// come from the data task's thread.
class RequestBackend : public quic::RequestHandlerFactory {
 public:
  // Takes a newer view of the agent's service, current at `confirmed_at`. The table isn't null.
  virtual void SetView(const control::ServiceView& service, base::TimePoint confirmed_at) = 0;

  // Takes the effective settings of the agent's endpoint.
  virtual void SetEndpoint(const settings::EndpointSettings& endpoint) = 0;

  // Takes a message of the same backend at another agent of the service; malformed ones are counted
  // and dropped.
  virtual void HandlePeerMessage(base::NodeId sender, std::string_view payload) = 0;

  // Takes no new request; what was taken is finished.
  virtual void StartDraining() = 0;

  // Fills in slots, queue and latency.
  virtual void FillReport(routing::AgentReport& report) = 0;

  // Carries the counts over to the metrics.
  virtual void PublishCounters() = 0;
};

}  // namespace gaugevalve::agent
