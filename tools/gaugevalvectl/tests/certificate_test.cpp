#include "certificate.h"

#include <cppunit/extensions/HelperMacros.h>
#include <gnutls/gnutls.h>
#include <gnutls/x509.h>

namespace gaugevalve::ctl {
namespace {

gnutls_datum_t Datum(const std::string& text) {
  // GnuTLS takes a writable pointer but only reads.
  auto* const bytes = reinterpret_cast<unsigned char*>(const_cast<char*>(text.data()));
  return {bytes, static_cast<unsigned>(text.size())};
}

// Returns whether GnuTLS takes the pair for one and the certificate for this host's.
bool IsGoodFor(const CertificatePair& pair, const std::string& host) {
  gnutls_certificate_credentials_t credentials = nullptr;
  gnutls_certificate_allocate_credentials(&credentials);
  const gnutls_datum_t certificate_text = Datum(pair.certificate);
  const gnutls_datum_t key_text = Datum(pair.key);
  const bool is_pair = gnutls_certificate_set_x509_key_mem(credentials, &certificate_text,
                                                           &key_text, GNUTLS_X509_FMT_PEM) >= 0;
  gnutls_certificate_free_credentials(credentials);

  gnutls_x509_crt_t certificate = nullptr;
  gnutls_x509_crt_init(&certificate);
  gnutls_x509_crt_import(certificate, &certificate_text, GNUTLS_X509_FMT_PEM);
  const bool is_for_host = gnutls_x509_crt_check_hostname(certificate, host.c_str()) != 0;
  gnutls_x509_crt_deinit(certificate);
  return is_pair && is_for_host;
}

class CertificateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CertificateTest);
  CPPUNIT_TEST(IsAPairForItsHost);
  CPPUNIT_TEST(KeysDiffer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IsAPairForItsHost() {
    const CertificatePair named = MakeSelfSignedCertificate("orders.example", 1);
    CPPUNIT_ASSERT(IsGoodFor(named, "orders.example"));
    CPPUNIT_ASSERT(!IsGoodFor(named, "files.example"));
    CPPUNIT_ASSERT(IsGoodFor(MakeSelfSignedCertificate("127.0.0.1", 1), "127.0.0.1"));
    CPPUNIT_ASSERT(IsGoodFor(MakeSelfSignedCertificate("2001:db8::1", 1), "2001:db8::1"));
  }

  void KeysDiffer() {
    const CertificatePair first = MakeSelfSignedCertificate("orders.example", 1);
    const CertificatePair second = MakeSelfSignedCertificate("orders.example", 1);
    CPPUNIT_ASSERT(first.key != second.key);
    const CertificatePair mixed{first.certificate, second.key};
    CPPUNIT_ASSERT(!IsGoodFor(mixed, "orders.example"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CertificateTest);

}  // namespace
}  // namespace gaugevalve::ctl
