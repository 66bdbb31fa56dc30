// The blocking client against the stand-in store on a thread of its own.
#include "gaugevalve/store/blocking_store_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/tasks/task.h"
#include "store_server.h"

namespace gaugevalve::store {
namespace {

class BlockingStoreClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BlockingStoreClientTest);
  CPPUNIT_TEST(WaitsForTheAnswer);
  CPPUNIT_TEST(SaysWhenTheStoreCannotBeReached);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WaitsForTheAnswer() {
    const base::SystemClock clock;
    tasks::Task task("store");
    standins::StoreServer server(task.Loop(), *base::SocketAddress::Parse("127.0.0.1:0"), clock);
    const base::SocketAddress address = server.BoundAddress();
    task.Start();
    {
      BlockingStoreClient client(Settings(address), kSeed);
      CPPUNIT_ASSERT(client.Call(PutRequest{"a", "1", LeaseId{}}, kPatience).IsOk());
      const Result read = client.Call(RangeRequest{.key = "a"}, kPatience);
      CPPUNIT_ASSERT_EQUAL(std::string("1"), read.Get<RangeResponse>().key_values.at(0).value);
    }
    task.Stop();
    task.Join();
  }

  void SaysWhenTheStoreCannotBeReached() {
    BlockingStoreClient client(Settings(UnusedAddress()), kSeed);
    const Result result =
        client.Call(PutRequest{"a", "1", LeaseId{}}, std::chrono::milliseconds(100));
    CPPUNIT_ASSERT(result.outcome == Outcome::kRefused);
    CPPUNIT_ASSERT(result.words.ends_with("nothing was changed"));
  }

 private:
  static constexpr std::uint64_t kSeed = 5;
  static constexpr base::Duration kPatience = std::chrono::seconds(20);

  static StoreClientSettings Settings(const base::SocketAddress& address) {
    StoreClientSettings settings;
    settings.endpoints = {address};
    return settings;
  }

  // Returns an address at which nothing listens any more.
  static base::SocketAddress UnusedAddress() {
    const base::SystemClock clock;
    const tasks::LoopPointer loop = tasks::MakeLoop();
    const standins::StoreServer server(loop.get(), *base::SocketAddress::Parse("127.0.0.1:0"),
                                       clock);
    return server.BoundAddress();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BlockingStoreClientTest);

}  // namespace
}  // namespace gaugevalve::store
