#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "peers.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "support.h"

namespace comfreypaddle {
namespace {

using testing::FreePort;
using testing::RunUntil;

constexpr Duration kLimit = std::chrono::seconds(5);

// Mailbox that records every message taken by the test's event loop.
template <typename Message>
struct Recorder {
  explicit Recorder(EventLoop& loop) : m_loop(loop) {
    loop.Watch(m_mailbox.Descriptor(), [this] {
      for (Message& message : m_mailbox.TakeAll()) {
        m_messages.push_back(std::move(message));
      }
    });
  }
  ~Recorder() { m_loop.Unwatch(m_mailbox.Descriptor()); }

  EventLoop& m_loop;
  Mailbox<Message> m_mailbox;
  std::vector<Message> m_messages;
};

// Peers task of one instance, with recorders in place of the other tasks.
struct Instance {
  Instance(EventLoop& loop, const std::string& name, std::uint32_t port,
           const std::string& members)
      : m_journal(loop), m_gateway(loop), m_admin(loop) {
    m_settings.mutable_instance()->set_name(name);
    m_settings.mutable_instance()->set_region(name.substr(0, 1));
    m_settings.mutable_peers()->set_address("127.0.0.1");
    m_settings.mutable_peers()->set_port(port);
    m_settings.mutable_peers()->set_members(members);
    m_settings.mutable_peers()->set_heartbeat_ms(50);
    m_settings.mutable_admission()->set_freshness_ms(600);
  }
  ~Instance() { Stop(); }

  void Launch(std::uint64_t incarnation) {
    m_task = std::make_unique<Peers>(m_settings, incarnation);
    m_task->Connect(
        {&m_journal.m_mailbox, &m_gateway.m_mailbox, &m_admin.m_mailbox});
    m_task->Launch();
  }

  void Stop() {
    if (m_task == nullptr) return;
    schema::PeersMessage message;
    message.mutable_stop();
    m_task->Inbox().Post(std::move(message));
    m_task->Join();
    m_task.reset();
  }

  void PostLog(std::uint64_t next_offset, bool reachable) {
    schema::PeersMessage message;
    message.mutable_log_status()->set_next_offset(next_offset);
    message.mutable_log_status()->set_reachable(reachable);
    message.mutable_log_status()->set_caught_up(true);
    if (reachable) {
      message.mutable_log_status()->set_confirmed_us(
          Now().time_since_epoch().count());
    }
    m_task->Inbox().Post(std::move(message));
  }

  void PostUsage(std::uint64_t incarnation, std::uint64_t sequence) {
    schema::PeersMessage message;
    schema::UsageFlush& flush = *message.mutable_usage_pending();
    flush.set_instance(m_settings.instance().name());
    flush.set_incarnation(incarnation);
    flush.set_sequence(sequence);
    flush.add_deltas()->set_workspace("w" + std::to_string(sequence));
    m_task->Inbox().Post(std::move(message));
  }

  // Returns the reason of the last permission sent to the gateway.
  std::string Reason() const {
    for (auto it = m_gateway.m_messages.rbegin();
         it != m_gateway.m_messages.rend(); ++it) {
      if (it->has_permission()) return it->permission().reason();
    }
    return "";
  }

  bool ReceivedPeerState(
      const std::function<bool(const schema::PeerState&)>& what) const {
    return std::any_of(
        m_gateway.m_messages.begin(), m_gateway.m_messages.end(),
        [&what](const auto& m) { return m.has_peer() && what(m.peer()); });
  }

  schema::Settings m_settings;
  Recorder<schema::JournalMessage> m_journal;
  Recorder<schema::GatewayMessage> m_gateway;
  Recorder<schema::AdminMessage> m_admin;
  std::unique_ptr<Peers> m_task;
};

// Instances a1 and b1 in two regions.
struct Fixture {
  Fixture() {
    m_a.Launch(1);
    m_b.Launch(1);
  }

  bool WaitUntil(const std::function<bool()>& condition) {
    return RunUntil(m_loop, kLimit, condition);
  }

  // Waits until both have received a heartbeat of the other.
  bool WaitForHeartbeats() {
    return WaitUntil([this] {
      const auto any = [](const schema::PeerState&) { return true; };
      return m_a.ReceivedPeerState(any) && m_b.ReceivedPeerState(any);
    });
  }

