/// @file
/// Questions to agents that haven't been heard, and which of them don't answer.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <functional>
#include <vector>

#include "gaugevalve/base/rate_budget.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::placement {

/// Decision core: asks an agent at once, a few times more, and gives it up when nothing comes back;
/// then it is asked seldom, so that one that returns is heard soon. All at a bounded rate and
/// bounded in number. Not thread-safe.
class AgentQueries {
 public:
  /// @param most_questions  after so many without an answer an agent is given up
  explicit AgentQueries(unsigned most_questions) : m_most_questions(most_questions) {}

  /// Between two questions to the same agent. One that restarts at the same moment is up sooner:
  /// after total stops agents start 0.66 to 0.85 s and balancers 0.87 to 1.16 s later (logs).
  static constexpr base::Duration kRetryPause = std::chrono::milliseconds(250);

  /// Notes an agent that is to be asked, unless it is being asked.
  /// @return  whether to ask it now; otherwise TakeDue() names it later
  bool Ask(const base::SocketAddress& agent, base::TimePoint now);

  /// Notes that the agent has been heard: it isn't asked any more.
  void NoteHeard(const base::SocketAddress& agent);

  /// Returns the agents to be asked now, again or for the first time. Call a few times a second.
  std::vector<base::SocketAddress> TakeDue(base::TimePoint now);

  /// Forgets the agents for which `is_gone` holds.
  void Forget(const std::function<bool(const base::SocketAddress&)>& is_gone);

  /// Returns whether the agent was asked and should have answered by now.
  bool IsOverdue(const base::SocketAddress& agent, base::TimePoint now) const;

  /// Returns whether the agent has answered none of its questions.
  bool IsGivenUp(const base::SocketAddress& agent) const;

  /// Returns how many agents have been asked and not heard, and how many of them are given up.
  std::size_t Count() const { return m_questions.size(); }
  std::size_t GivenUpCount() const { return m_given_up; }

 private:
  // 1,000 questions a second, so that the reports that answer them take less than 130 KB a second,
  // and a fleet of 3,800 agents is asked within four seconds.
  static constexpr std::size_t kQuestionsPerPeriod = 250;
  static constexpr base::Duration kBudgetPeriod = std::chrono::milliseconds(250);

  struct Question {
    base::TimePoint first_at{};
    base::TimePoint next_at{};
    unsigned asked = 0;  // times
    bool is_given_up = false;
  };

  static void NoteAsked(Question& question, base::TimePoint now);

  unsigned m_most_questions;
  std::size_t m_given_up = 0;
  absl::flat_hash_map<base::SocketAddress, Question> m_questions;  // of agents not heard
  base::RateBudget m_budget{kQuestionsPerPeriod, kBudgetPeriod};
};

}  // namespace gaugevalve::placement
