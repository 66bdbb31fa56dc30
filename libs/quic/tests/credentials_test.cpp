#include "gaugevalve/quic/credentials.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace gaugevalve::quic {
namespace {

using Clock = std::chrono::system_clock;

class CredentialsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CredentialsTest);
  CPPUNIT_TEST(APairFromFilesIsTaken);
  CPPUNIT_TEST(MissingFilesAreAllReported);
  CPPUNIT_TEST(AKeyOfAnotherCertificateIsAFinding);
  CPPUNIT_TEST(TextThatIsNoCertificateIsAFinding);
  CPPUNIT_TEST(AnExpiredCertificateIsAFinding);
  CPPUNIT_TEST(TrustAnchorsMustHoldACertificate);
  CPPUNIT_TEST_SUITE_END();

  std::filesystem::path directory_;

  std::string Write(const std::string& name, const std::string& text) const {
    std::ofstream(directory_ / name, std::ios::binary) << text;
    return (directory_ / name).string();
  }

 public:
  void setUp() override {  // NOLINT(readability-identifier-naming)
    std::string name = (std::filesystem::temp_directory_path() / "credentials-XXXXXX").string();
    CPPUNIT_ASSERT(mkdtemp(name.data()) != nullptr);
    directory_ = name;
  }
  void tearDown() override {  // NOLINT(readability-identifier-naming)
    std::filesystem::remove_all(directory_);
  }

  void APairFromFilesIsTaken() {
    const CertificatePair pair =
        MakeSelfSignedCertificate("127.0.0.1", Clock::now(), std::chrono::hours(1));
    base::Findings findings;
    const CertificateFiles files{Write("c.pem", pair.certificate), Write("k.pem", pair.key)};
    CPPUNIT_ASSERT(LoadServerCredentials(files, Clock::now(), findings) != nullptr);
    CPPUNIT_ASSERT(findings.empty());
  }

  void MissingFilesAreAllReported() {
    base::Findings findings;
    const CertificateFiles files{(directory_ / "c.pem").string(), (directory_ / "k.pem").string()};
    CPPUNIT_ASSERT(LoadServerCredentials(files, Clock::now(), findings) == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, findings.size());
    CPPUNIT_ASSERT_EQUAL(files.certificate, findings[0].place.file);
    CPPUNIT_ASSERT_EQUAL(files.key, findings[1].place.file);
  }

  void AKeyOfAnotherCertificateIsAFinding() {
    const auto one = MakeSelfSignedCertificate("a.example", Clock::now(), std::chrono::hours(1));
    const auto other = MakeSelfSignedCertificate("a.example", Clock::now(), std::chrono::hours(1));
    base::Findings findings;
    CPPUNIT_ASSERT(
        !MakeServerCredentials({one.certificate, other.key}, "x", Clock::now(), findings));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, findings.size());
  }

  void TextThatIsNoCertificateIsAFinding() {
    const auto pair = MakeSelfSignedCertificate("a.example", Clock::now(), std::chrono::hours(1));
    base::Findings findings;
    CPPUNIT_ASSERT(!MakeServerCredentials({"nothing", pair.key}, "x", Clock::now(), findings));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, findings.size());
  }

  void AnExpiredCertificateIsAFinding() {
    const auto pair = MakeSelfSignedCertificate("a.example", Clock::now(), std::chrono::hours(1));
    base::Findings findings;
    CPPUNIT_ASSERT(
        !MakeServerCredentials(pair, "x", Clock::now() + std::chrono::hours(2), findings));
    CPPUNIT_ASSERT(findings.at(0).message.find("expired") != std::string::npos);
    findings.clear();
    CPPUNIT_ASSERT(
        !MakeServerCredentials(pair, "x", Clock::now() - std::chrono::hours(2), findings));
    CPPUNIT_ASSERT(findings.at(0).message.find("not yet") != std::string::npos);
  }

  void TrustAnchorsMustHoldACertificate() {
    CPPUNIT_ASSERT(!MakeClientCredentials("").verifies_server);
    CPPUNIT_ASSERT_THROW(MakeClientCredentials("nothing"), std::runtime_error);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CredentialsTest);

}  // namespace
}  // namespace gaugevalve::quic
