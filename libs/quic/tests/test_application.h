// A small application and a recording caller for the tests.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gaugevalve/quic/http3_client.h"
#include "gaugevalve/quic/request_handler.h"

namespace gaugevalve::quic::testing {

inline std::span<const std::uint8_t> BytesOf(std::string_view text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

// Returns `size` bytes that show a displacement or a swap.
std::string Pattern(std::size_t size, std::uint64_t seed);

// What the test can see and do to one request at the server.
struct ServedRequest {
  RequestHead head;
  Path path;
  std::string body;
  bool is_whole = false;
  bool is_destroyed = false;
  std::optional<Http3Error> cancelled;
  ResponseWriter* writer = nullptr;  // valid until cancelled or destroyed
  std::size_t unsent = 0;            // bytes of a "/object" answer still to write
  std::size_t largest_burst = 0;     // bytes written before the queue was first full
};

// Serves: "/echo" answers with the request's body when it is whole; "/stamped" with the field
// server, which is the request's body; "/object/N" with N bytes of Pattern() as fast as the queue
// takes them; "/late-end/N" with N bytes at once, and ends when the queue, if that was full, has
// room again; "/slow" consumes nothing; all else waits for the test.
class TestApplication final : public RequestHandlerFactory {
 public:
  std::unique_ptr<RequestHandler> OnRequest(const RequestHead& head, const Path& path,
                                            ResponseWriter& writer) override;

  ServedRequest& At(std::size_t index) { return *requests_.at(index); }
  std::size_t size() const { return requests_.size(); }

 private:
  std::deque<std::shared_ptr<ServedRequest>> requests_;
};

// What a caller got for one request.
struct Answer {
  ResponseHead head;
  std::string body;
  bool is_whole = false;
  std::optional<RequestFailure> failure;
  bool IsOver() const { return is_whole || failure.has_value(); }
};

// Returns a handler that records into `answer`.
std::unique_ptr<ResponseHandler> Record(std::shared_ptr<Answer> answer);

// Records the events of a connection.
struct RecordedEvents final : ClientEvents {
  void OnConnected() override { is_connected = true; }
  void OnGoaway() override { ++goaways; }
  void OnClosed(const ConnectionEnd& end) override { closed = end; }

  bool is_connected = false;
  int goaways = 0;
  std::optional<ConnectionEnd> closed;
};

}  // namespace gaugevalve::quic::testing
