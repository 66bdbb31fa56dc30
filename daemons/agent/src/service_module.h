// One kind of service in the agent's data task.
#pragma once

#include <string_view>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/control/node_view.h"
#include "gaugevalve/quic/credentials.h"
#include "gaugevalve/routing/agent_report.h"
#include "gaugevalve/settings/effective_settings.h"
#include "gaugevalve/wire/forwarding_header.h"
#include "gaugevalve/wire/proxy_datagram.h"

namespace gaugevalve::agent {

// What the data task asks of the module that handles its service's datagrams. All calls come from
// the data task's thread. A module sends through the AgentOutput it was made with; the task flushes
// that after each batch, a module after what it sends of its own accord.
class ServiceModule {
 public:
  virtual ~ServiceModule() = default;

  // Takes a newer view of the agent's service, current at `confirmed_at`. The table isn't null.
  virtual void SetView(const control::ServiceView& service, base::TimePoint confirmed_at) = 0;

  // Goes by these settings of the agent's endpoint from now on. A module that has no use for them
  // leaves this out.
  virtual void SetEndpoint(const settings::EndpointSettings& /*endpoint*/) {}

  // Takes a message about requests from another agent of the service. A module that has no use for
  // them leaves this out.
  virtual void HandlePeerMessage(base::NodeId /*sender*/, std::string_view /*payload*/) {}

  // Handles a datagram that a balancer or another agent has sent. The header may be changed.
  virtual void HandleDatagram(const wire::ProxyDatagram& datagram, wire::ForwardingHeader& header,
                              base::TimePoint now) = 0;

  // Does what is due with time, such as closing idle flows. Called a few times a second.
  virtual void HandleTick(base::TimePoint now) = 0;

  // Keeps what is open and takes nothing that another agent can take. Idempotent.
  virtual void StartDraining(base::TimePoint now) = 0;

  // Uses this certificate for connections from now on; nothing to services that have none.
  virtual void SetCredentials(const quic::CertificateCredentials& credentials) {
    static_cast<void>(credentials);
  }

  // Fills in what the module knows for the planner, the agent's identity included.
  virtual void FillReport(routing::AgentReport& report) const = 0;

  // Tells whether the tables still name this agent: others may send it datagrams.
  virtual bool IsNamed() const = 0;

  // Carries the module's counts over to its metrics.
  virtual void PublishCounters() = 0;
};

}  // namespace gaugevalve::agent
