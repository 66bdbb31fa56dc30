// One log line of key=value pairs for each event.
#pragma once

#include <concepts>
#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

namespace gaugevalve::telemetry {

// How much an event matters.
enum class Level : std::uint8_t {
  kDebug,    // for developers
  kInfo,     // normal course of operation
  kWarning,  // a fault that was handled, or a limit that was reached
  kError,    // a fault that an operator should look into
};

// Builds one event and writes it when it goes out of scope, as
//   time=... level=INFO event=flow_opened service=stock count=3
// Names are lower_snake_case and listed in docs/LOG-EVENTS.md. Values with blanks, quotes, '=' or
// control characters are quoted and escaped, so that a line is always one event. Thread-safe:
// events of several threads never share a line.
class Event {
 public:
  Event(Level level, std::string_view name);
  ~Event();
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;

  // Appends a field with a text value.
  Event& Field(std::string_view key, std::string_view value);

  // Appends a field with any printable value: numbers, identifiers, addresses.
  template <class Value>
  requires(!std::convertible_to<Value, std::string_view>) Event& Field(std::string_view key,
                                                                       const Value& value) {
    std::ostringstream stream;
    stream << std::boolalpha << value;
    return Field(key, std::string_view(stream.str()));
  }

  // Returns the line so far, without time and level.
  const std::string& text() const { return text_; }  // NOLINT(readability-identifier-naming)

 private:
  Level level_;
  std::string text_;
};

}  // namespace gaugevalve::telemetry
