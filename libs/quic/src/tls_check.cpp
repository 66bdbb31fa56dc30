#include "tls_check.h"

#include <gnutls/gnutls.h>

#include <stdexcept>
#include <string>

namespace gaugevalve::quic {

void CheckTls(int result, const char* what) {
  if (result < 0) {
    throw std::runtime_error(std::string("GnuTLS: ") + what + ": " + gnutls_strerror(result));
  }
}

}  // namespace gaugevalve::quic
