// Interface of a service kind's module in the agent's data task.
#pragma once

#include <span>
#include <string_view>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/control/node_view.h"
#include "gaugevalve/quic/credentials.h"
#include "gaugevalve/routing/agent_incarnation.h"
#include "gaugevalve/routing/agent_report.h"
#include "gaugevalve/settings/effective_settings.h"
#include "gaugevalve/wire/forwarding_header.h"
#include "gaugevalve/wire/proxy_datagram.h"

namespace gaugevalve::agent {

// Handles the datagrams of the data task's service. All calls come from the data task's thread. A
// module sends through the AgentOutput that it was created with. The task flushes the output after
// each batch of input; the module flushes it after sending anything else.
class ServiceModule {
 public:
  virtual ~ServiceModule() = default;

  // Applies a newer view of the agent's service, confirmed at `confirmed_at`. The table isn't null.
  virtual void SetView(const control::ServiceView& service, base::TimePoint confirmed_at) = 0;

  // Applies these settings of the agent's endpoint. Modules that don't use them need not override
  // this.
  virtual void SetEndpoint(const settings::EndpointSettings& /*endpoint*/) {}

  // Handles a message about requests from another agent of the service. Modules that don't use such
  // messages need not override this.
  virtual void HandlePeerMessage(base::NodeId /*sender*/, std::string_view /*payload*/) {}

  // Other agents of the service were heard by the control task, whatever became of their messages.
  // Modules that hand nothing over need not override this.
  virtual void HandleContacts(std::span<const routing::AgentContact> /*contacts*/) {}

  // Handles a datagram that a balancer or another agent has sent. The header may be changed.
  virtual void HandleDatagram(const wire::ProxyDatagram& datagram, wire::ForwardingHeader& header,
                              base::TimePoint now) = 0;

  // Does periodic work such as closing idle flows. Called a few times per second.
  virtual void HandleTick(base::TimePoint now) = 0;

  // Keeps open flows and stops accepting new ones that another agent can accept. Idempotent.
  virtual void StartDraining(base::TimePoint now) = 0;

  // Uses this certificate for new connections. Services without certificates ignore it.
  virtual void SetCredentials(const quic::CertificateCredentials& credentials) {
    static_cast<void>(credentials);
  }

  // Fills in the module's part of the planner's report, including the agent's identity.
  virtual void FillReport(routing::AgentReport& report) const = 0;

  // Returns whether the tables still list this agent, so that others may send it datagrams.
  virtual bool IsNamed() const = 0;

  // Adds the module's counts since the last call to its metrics.
  virtual void PublishCounters() = 0;
};

}  // namespace gaugevalve::agent
