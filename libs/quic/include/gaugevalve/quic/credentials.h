// Certificates and keys of the TLS handshakes.
#pragma once

#include <gnutls/gnutls.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>

#include "gaugevalve/base/finding.h"

namespace gaugevalve::quic {

using CertificateCredentials =
    std::shared_ptr<std::remove_pointer_t<gnutls_certificate_credentials_t>>;

// What a client needs for its handshakes.
struct ClientCredentials {
  CertificateCredentials credentials;
  bool verifies_server = false;
};

// Names of the files that hold a server's certificate chain and key, in PEM.
struct CertificateFiles {
  std::string certificate;
  std::string key;

  friend bool operator==(const CertificateFiles&, const CertificateFiles&) = default;
};

// Certificate chain and key in PEM, as text.
struct CertificatePair {
  std::string certificate;
  std::string key;
};

// Returns the credentials of a server. Faults (a file that can't be read, text that isn't PEM, a
// key of another certificate, one that has expired at `now`) are appended to `findings` and null is
// returned: the caller keeps what it has.
CertificateCredentials LoadServerCredentials(const CertificateFiles& files,
                                             std::chrono::system_clock::time_point now,
                                             base::Findings& findings);

// The same from text; `name` is what findings call it.
CertificateCredentials MakeServerCredentials(const CertificatePair& pair, const std::string& name,
                                             std::chrono::system_clock::time_point now,
                                             base::Findings& findings);

// Returns the credentials of a client that trusts what `trust_anchors` (PEM) signed, or, when it is
// empty, any server at all, which is for tests only. Throws std::runtime_error when no certificate
// can be read from it.
ClientCredentials MakeClientCredentials(std::string_view trust_anchors);

// Returns a new key and a certificate signed by itself for this DNS name or IP number, valid for
// `lifetime` from `now`: for trials and tests. Throws std::runtime_error when GnuTLS fails.
CertificatePair MakeSelfSignedCertificate(const std::string& subject_name,
                                          std::chrono::system_clock::time_point now,
                                          std::chrono::seconds lifetime);

}  // namespace gaugevalve::quic
