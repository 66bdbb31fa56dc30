// A TLS 1.3 session for one QUIC connection.
#pragma once

#include <gnutls/gnutls.h>
#include <ngtcp2/ngtcp2_crypto.h>

#include <memory>
#include <string>
#include <type_traits>

#include "gaugevalve/quic/credentials.h"

namespace gaugevalve::quic {

// Owns a GnuTLS session set up for ngtcp2 with the protocol "h3", and shares the credentials it was
// made with, so that a reload doesn't touch sessions that are open.
class TlsSession {
 public:
  // `reference` must outlive the session. Each throws std::runtime_error when GnuTLS fails.
  static TlsSession ForServer(CertificateCredentials credentials,
                              ngtcp2_crypto_conn_ref* reference);
  // The certificate is checked for `server_name` when the credentials verify servers at all.
  static TlsSession ForClient(const ClientCredentials& credentials, const std::string& server_name,
                              ngtcp2_crypto_conn_ref* reference);

  gnutls_session_t Get() const { return session_.get(); }

 private:
  TlsSession(CertificateCredentials credentials, unsigned int flags,
             ngtcp2_crypto_conn_ref* reference);

  struct Deleter {
    void operator()(gnutls_session_t session) const { gnutls_deinit(session); }
  };

  CertificateCredentials credentials_;
  std::unique_ptr<std::remove_pointer_t<gnutls_session_t>, Deleter> session_;
};

}  // namespace gaugevalve::quic
