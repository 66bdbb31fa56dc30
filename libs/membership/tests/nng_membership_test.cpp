// Tests of the core over real sockets: nng on loopback, driven by libevent.
#include <cppunit/extensions/HelperMacros.h>
#include <event2/event.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gaugevalve/membership/membership_runner.h"
#include "gaugevalve/transport/nng_peer_transport.h"

namespace gaugevalve::membership {
namespace {

struct EventBaseDeleter {
  void operator()(event_base* owned) const { event_base_free(owned); }
};

struct EventDeleter {
  void operator()(event* owned) const { event_free(owned); }
};

// A member in this process, driven by a libevent timer.
class SocketMember {
 public:
  SocketMember(event_base* base, std::uint64_t number,
               const std::vector<base::SocketAddress>& seeds)
      : transport_(
            base, clock_,
            {base::NodeId(number), kIncarnation, *base::SocketAddress::Parse("127.0.0.1:0"), {}}),
        core_(base::NodeId(number), MakeMetadata(), {.seeds = seeds}, number),
        runner_(core_, transport_, clock_, [](const MembershipEvent&) {}) {
    runner_.Start();
    const auto on_timer = [](evutil_socket_t, short, void* self) {
      static_cast<SocketMember*>(self)->runner_.Tick();
    };
    timer_.reset(event_new(base, -1, EV_PERSIST, on_timer, this));
    constexpr timeval kTickInterval = {.tv_sec = 0, .tv_usec = 20'000};
    event_add(timer_.get(), &kTickInterval);
  }

  const base::SocketAddress& Address() const { return transport_.Identity().control_address; }
  std::size_t LiveCount() const { return core_.LiveCount(); }
  void Leave() { runner_.Leave(); }

 private:
  static constexpr base::Incarnation kIncarnation{1000};

  MemberMetadata MakeMetadata() const {
    MemberMetadata metadata;
    metadata.zone = "zone";
    metadata.control_address = transport_.Identity().control_address;
    metadata.process_incarnation = kIncarnation;
    return metadata;
  }

  base::SystemClock clock_;
  transport::NngPeerTransport transport_;
  Membership core_;
  MembershipRunner runner_;
  std::unique_ptr<event, EventDeleter> timer_;
};

class NngMembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NngMembershipTest);
  CPPUNIT_TEST(MembersJoinLeaveAndFail);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MembersJoinLeaveAndFail() {
    const std::unique_ptr<event_base, EventBaseDeleter> base(event_base_new());
    std::vector<std::unique_ptr<SocketMember>> members;
    std::vector<base::SocketAddress> seeds;
    for (std::uint64_t number = 1; number <= kMembers; ++number) {
      members.push_back(std::make_unique<SocketMember>(base.get(), number, seeds));
      seeds = {members.front()->Address()};
    }
    RunUntilAllSee(*base, members, kMembers);
    members.back()->Leave();
    RunUntilAllSee(*base, members, kMembers - 1);
    members.pop_back();                  // members that have left receive no further updates
    members.erase(members.begin() + 1);  // stops without announcing it
    RunUntilAllSee(*base, members, kMembers - 2);
  }

 private:
  static constexpr std::size_t kMembers = 5;
  using Members = std::vector<std::unique_ptr<SocketMember>>;

  // Runs the loop until every member counts `expected` live members. The test runner's time limit
  // ends a run that does not get there.
  static void RunUntilAllSee(event_base& base, const Members& members, std::size_t expected) {
    const auto is_reached = [&] {
      for (const auto& member : members) {
        if (member->LiveCount() != expected) {
          return false;
        }
      }
      return true;
    };
    while (!is_reached()) {
      event_base_loop(&base, EVLOOP_ONCE);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NngMembershipTest);

}  // namespace
}  // namespace gaugevalve::membership
