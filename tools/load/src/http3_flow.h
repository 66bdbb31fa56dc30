// One flow of the `http3` mode: a connection that keeps the board open and sends requests.
#pragma once

#include <event2/event.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "answer_checks.h"
#include "board_reader.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/quic/udp_client.h"
#include "http3_report.h"

namespace gaugevalve::load {

// How an http3 flow behaves.
struct Http3FlowSettings {
  base::Duration request_interval{};  // from the end of a request to the next
  base::Duration silence{};           // without a sign of life, after which the flow is broken
  double drawing_share = 0;           // of requests that fetch a drawing; the others reserve
  std::uint32_t board_attempts = 5;   // a board refused as "not run" so often breaks the flow
  quic::ClientCredentials credentials;
};

// Opens GET /board for its whole life and meanwhile sends, one at a time, POST /reservations, each
// with an Idempotency-Key of its own, and GET /drawings/N. Breaks when the connection or the board
// ends without its doing, or nothing comes for `silence`. After GOAWAY it sends no further request
// and keeps the board. A board that is refused as "not run" ends the flow unbroken: as an agent
// whose endpoint drains asks callers to, another flow tries again (BoardRetryAfter()), up to
// `board_attempts` in all. Driven by OnTick(); on the loop's thread.
class Http3Flow final : private quic::ClientEvents {
 public:
  // `attempt` counts from 1. `report`, `random`, `clock` and loop must outlive the flow.
  Http3Flow(event_base* loop, const base::Clock& clock, const Http3FlowSettings& settings,
            std::string service, const base::SocketAddress& address, std::uint64_t number,
            std::uint32_t attempt, base::TimePoint ends_at, base::RandomSource& random,
            Http3ServiceReport& report);

  // Does what is due. To be called every few milliseconds.
  void OnTick();

  // Makes the flow end with the request in progress.
  void EndSoon();

  // Tells whether the flow has ended; it may then be destroyed, not from within its callbacks.
  bool HasEnded() const { return has_ended_; }

  // Returns the wait that the refusal of the board asked for, when the flow ended by one and
  // another is to try again.
  std::optional<base::Duration> BoardRetryAfter() const { return board_retry_after_; }

  std::uint32_t Attempt() const { return attempt_; }
  base::TimePoint EndsAt() const { return ends_at_; }

 private:
  class BoardHandler;

  // quic::ClientEvents
  void OnConnected() override;
  void OnGoaway() override;
  void OnClosed(const quic::ConnectionEnd& end) override;

  void SubmitBoard();
  void SubmitReservation();
  void SubmitDrawing();
  void Submit(const quic::RequestHead& head, std::unique_ptr<AnswerCheck> check);
  void OnProgress(const AnswerProgress& progress);
  void OnAnswer(RequestCounts& counts, const CheckedAnswer& answer);
  void OnBoardHead(const quic::ResponseHead& head);
  void OnBoardBody(std::span<const std::uint8_t> bytes);
  void OnBoardEnd();
  void Finish();
  void Break(const std::string& cause);
  void LogBreak(const std::string& cause) const;
  void End();
  quic::RequestHead MakeHead(const std::string& method, const std::string& path) const;

  const base::Clock& clock_;
  Http3FlowSettings settings_;
  std::string service_;
  std::uint64_t number_;
  std::uint32_t attempt_;
  base::TimePoint ends_at_;
  base::RandomSource& random_;
  Http3ServiceReport& report_;
  base::TimePoint last_sign_of_life_;
  base::TimePoint next_request_at_;
  base::TimePoint request_sent_at_{};
  base::TimePoint request_progress_at_{};
  std::string request_target_;       // of the last request
  AnswerProgress request_progress_;  // of the last request
  bool request_in_progress_ = false;
  bool goaway_received_ = false;
  bool board_is_known_ = false;
  bool board_was_not_run_ = false;
  base::Duration refusal_wait_{};
  std::optional<base::Duration> board_retry_after_;
  bool has_ended_ = false;
  std::uint64_t requests_ = 0;
  BoardReader board_;
  std::unique_ptr<quic::UdpClient> client_;
};

}  // namespace gaugevalve::load
