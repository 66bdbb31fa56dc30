#include "tls_session.h"

#include <ngtcp2/ngtcp2_crypto_gnutls.h>

#include <stdexcept>
#include <utility>

#include "gaugevalve/base/socket_address.h"
#include "tls_check.h"

namespace gaugevalve::quic {
namespace {

// TLS 1.3 with the cipher suites that QUIC allows (RFC 9001, section 5.3). QUIC has no middlebox
// compatibility mode (section 8.4).
constexpr char kPriority[] =
    "NORMAL:-VERS-ALL:+VERS-TLS1.3:-CIPHER-ALL:+AES-128-GCM:+AES-256-GCM:+CHACHA20-POLY1305:"
    "+AES-128-CCM:-GROUP-ALL:+GROUP-X25519:+GROUP-SECP256R1:+GROUP-SECP384R1:"
    "%DISABLE_TLS13_COMPAT_MODE";

constexpr char kProtocol[] = "h3";

}  // namespace

TlsSession::TlsSession(CertificateCredentials credentials, unsigned int flags,
                       ngtcp2_crypto_conn_ref* reference)
    : credentials_(std::move(credentials)) {
  gnutls_session_t session = nullptr;
  CheckTls(gnutls_init(&session, flags), "a TLS session");
  session_.reset(session);
  CheckTls(gnutls_priority_set_direct(session, kPriority, nullptr), "the TLS priority");
  CheckTls(gnutls_credentials_set(session, GNUTLS_CRD_CERTIFICATE, credentials_.get()),
           "the TLS credentials");
  gnutls_session_set_ptr(session, reference);
  std::string protocol = kProtocol;
  const gnutls_datum_t datum{reinterpret_cast<unsigned char*>(protocol.data()),
                             static_cast<unsigned int>(protocol.size())};
  CheckTls(gnutls_alpn_set_protocols(session, &datum, 1, GNUTLS_ALPN_MANDATORY),
           "the application protocol");
}

TlsSession TlsSession::ForServer(CertificateCredentials credentials,
                                 ngtcp2_crypto_conn_ref* reference) {
  constexpr unsigned int kFlags =
      GNUTLS_SERVER | GNUTLS_NO_TICKETS | GNUTLS_NO_AUTO_SEND_TICKET | GNUTLS_NO_END_OF_EARLY_DATA;
  TlsSession session(std::move(credentials), kFlags, reference);
  if (ngtcp2_crypto_gnutls_configure_server_session(session.Get()) != 0) {
    throw std::runtime_error("GnuTLS: the session can't be used for QUIC");
  }
  return session;
}

TlsSession TlsSession::ForClient(const ClientCredentials& credentials,
                                 const std::string& server_name,
                                 ngtcp2_crypto_conn_ref* reference) {
  constexpr unsigned int kFlags = GNUTLS_CLIENT | GNUTLS_NO_TICKETS | GNUTLS_NO_END_OF_EARLY_DATA;
  TlsSession session(credentials.credentials, kFlags, reference);
  if (ngtcp2_crypto_gnutls_configure_client_session(session.Get()) != 0) {
    throw std::runtime_error("GnuTLS: the session can't be used for QUIC");
  }
  if (credentials.verifies_server) {
    gnutls_session_set_verify_cert(session.Get(), server_name.c_str(), 0);
  }
  const bool is_number = base::SocketAddress::Parse(server_name + ":0").has_value();
  if (!server_name.empty() && !is_number) {
    CheckTls(gnutls_server_name_set(session.Get(), GNUTLS_NAME_DNS, server_name.data(),
                                    server_name.size()),
             "the server name");
  }
  return session;
}

}  // namespace gaugevalve::quic
