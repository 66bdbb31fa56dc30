// Interface through which an Http3Service passes on its callers' requests.
#pragma once

#include <string_view>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/control/node_view.h"
#include "gaugevalve/quic/request_handler.h"
#include "gaugevalve/routing/agent_incarnation.h"
#include "gaugevalve/routing/agent_report.h"
#include "gaugevalve/settings/effective_settings.h"

namespace gaugevalve::agent {

// Receives requests from the HTTP/3 server, and views, settings and peer messages from the rest of
// the agent. All calls come from the data task's thread.
class RequestBackend : public quic::RequestHandlerFactory {
 public:
  // Applies a newer view of the agent's service, confirmed at `confirmed_at`. The table isn't null.
  virtual void SetView(const control::ServiceView& service, base::TimePoint confirmed_at) = 0;

  // Applies the effective settings of the agent's endpoint.
  virtual void SetEndpoint(const settings::EndpointSettings& endpoint) = 0;

  // Handles a message of the same backend at another agent of the service. Malformed messages are
  // counted and dropped.
  virtual void HandlePeerMessage(base::NodeId sender, std::string_view payload) = 0;

  // Other agents of the service were heard by the control task, whatever became of their messages.
  virtual void HandleContacts(std::span<const routing::AgentContact> contacts) = 0;

  // Stops accepting new requests. Accepted requests are finished.
  virtual void StartDraining() = 0;

  // Fills in the slots, queue length, latency and endpoint failures.
  virtual void FillReport(routing::AgentReport& report) = 0;

  // Adds the counts since the last call to the metrics.
  virtual void PublishCounters() = 0;
};

}  // namespace gaugevalve::agent
