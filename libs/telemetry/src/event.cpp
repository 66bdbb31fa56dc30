#include "gaugevalve/telemetry/event.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>

#include "native_level.h"

namespace gaugevalve::telemetry {
namespace {

constexpr unsigned char kFirstPrintable = 0x20;

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](char letter) {
           const auto byte = static_cast<unsigned char>(letter);
           return byte <= kFirstPrintable || letter == '"' || letter == '=' || letter == '\\';
         });
}

void AppendEscaped(std::string& text, char letter) {
  constexpr char kHexDigits[] = "0123456789abcdef";
  const auto byte = static_cast<unsigned char>(letter);
  if (letter == '"' || letter == '\\') {
    text += '\\';
    text += letter;
  } else if (letter == '\n') {
    text += "\\n";
  } else if (byte < kFirstPrintable) {
    text += "\\x";
    text += kHexDigits[byte >> 4U];
    text += kHexDigits[byte & 0xFU];
  } else {
    text += letter;
  }
}

void AppendValue(std::string& text, std::string_view value) {
  if (!NeedsQuotes(value)) {
    text += value;
    return;
  }
  text += '"';
  for (const char letter : value) {
    AppendEscaped(text, letter);
  }
  text += '"';
}

}  // namespace

Event::Event(Level level, std::string_view name) : level_(level), text_("event=") { text_ += name; }

Event::~Event() { log4cplus::Logger::getRoot().log(NativeLevel(level_), text_); }

Event& Event::Field(std::string_view key, std::string_view value) {
  text_ += ' ';
  text_ += key;
  text_ += '=';
  AppendValue(text_, value);
  return *this;
}

}  // namespace gaugevalve::telemetry
