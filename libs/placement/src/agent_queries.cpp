#include "gaugevalve/placement/agent_queries.h"

namespace gaugevalve::placement {
namespace {

// Agents that are remembered until they are heard; the directory's limit.
constexpr std::size_t kQuestionLimit = 8'192;
// Answers come within some milliseconds; an agent of 0.15 of a core that has a backlog takes some
// tens. Chosen between that and the 200 ms after which clients send again; no other was measured.
constexpr base::Duration kAnswerTime = std::chrono::milliseconds(100);
// Between two questions to an agent that was given up. Its own round of reports may be 16 s long,
// and a flow that it holds must not be taken for lost for so long after a cut has healed.
constexpr base::Duration kGivenUpPause = std::chrono::seconds(1);

}  // namespace

void AgentQueries::NoteAsked(Question& question, base::TimePoint now) {
  question.next_at = now + (question.is_given_up ? kGivenUpPause : kRetryPause);
  ++question.asked;
}

bool AgentQueries::Ask(const base::SocketAddress& agent, base::TimePoint now) {
  if (m_questions.contains(agent) || m_questions.size() >= kQuestionLimit) {
    return false;
  }
  Question& question = m_questions[agent];
  question.first_at = now;
  question.next_at = now;
  if (!m_budget.Take(now)) {
    return false;
  }
  NoteAsked(question, now);
  return true;
}

void AgentQueries::NoteHeard(const base::SocketAddress& agent) {
  const auto found = m_questions.find(agent);
  if (found == m_questions.end()) {
    return;
  }
  m_given_up -= found->second.is_given_up ? 1 : 0;
  m_questions.erase(found);
}

std::vector<base::SocketAddress> AgentQueries::TakeDue(base::TimePoint now) {
  std::vector<base::SocketAddress> due;
  for (auto& [agent, question] : m_questions) {
    if (now < question.next_at) {
      continue;
    }
    if (!question.is_given_up && question.asked >= m_most_questions) {
      question.is_given_up = true;
      ++m_given_up;
    }
    if (m_budget.Take(now)) {
      NoteAsked(question, now);
      due.push_back(agent);
    }
  }
  return due;
}

void AgentQueries::Forget(const std::function<bool(const base::SocketAddress&)>& is_gone) {
  absl::erase_if(m_questions, [&](const auto& entry) {
    const bool is_forgotten = is_gone(entry.first);
    m_given_up -= is_forgotten && entry.second.is_given_up ? 1 : 0;
    return is_forgotten;
  });
}

bool AgentQueries::IsOverdue(const base::SocketAddress& agent, base::TimePoint now) const {
  const auto found = m_questions.find(agent);
  return found != m_questions.end() && found->second.asked > 0 &&
         now - found->second.first_at > kAnswerTime;
}

bool AgentQueries::IsGivenUp(const base::SocketAddress& agent) const {
  const auto found = m_questions.find(agent);
  return found != m_questions.end() && found->second.is_given_up;
}

}  // namespace gaugevalve::placement
