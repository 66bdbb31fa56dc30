// The codec against literal JSON as the etcd v3 gateway writes and reads it.
#include "gaugevalve/store/codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/store/watch_stream_decoder.h"

namespace gaugevalve::store {
namespace {

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(EncodesRange);
  CPPUNIT_TEST(EncodesTransaction);
  CPPUNIT_TEST(EncodesLeases);
  CPPUNIT_TEST(EncodesWatch);
  CPPUNIT_TEST(DecodesRange);
  CPPUNIT_TEST(DecodesTransaction);
  CPPUNIT_TEST(DecodesKeepAliveOfAnExpiredLease);
  CPPUNIT_TEST(ReportsEveryFaultWithItsPlace);
  CPPUNIT_TEST(DecodesErrorsOfBothForms);
  CPPUNIT_TEST(CutsAStreamIntoFrames);
  CPPUNIT_TEST(RefusesAnEndlessMessage);
  CPPUNIT_TEST(PrefixEndCoversThePrefix);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EncodesRange() {
    RangeRequest range{.key = "a", .range_end = "b"};
    range.limit = 5;
    range.revision = base::Revision{7};
    AssertEncoded("/v3/kv/range", R"({"key":"YQ==","limit":"5","range_end":"Yg==","revision":"7"})",
                  range);
  }

  void EncodesTransaction() {
    TxnRequest txn;
    txn.compares.push_back({"k", CompareTarget::kModRevision, CompareRelation::kEqual, 3});
    txn.success.emplace_back(PutRequest{"k", "v", LeaseId{9}});
    txn.failure.emplace_back(RangeRequest{.key = "k"});
    AssertEncoded(
        "/v3/kv/txn",
        R"({"compare":[{"key":"aw==","mod_revision":"3","result":"EQUAL","target":"MOD"}],)"
        R"("failure":[{"request_range":{"key":"aw=="}}],)"
        R"("success":[{"request_put":{"key":"aw==","lease":"9","value":"dg=="}}]})",
        txn);
  }

  void EncodesLeases() {
    AssertEncoded("/v3/lease/grant", R"({"ID":"0","TTL":"10"})",
                  LeaseGrantRequest{LeaseId{}, std::chrono::seconds(10)});
    AssertEncoded("/v3/lease/keepalive", R"({"ID":"4"})", LeaseKeepAliveRequest{LeaseId{4}});
    AssertEncoded("/v3/lease/revoke", R"({"ID":"4"})", LeaseRevokeRequest{LeaseId{4}});
  }

  void EncodesWatch() {
    const EncodedRequest encoded = EncodeWatchRequest({"a", "b", base::Revision{6}, true});
    CPPUNIT_ASSERT_EQUAL(std::string("/v3/watch"), encoded.path);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"create_request":{"key":"YQ==","progress_notify":true,)"
                                     R"("range_end":"Yg==","start_revision":"6"}})"),
                         encoded.body);
  }

  void DecodesRange() {
    const Response response = DecodeResponse(
        RangeRequest{},
        R"({"header":{"cluster_id":"14841639068965178418","revision":"12"},"kvs":[{"key":"YQ==",)"
        R"("create_revision":"2","mod_revision":"9","version":"4","value":"Yg==","lease":"5"}],)"
        R"("more":true,"count":"3"})");
    const RangeResponse expected{
        base::Revision{12},
        {KeyValue{"a", "b", base::Revision{2}, base::Revision{9}, 4, LeaseId{5}}},
        true,
        3};
    CPPUNIT_ASSERT(std::get<RangeResponse>(response) == expected);
  }

  void DecodesTransaction() {
    const Response response = DecodeResponse(
        TxnRequest{},
        R"({"header":{"revision":"3"},"succeeded":true,"responses":[)"
        R"({"response_put":{"header":{"revision":"3"}}},{"response_delete_range":{"deleted":"2"}}]})");
    const auto& txn = std::get<TxnResponse>(response);
    CPPUNIT_ASSERT(txn.succeeded);
    CPPUNIT_ASSERT_EQUAL(base::Revision{3}, std::get<PutResponse>(txn.responses.at(0)).revision);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2},
                         std::get<DeleteRangeResponse>(txn.responses.at(1)).deleted);
  }

  void DecodesKeepAliveOfAnExpiredLease() {
    const Response response =
        DecodeResponse(LeaseKeepAliveRequest{LeaseId{4}}, R"({"result":{"header":{},"ID":"4"}})");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, std::get<LeaseKeepAliveResponse>(response).ttl_seconds);
  }

  void ReportsEveryFaultWithItsPlace() {
    try {
      DecodeResponse(RangeRequest{},
                     R"({"header":{"revision":"-1"},"kvs":[{"key":"?","version":"x"}],"more":1})");
      CPPUNIT_FAIL("a faulty answer was taken");
    } catch (const base::FindingsError& error) {
      CPPUNIT_ASSERT_EQUAL(std::string("store: header.revision: is negative\n"
                                       "store: kvs[0].key: is not base64\n"
                                       "store: kvs[0].version: is not a 64-bit number\n"
                                       "store: more: is not true or false\n"),
                           std::string(error.what()));
    }
  }

  void DecodesErrorsOfBothForms() {
    CPPUNIT_ASSERT_EQUAL(11, DecodeErrorAnswer(R"({"error":"x","code":11,"message":"y"})").code);
    CPPUNIT_ASSERT_EQUAL(std::string("y"),
                         DecodeErrorAnswer(R"({"error":{"message":"y"}})").message);
    CPPUNIT_ASSERT_EQUAL(std::string("<html>"), DecodeErrorAnswer("<html>").message);
  }

  void CutsAStreamIntoFrames() {
    const std::string stream =
        R"({"result":{"header":{"revision":"4"},"created":true}})"
        "\n"
        R"({"result":{"header":{"revision":"5"},"events":[)"
        R"({"kv":{"key":"YQ==","mod_revision":"5"}},{"type":"DELETE","kv":{"key":"Yg=="}}]}})"
        "\n"
        R"({"result":{"header":{},"canceled":true,"compact_revision":"8"}})"
        "\n";
    for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, stream.size()}) {
      WatchStreamDecoder decoder;
      std::vector<WatchFrame> frames;
      for (std::size_t at = 0; at < stream.size(); at += piece) {
        const auto decoded = decoder.Append(std::string_view(stream).substr(at, piece));
        frames.insert(frames.end(), decoded.begin(), decoded.end());
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, frames.size());
      CPPUNIT_ASSERT(frames[0].created);
      CPPUNIT_ASSERT(frames[1].events.at(1).kind == WatchEventKind::kDelete);
      CPPUNIT_ASSERT_EQUAL(base::Revision{8}, frames[2].compact_revision);
    }
  }

  void RefusesAnEndlessMessage() {
    WatchStreamDecoder decoder(/*message_limit=*/10);
    CPPUNIT_ASSERT_THROW(decoder.Append("01234567890"), base::FindingsError);
  }

  void PrefixEndCoversThePrefix() {
    CPPUNIT_ASSERT_EQUAL(std::string("b"), PrefixEnd("a"));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), PrefixEnd("a\xff"));
    CPPUNIT_ASSERT_EQUAL(std::string(1, '\0'), PrefixEnd("\xff"));
  }

 private:
  static void AssertEncoded(const std::string& path, const std::string& body,
                            const Request& request) {
    const EncodedRequest encoded = EncodeRequest(request);
    CPPUNIT_ASSERT_EQUAL(path, encoded.path);
    CPPUNIT_ASSERT_EQUAL(body, encoded.body);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace
}  // namespace gaugevalve::store
