// Turns GnuTLS results into exceptions.
#pragma once

namespace gaugevalve::quic {

// Throws std::runtime_error "GnuTLS: <what>: <reason>" when `result` is an error code.
void CheckTls(int result, const char* what);

}  // namespace gaugevalve::quic
