#include "gaugevalve/wire/decode_error.h"

namespace gaugevalve::wire {

std::string_view ToString(DecodeError error) {
  switch (error) {
    case DecodeError::kTruncated:
      return "truncated";
    case DecodeError::kBadSignature:
      return "bad_signature";
    case DecodeError::kWrongVersion:
      return "wrong_version";
    case DecodeError::kUnsupportedCommand:
      return "unsupported_command";
    case DecodeError::kUnsupportedFamily:
      return "unsupported_family";
    case DecodeError::kBadLength:
      return "bad_length";
    case DecodeError::kMalformedTlv:
      return "malformed_tlv";
    case DecodeError::kOversize:
      return "oversize";
    case DecodeError::kMissingRoute:
      return "missing_route";
    case DecodeError::kUnsupportedFormat:
      return "unsupported_format";
    case DecodeError::kMalformedRoute:
      return "malformed_route";
  }
  return "unknown";
}

}  // namespace gaugevalve::wire