  EventLoop m_loop;
  std::uint16_t m_port_a = FreePort();
  std::uint16_t m_port_b = FreePort();
  Instance m_a{m_loop, "a1", m_port_a,
               "b1/b/127.0.0.1:" + std::to_string(m_port_b)};
  Instance m_b{m_loop, "b1", m_port_b,
               "a1/a/127.0.0.1:" + std::to_string(m_port_a)};
};

TEST_CASE("service and draining reach the other instance") {
  Fixture f;
  schema::PeersMessage status;
  auto* service = status.mutable_gateway_status()->add_services();
  service->set_workspace("w");
  service->set_served(12.5);
  status.mutable_gateway_status()->add_demands()->set_fleet("f");
  f.m_a.m_task->Inbox().Post(std::move(status));
  CHECK(f.WaitUntil([&f] {
    return f.m_b.ReceivedPeerState([](const schema::PeerState& state) {
      return state.instance() == "a1" && state.services_size() == 1 &&
             state.services(0).served() == 12.5 && state.demands_size() == 1;
    });
  }));
  schema::PeersMessage drain;
  drain.mutable_drain();
  f.m_a.m_task->Inbox().Post(std::move(drain));
  CHECK(f.WaitUntil([&f] {
    return f.m_b.ReceivedPeerState(
        [](const auto& state) { return state.draining(); });
  }));
}

TEST_CASE("admission survives a log outage but not the silence of a region") {
  Fixture f;
  REQUIRE(f.WaitForHeartbeats());
  f.m_a.PostLog(5, true);
  f.m_b.PostLog(5, true);
  REQUIRE(f.WaitUntil([&f] { return f.m_b.Reason() == "fresh"; }));
  f.m_a.PostLog(5, false);
  f.m_b.PostLog(5, false);
  CHECK(f.WaitUntil([&f] { return f.m_b.Reason() == "log_down"; }));
  CHECK(std::any_of(f.m_b.m_admin.m_messages.begin(),
                    f.m_b.m_admin.m_messages.end(), [](const auto& m) {
                      return m.has_permission() && m.permission().open();
                    }));
  f.m_a.Stop();
  CHECK(f.WaitUntil([&f] { return f.m_b.Reason() == "region_silent"; }));
}

TEST_CASE("an instance without the log reads entries through a peer") {
  Fixture f;
  REQUIRE(f.WaitForHeartbeats());
  f.m_b.PostLog(5, false);
  f.m_a.PostLog(6, true);
  const auto wanted = [&f]() -> const schema::JournalMessage* {
    for (const auto& message : f.m_a.m_journal.m_messages) {
      if (message.has_records_wanted()) return &message;
    }
    return nullptr;
  };
  REQUIRE(f.WaitUntil([&] { return wanted() != nullptr; }));
  CHECK(wanted()->records_wanted().from() == 5);
  CHECK_FALSE(f.m_b.Reason() == "fresh");
  schema::PeersMessage found;
  found.mutable_records_found()->set_ticket(
      wanted()->records_wanted().ticket());
  auto* entry = found.mutable_records_found()->mutable_batch()->add_entries();
  entry->set_offset(5);
  entry->set_body(std::string("\0\xff", 2));
  f.m_a.m_task->Inbox().Post(std::move(found));
  REQUIRE(f.WaitUntil([&f] {
    return std::any_of(f.m_b.m_journal.m_messages.begin(),
                       f.m_b.m_journal.m_messages.end(), [](const auto& m) {
                         return m.has_relayed() &&
                                m.relayed().batch().entries(0).offset() == 5;
                       });
  }));
  f.m_a.PostLog(6, true);
  f.m_b.PostLog(6, false);
  CHECK(f.WaitUntil([&f] { return f.m_b.Reason() == "fresh"; }));
}

TEST_CASE("usage of a failed instance is appended once by its holder") {
  Fixture f;
  REQUIRE(f.WaitForHeartbeats());
  f.m_a.PostUsage(1, 1);
  f.m_a.PostUsage(1, 2);
  schema::PeersMessage stored;
  stored.mutable_usage_stored()->set_instance("a1");
  stored.mutable_usage_stored()->set_incarnation(1);
  stored.mutable_usage_stored()->set_sequence(2);
  // The hold calls are sent before the draining state.
  schema::PeersMessage drain;
  drain.mutable_drain();
  f.m_a.m_task->Inbox().Post(std::move(drain));
  REQUIRE(f.WaitUntil([&f] {
    return std::count_if(f.m_b.m_gateway.m_messages.begin(),
                         f.m_b.m_gateway.m_messages.end(), [](const auto& m) {
                           return m.has_peer() && m.peer().draining();
                         }) >= 4;
  }));
  f.m_b.m_task->Inbox().Post(std::move(stored));
  f.m_a.Stop();
  f.m_a.Launch(2);
  const auto handed_over = [&f](std::uint64_t sequence) {
    return std::count_if(f.m_b.m_journal.m_messages.begin(),
                         f.m_b.m_journal.m_messages.end(), [&](const auto& m) {
                           return m.has_held_usage() &&
                                  m.held_usage().sequence() == sequence &&
                                  m.held_usage().incarnation() == 1 &&
                                  m.held_usage().deltas_size() == 1;
                         });
  };
  CHECK(f.WaitUntil([&] { return handed_over(1) == 1; }));
  CHECK(handed_over(2) == 0);
}

}  // namespace
}  // namespace comfreypaddle
