#include "http1_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

#include "connection_fields.h"

namespace gaugevalve::agent {
namespace {

constexpr int kHexadecimal = 16;
constexpr std::array<std::string_view, 3> kMethodsWithBody = {"POST", "PUT", "PATCH"};

bool IsVisible(char character) { return character > ' ' && character != '\x7f'; }

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsVisible);
}

// Field values may hold blanks, tabs and bytes above ASCII, but no other control character.
bool IsFieldValue(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char character) {
    const auto byte = static_cast<unsigned char>(character);
    return (byte >= ' ' && byte != 0x7f) || byte == '\t';
  });
}

bool IsLeftOut(std::string_view name) {
  return IsConnectionField(name) || name == "host" || name == "expect";
}

}  // namespace

BodyFraming FramingOf(const quic::RequestHead& head, bool is_empty) {
  if (!quic::FindField(head.fields, "content-length").empty()) {
    return BodyFraming::kLength;
  }
  return is_empty ? BodyFraming::kNone : BodyFraming::kChunked;
}

bool IsWritable(const quic::RequestHead& head) {
  const bool is_line_writable =
      IsToken(head.method) && IsToken(head.path) && IsToken(head.authority);
  return is_line_writable &&
         std::all_of(head.fields.begin(), head.fields.end(), [](const quic::HeaderField& field) {
           return IsToken(field.name) && field.name.find(':') == std::string::npos &&
                  IsFieldValue(field.value);
         });
}

std::string WriteRequestHead(const quic::RequestHead& head, BodyFraming framing) {
  std::string text = head.method + ' ' + head.path + " HTTP/1.1\r\nhost: " + head.authority;
  text += "\r\n";
  for (const quic::HeaderField& field : head.fields) {
    if (!IsLeftOut(field.name)) {
      text += field.name + ": " + field.value + "\r\n";
    }
  }
  const bool expects_body = std::find(kMethodsWithBody.begin(), kMethodsWithBody.end(),
                                      head.method) != kMethodsWithBody.end();
  if (framing == BodyFraming::kChunked) {
    text += "transfer-encoding: chunked\r\n";
  } else if (framing == BodyFraming::kNone && expects_body) {
    text += "content-length: 0\r\n";
  }
  text += "\r\n";
  return text;
}

std::string WriteChunkStart(std::size_t size) {
  std::array<char, kHexadecimal> digits{};
  const auto [end, error] =
      std::to_chars(digits.data(), digits.data() + digits.size(), size, kHexadecimal);
  return std::string(digits.data(), end) + "\r\n";
}

}  // namespace gaugevalve::agent
