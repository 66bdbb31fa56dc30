#include "gaugevalve/control/agent_contacts.h"

#include <chrono>

namespace gaugevalve::control {
namespace {

constexpr base::Duration kReportInterval = std::chrono::milliseconds(200);

}  // namespace

routing::ContactSource ContactSourceOf(transport::MessageKind kind) {
  switch (kind) {
    case transport::MessageKind::kDissemination:
      return routing::ContactSource::kDissemination;
    case transport::MessageKind::kControl:
      return routing::ContactSource::kControl;
    case transport::MessageKind::kRequestHandOver:
      return routing::ContactSource::kHandOver;
    case transport::MessageKind::kMembership:
      break;
  }
  return routing::ContactSource::kMembership;
}

bool AgentContacts::IsReportDue(base::TimePoint now) const {
  return !m_newest.empty() && now - m_reported_at >= kReportInterval;
}

std::vector<routing::AgentContact> AgentContacts::Pending() const {
  std::vector<routing::AgentContact> contacts;
  contacts.reserve(m_newest.size());
  for (const auto& [agent, contact] : m_newest) {
    contacts.push_back(contact);
  }
  return contacts;
}

void AgentContacts::OnReported(base::TimePoint now) {
  m_newest.clear();
  m_reported_at = now;
}

}  // namespace gaugevalve::control
