#include "descriptor_appender.h"

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <climits>
#include <sstream>
#include <string>

namespace gaugevalve::telemetry {
namespace {

// A pipe takes a write of up to PIPE_BUF bytes whole, without waiting, once it is writable. A
// longer line is cut to that, so that it can't block and stays one line.
std::string CutToWholeLine(std::string line) {
  if (line.size() > PIPE_BUF) {
    line.resize(PIPE_BUF - 1);
    line += '\n';
  }
  return line;
}

}  // namespace

void DescriptorAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  std::ostringstream stream;
  layout->formatAndAppend(stream, event);
  const std::string line = CutToWholeLine(stream.str());
  pollfd entry{m_descriptor, POLLOUT, 0};
  const bool has_room = poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
  const bool is_written = has_room && write(m_descriptor, line.data(), line.size()) ==
                                          static_cast<ssize_t>(line.size());
  m_lines_lost += is_written ? 0 : 1;
}

}  // namespace gaugevalve::telemetry
