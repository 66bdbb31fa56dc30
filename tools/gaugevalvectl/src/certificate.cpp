#include "certificate.h"

#include <arpa/inet.h>
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <gnutls/x509.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <utility>

#include "gaugevalve/base/finding.h"

namespace gaugevalve::ctl {
namespace {

constexpr int kValidDays = 90;
constexpr unsigned kX509Version3 = 3;

void Require(int result, const char* step) {
  if (result < 0) {
    throw std::runtime_error(std::string(step) + ": " + gnutls_strerror(result));
  }
}

struct KeyDeleter {
  void operator()(gnutls_x509_privkey_t key) const { gnutls_x509_privkey_deinit(key); }
};

struct CertificateDeleter {
  void operator()(gnutls_x509_crt_t certificate) const { gnutls_x509_crt_deinit(certificate); }
};

using Key = std::unique_ptr<gnutls_x509_privkey_int, KeyDeleter>;
using Certificate = std::unique_ptr<gnutls_x509_crt_int, CertificateDeleter>;

Key MakeKey() {
  gnutls_x509_privkey_t raw = nullptr;
  Require(gnutls_x509_privkey_init(&raw), "new key");
  Key key(raw);
  const unsigned curve = GNUTLS_CURVE_TO_BITS(GNUTLS_ECC_CURVE_SECP256R1);
  Require(gnutls_x509_privkey_generate(raw, GNUTLS_PK_ECDSA, curve, 0), "generate the key");
  return key;
}

// Names the host as an IP address where it is one, else as a DNS name: callers check by that.
void SetHost(gnutls_x509_crt_t certificate, const std::string& host) {
  Require(gnutls_x509_crt_set_dn_by_oid(certificate, GNUTLS_OID_X520_COMMON_NAME, 0, host.data(),
                                        static_cast<unsigned>(host.size())),
          "set the name");
  std::array<std::uint8_t, 16> address{};
  const auto set_name = [&](gnutls_x509_subject_alt_name_t type, const void* data, unsigned size) {
    Require(gnutls_x509_crt_set_subject_alt_name(certificate, type, data, size, GNUTLS_FSAN_SET),
            "set the alternative name");
  };
  constexpr unsigned kIpv4Length = 4;
  if (inet_pton(AF_INET, host.c_str(), address.data()) == 1) {
    set_name(GNUTLS_SAN_IPADDRESS, address.data(), kIpv4Length);
  } else if (inet_pton(AF_INET6, host.c_str(), address.data()) == 1) {
    set_name(GNUTLS_SAN_IPADDRESS, address.data(), static_cast<unsigned>(address.size()));
  } else {
    set_name(GNUTLS_SAN_DNSNAME, host.data(), static_cast<unsigned>(host.size()));
  }
}

void SetValidity(gnutls_x509_crt_t certificate, int valid_days) {
  constexpr std::time_t kMinute = 60;
  constexpr std::time_t kDay = 24 * 60 * kMinute;
  const std::time_t now = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  Require(gnutls_x509_crt_set_activation_time(certificate, now - kMinute), "set the start");
  Require(gnutls_x509_crt_set_expiration_time(certificate, now + valid_days * kDay), "set the end");
}

void SetSerial(gnutls_x509_crt_t certificate) {
  std::array<std::uint8_t, 16> serial{};
  Require(gnutls_rnd(GNUTLS_RND_NONCE, serial.data(), serial.size()), "draw the serial number");
  serial[0] &= 0x7fU;  // a serial number is positive
  serial[0] |= 0x01U;
  Require(gnutls_x509_crt_set_serial(certificate, serial.data(), serial.size()),
          "set the serial number");
}

std::string TakeDatum(gnutls_datum_t datum) {
  std::string text(reinterpret_cast<const char*>(datum.data), datum.size);
  gnutls_free(datum.data);
  return text;
}

// Writes a file that must not exist yet, readable by its owner only.
void WriteNewFile(const std::string& name, const std::string& content) {
  std::ofstream stream(name, std::ios::binary);
  std::filesystem::permissions(
      name, std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
  stream << content;
  stream.close();
  if (!stream) {
    throw std::runtime_error(name + ": can't be written");
  }
}

}  // namespace

CertificatePair MakeSelfSignedCertificate(const std::string& host, int valid_days) {
  const Key key = MakeKey();
  gnutls_x509_crt_t raw = nullptr;
  Require(gnutls_x509_crt_init(&raw), "new certificate");
  const Certificate certificate(raw);
  Require(gnutls_x509_crt_set_version(raw, kX509Version3), "set the version");
  SetHost(raw, host);
  SetValidity(raw, valid_days);
  SetSerial(raw);
  Require(gnutls_x509_crt_set_key(raw, key.get()), "set the key");
  Require(gnutls_x509_crt_set_key_usage(raw, GNUTLS_KEY_DIGITAL_SIGNATURE), "set the usage");
  Require(gnutls_x509_crt_sign2(raw, raw, key.get(), GNUTLS_DIG_SHA256, 0), "sign");

  CertificatePair pair;
  gnutls_datum_t datum{};
  Require(gnutls_x509_crt_export2(raw, GNUTLS_X509_FMT_PEM, &datum), "export the certificate");
  pair.certificate = TakeDatum(datum);
  Require(gnutls_x509_privkey_export2_pkcs8(key.get(), GNUTLS_X509_FMT_PEM, nullptr,
                                            GNUTLS_PKCS_PLAIN, &datum),
          "export the key");
  pair.key = TakeDatum(datum);
  return pair;
}

ExitCode CertificateSelfSigned(const CommandContext& context,
                               const std::vector<std::string>& arguments) {
  const std::string& host = arguments.at(0);
  const std::string& certificate_file = arguments.at(1);
  const std::string& key_file = arguments.at(2);
  base::Findings findings;
  for (const std::string& name : {certificate_file, key_file}) {
    if (std::filesystem::exists(name)) {
      findings.push_back({{name, 0, 0, ""}, "exists already; it is not overwritten"});
    }
  }
  if (!findings.empty()) {
    throw base::FindingsError(std::move(findings));
  }
  const CertificatePair pair = MakeSelfSignedCertificate(host, kValidDays);
  WriteNewFile(key_file, pair.key);
  WriteNewFile(certificate_file, pair.certificate);
  context.Print("Wrote " + certificate_file + " and " + key_file + " for " + host + ", valid for " +
                    std::to_string(kValidDays) + " days.\n",
                {{"certificate_file", certificate_file},
                 {"key_file", key_file},
                 {"host", host},
                 {"valid_days", kValidDays}});
  return ExitCode::kOk;
}

}  // namespace gaugevalve::ctl
