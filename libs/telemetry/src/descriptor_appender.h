/// @file
/// Where log4cplus's lines go: a descriptor that may be slow, full or closed. Private to the
/// library.
#pragma once

#include <log4cplus/appender.h>

#include <atomic>
#include <cstdint>

namespace gaugevalve::telemetry {

/// Writes each line whole or not at all and never waits: a line that a slow or closed reader has no
/// room for is lost and counted.
class DescriptorAppender final : public log4cplus::Appender {
 public:
  /// @param descriptor  stays the caller's
  explicit DescriptorAppender(int descriptor) : m_descriptor(descriptor) {}
  ~DescriptorAppender() override { destructorImpl(); }

  void close() override { closed = true; }
  std::uint64_t LinesLost() const { return m_lines_lost; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  int m_descriptor;
  std::atomic<std::uint64_t> m_lines_lost = 0;
};

}  // namespace gaugevalve::telemetry
