#include "gaugevalve/quic/credentials.h"

#include <gnutls/abstract.h>
#include <gnutls/x509.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <optional>
#include <stdexcept>

#include "gaugevalve/base/socket_address.h"
#include "native.h"
#include "tls_check.h"

namespace gaugevalve::quic {
namespace {

gnutls_datum_t ToDatum(std::string_view text) {
  // GnuTLS takes a mutable pointer and doesn't write through it.
  auto* data = reinterpret_cast<unsigned char*>(const_cast<char*>(text.data()));
  return {data, static_cast<unsigned int>(text.size())};
}

CertificateCredentials NewCredentials() {
  gnutls_certificate_credentials_t credentials = nullptr;
  CheckTls(gnutls_certificate_allocate_credentials(&credentials), "certificate credentials");
  return {credentials, gnutls_certificate_free_credentials};
}

struct CertificateDeleter {
  void operator()(gnutls_x509_crt_t certificate) const { gnutls_x509_crt_deinit(certificate); }
};
using Certificate = std::unique_ptr<std::remove_pointer_t<gnutls_x509_crt_t>, CertificateDeleter>;

Certificate NewCertificate() {
  gnutls_x509_crt_t certificate = nullptr;
  CheckTls(gnutls_x509_crt_init(&certificate), "a certificate");
  return Certificate(certificate);
}

struct PrivateKeyDeleter {
  void operator()(gnutls_x509_privkey_t key) const { gnutls_x509_privkey_deinit(key); }
};
using PrivateKey = std::unique_ptr<std::remove_pointer_t<gnutls_x509_privkey_t>, PrivateKeyDeleter>;

PrivateKey NewPrivateKey() {
  gnutls_x509_privkey_t key = nullptr;
  CheckTls(gnutls_x509_privkey_init(&key), "a private key");
  return PrivateKey(key);
}

// Reads a file whole, or appends a finding and returns nothing.
std::optional<std::string> ReadFile(const std::string& name, base::Findings& findings) {
  std::ifstream stream(name, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
  if (!stream.is_open() || stream.bad() || text.empty()) {
    findings.push_back({{name, 0, 0, ""}, "can't be read, or is empty"});
    return std::nullopt;
  }
  return text;
}

// Checks the period in which the first certificate of the chain is valid.
void CheckValidity(const std::string& chain, const base::SourcePlace& place,
                   std::chrono::system_clock::time_point now, base::Findings& findings) {
  const Certificate certificate = NewCertificate();
  const gnutls_datum_t datum = ToDatum(chain);
  const int result = gnutls_x509_crt_import(certificate.get(), &datum, GNUTLS_X509_FMT_PEM);
  if (result < 0) {
    findings.push_back({place, std::string("no PEM certificate: ") + gnutls_strerror(result)});
    return;
  }
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  if (gnutls_x509_crt_get_expiration_time(certificate.get()) < seconds) {
    findings.push_back({place, "the certificate has expired"});
  }
  if (gnutls_x509_crt_get_activation_time(certificate.get()) > seconds) {
    findings.push_back({place, "the certificate is not yet valid"});
  }
}

CertificateCredentials MakeCredentials(const CertificatePair& pair, const CertificateFiles& names,
                                       std::chrono::system_clock::time_point now,
                                       base::Findings& findings) {
  const std::size_t findings_before = findings.size();
  const base::SourcePlace certificate_place{names.certificate, 0, 0, ""};
  const base::SourcePlace key_place{names.key, 0, 0, ""};
  CheckValidity(pair.certificate, certificate_place, now, findings);
  CertificateCredentials credentials = NewCredentials();
  const gnutls_datum_t certificate = ToDatum(pair.certificate);
  const gnutls_datum_t key = ToDatum(pair.key);
  const int result = gnutls_certificate_set_x509_key_mem(credentials.get(), &certificate, &key,
                                                         GNUTLS_X509_FMT_PEM);
  if (result < 0 && findings.size() == findings_before) {
    findings.push_back(
        {key_place, std::string("can't be used with the certificate: ") + gnutls_strerror(result)});
  }
  return findings.size() == findings_before ? credentials : nullptr;
}

void AddSubjectName(gnutls_x509_crt_t certificate, const std::string& subject_name) {
  const auto number = base::SocketAddress::Parse(subject_name + ":0");
  if (!number) {
    CheckTls(gnutls_x509_crt_set_subject_alt_name(
                 certificate, GNUTLS_SAN_DNSNAME, subject_name.data(),
                 static_cast<unsigned int>(subject_name.size()), GNUTLS_FSAN_SET),
             "the subject's name");
    return;
  }
  const unsigned int length = number->family == base::AddressFamily::kIpv4 ? 4 : 16;
  CheckTls(gnutls_x509_crt_set_subject_alt_name(certificate, GNUTLS_SAN_IPADDRESS,
                                                number->address.data(), length, GNUTLS_FSAN_SET),
           "the subject's address");
}

// Returns the PEM text that one of GnuTLS's export functions gives.
template <class Object, class Export>
std::string ExportPem(Object* object, Export export_function) {
  gnutls_datum_t datum{};
  CheckTls(export_function(object, GNUTLS_X509_FMT_PEM, &datum), "PEM output");
  std::string text(reinterpret_cast<const char*>(datum.data), datum.size);
  gnutls_free(datum.data);
  return text;
}

}  // namespace

CertificateCredentials LoadServerCredentials(const CertificateFiles& files,
                                             std::chrono::system_clock::time_point now,
                                             base::Findings& findings) {
  auto certificate = ReadFile(files.certificate, findings);
  auto key = ReadFile(files.key, findings);
  if (!certificate || !key) {
    return nullptr;
  }
  return MakeCredentials({std::move(*certificate), std::move(*key)}, files, now, findings);
}

CertificateCredentials MakeServerCredentials(const CertificatePair& pair, const std::string& name,
                                             std::chrono::system_clock::time_point now,
                                             base::Findings& findings) {
  return MakeCredentials(pair, {name, name}, now, findings);
}

ClientCredentials MakeClientCredentials(std::string_view trust_anchors) {
  ClientCredentials client{NewCredentials(), !trust_anchors.empty()};
  if (client.verifies_server) {
    const gnutls_datum_t datum = ToDatum(trust_anchors);
    const int count = gnutls_certificate_set_x509_trust_mem(client.credentials.get(), &datum,
                                                            GNUTLS_X509_FMT_PEM);
    CheckTls(count, "the trust anchors");
    if (count == 0) {
      throw std::runtime_error("the trust anchors hold no certificate");
    }
  }
  return client;
}

CertificatePair MakeSelfSignedCertificate(const std::string& subject_name,
                                          std::chrono::system_clock::time_point now,
                                          std::chrono::seconds lifetime) {
  constexpr std::chrono::hours kClockSkew{1};
  constexpr unsigned int kVersion3 = 3;
  const PrivateKey key = NewPrivateKey();
  CheckTls(gnutls_x509_privkey_generate(key.get(), GNUTLS_PK_ECDSA,
                                        GNUTLS_CURVE_TO_BITS(GNUTLS_ECC_CURVE_SECP256R1), 0),
           "a new key");
  const Certificate certificate = NewCertificate();
  gnutls_x509_crt_t raw = certificate.get();
  CheckTls(gnutls_x509_crt_set_version(raw, kVersion3), "the certificate's version");
  CheckTls(gnutls_x509_crt_set_key(raw, key.get()), "the certificate's key");
  CheckTls(gnutls_x509_crt_set_dn_by_oid(raw, GNUTLS_OID_X520_COMMON_NAME, 0, subject_name.data(),
                                         static_cast<unsigned int>(subject_name.size())),
           "the subject");
  AddSubjectName(raw, subject_name);
  std::array<std::uint8_t, 16> serial{};
  FillRandom(serial);
  serial[0] &= 0x7f;  // positive, as the encoding asks
  CheckTls(gnutls_x509_crt_set_serial(raw, serial.data(), serial.size()), "the serial number");
  using Clock = std::chrono::system_clock;
  CheckTls(gnutls_x509_crt_set_activation_time(raw, Clock::to_time_t(now - kClockSkew)),
           "the certificate's start");
  CheckTls(gnutls_x509_crt_set_expiration_time(raw, Clock::to_time_t(now + lifetime)),
           "the certificate's end");
  CheckTls(gnutls_x509_crt_set_basic_constraints(raw, 1, -1), "the basic constraints");
  CheckTls(
      gnutls_x509_crt_set_key_usage(raw, GNUTLS_KEY_DIGITAL_SIGNATURE | GNUTLS_KEY_KEY_CERT_SIGN),
      "the key usage");
  CheckTls(gnutls_x509_crt_sign2(raw, raw, key.get(), GNUTLS_DIG_SHA256, 0), "the signature");
  return {ExportPem(raw, gnutls_x509_crt_export2),
          ExportPem(key.get(), gnutls_x509_privkey_export2)};
}

}  // namespace gaugevalve::quic
