// Passes callers' requests straight to the endpoint and its answers back.
#pragma once

#include <memory>

#include "endpoint_client.h"
#include "gaugevalve/quic/request_handler.h"

namespace gaugevalve::agent {

// The plainest way from the HTTP/3 server to the endpoint: each request is sent at once, as it
// comes in. What admits, queues or hands over requests takes this one's place between the two
// interfaces, quic::RequestHandlerFactory above and EndpointClient below.
//
// What callers see of a failure: "not run" when no byte was sent, "outcome unknown" when the answer
// never began, and a stream reset when it was cut.
class RequestProxy final : public quic::RequestHandlerFactory {
 public:
  // `loop` must outlive this, and this every request.
  RequestProxy(event_base* loop, const base::SocketAddress& endpoint,
               const EndpointClientOptions& options)
      : client_(loop, endpoint, options) {}

  std::unique_ptr<quic::RequestHandler> OnRequest(const quic::RequestHead& head,
                                                  const quic::Path& path,
                                                  quic::ResponseWriter& writer) override;

 private:
  EndpointClient client_;
};

}  // namespace gaugevalve::agent
