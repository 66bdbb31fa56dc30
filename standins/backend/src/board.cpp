#include "board.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include <utility>

#include "gaugevalve/standins/endpoint_headers.h"

namespace gaugevalve::standins {

Board::Board(event_base* loop, base::Duration interval, std::string endpoint)
    : endpoint_(std::move(endpoint)), timer_(loop, [this] { SendEvents(); }) {
  timer_.StartPeriodic(interval);
}

void Board::Open(evhtp_request_t* request) {
  evhtp_request_set_hook(request, evhtp_hook_on_request_fini, AsHook(&Board::OnRequestEnd), this);
  AddHeader(request, "Content-Type", "text/event-stream");
  AddHeader(request, "Cache-Control", "no-store");
  AddHeader(request, kEndpointHeader, endpoint_);
  open_.insert(request);
  evhtp_send_reply_chunk_start(request, EVHTP_RES_OK);
}

evhtp_res Board::OnRequestEnd(evhtp_request_t* request, void* self) {
  static_cast<Board*>(self)->open_.erase(request);
  return EVHTP_RES_OK;
}

void Board::SendEvents() {
  const std::string number = std::to_string(++event_number_);
  const std::string event = "id: " + number + "\ndata: {\"event\":" + number + "}\n\n";
  for (evhtp_request_t* const request : open_) {
    evhtp_connection_t* const connection = evhtp_request_get_connection(request);
    evbuffer* const backlog = bufferevent_get_output(connection->bev);
    if (evbuffer_get_length(backlog) > kMaxBacklogBytes) {
      shutdown(connection->sock, SHUT_RDWR);  // libevhtp sees the end and frees the request
      continue;
    }
    evbuffer* const chunk = evbuffer_new();
    evbuffer_add(chunk, event.data(), event.size());
    evhtp_send_reply_chunk(request, chunk);
    evbuffer_free(chunk);
  }
}

}  // namespace gaugevalve::standins
