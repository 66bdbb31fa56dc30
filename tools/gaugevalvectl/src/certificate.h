// Self-signed certificates, for trying an http3 service without a certificate authority.
#pragma once

#include <string>
#include <vector>

#include "command_context.h"

namespace gaugevalve::ctl {

// A certificate and its private key, both in PEM.
struct CertificatePair {
  std::string certificate;
  std::string key;
};

// Returns a new ECDSA P-256 pair for a DNS name or an IP address, valid from a minute ago for this
// many days. Throws std::runtime_error with GnuTLS's words.
CertificatePair MakeSelfSignedCertificate(const std::string& host, int valid_days);

// Writes a new pair to two files: arguments are the host and the names of both. An existing file is
// a finding and nothing is written.
ExitCode CertificateSelfSigned(const CommandContext& context,
                               const std::vector<std::string>& arguments);

}  // namespace gaugevalve::ctl
