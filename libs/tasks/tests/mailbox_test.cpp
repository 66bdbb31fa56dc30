#include "gaugevalve/tasks/mailbox.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <thread>

namespace gaugevalve::tasks {
namespace {

class MailboxTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MailboxTest);
  CPPUNIT_TEST(FullMailboxRefusesAndKeepsWhatItHas);
  CPPUNIT_TEST(EachSendersOrderIsKept);
  CPPUNIT_TEST(ReceivedMessageIsReleased);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FullMailboxRefusesAndKeepsWhatItHas() {
    Mailbox<std::unique_ptr<int>> mailbox(2);
    CPPUNIT_ASSERT(mailbox.TrySend(std::make_unique<int>(1)));
    CPPUNIT_ASSERT(mailbox.TrySend(std::make_unique<int>(2)));
    auto third = std::make_unique<int>(3);
    CPPUNIT_ASSERT(!mailbox.TrySend(std::move(third)));
    CPPUNIT_ASSERT(third != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, mailbox.RefusedCount());
    CPPUNIT_ASSERT_EQUAL(1, **mailbox.TryReceive());
    CPPUNIT_ASSERT(mailbox.TrySend(std::move(third)));
    CPPUNIT_ASSERT_EQUAL(2, **mailbox.TryReceive());
    CPPUNIT_ASSERT_EQUAL(3, **mailbox.TryReceive());
    CPPUNIT_ASSERT(!mailbox.TryReceive().has_value());
  }

  void EachSendersOrderIsKept() {
    constexpr int kSenders = 3;
    constexpr int kMessages = 20'000;
    struct Message {
      int sender = 0;
      int number = 0;
    };
    Mailbox<Message> mailbox(64);
    std::vector<std::thread> senders;
    senders.reserve(kSenders);
    for (int sender = 0; sender < kSenders; ++sender) {
      senders.emplace_back([&mailbox, sender] {
        for (int number = 0; number < kMessages; ++number) {
          while (!mailbox.TrySend({sender, number})) {
            std::this_thread::yield();
          }
        }
      });
    }
    std::array<int, kSenders> expected{};
    int received = 0;
    bool ordered = true;
    while (received < kSenders * kMessages) {
      if (const auto message = mailbox.TryReceive()) {
        ordered = ordered && message->number == expected.at(message->sender);
        ++expected.at(message->sender);
        ++received;
      } else {
        std::this_thread::yield();
      }
    }
    for (std::thread& sender : senders) {
      sender.join();
    }
    CPPUNIT_ASSERT(ordered);
    CPPUNIT_ASSERT(!mailbox.TryReceive().has_value());
  }

  void ReceivedMessageIsReleased() {
    Mailbox<std::shared_ptr<int>> mailbox(4);
    const auto shared = std::make_shared<int>(7);
    mailbox.TrySend(std::shared_ptr<int>(shared));
    CPPUNIT_ASSERT_EQUAL(2L, shared.use_count());
    mailbox.TryReceive();
    CPPUNIT_ASSERT_EQUAL(1L, shared.use_count());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MailboxTest);

}  // namespace
}  // namespace gaugevalve::tasks
