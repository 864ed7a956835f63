#ifndef COMFREYPADDLE_TESTS_SUPPORT_CONTROL_H_
#define COMFREYPADDLE_TESTS_SUPPORT_CONTROL_H_

#include <string>
#include <vector>

#include "controlstate.h"

namespace comfreypaddle::testing {

// Fake store whose calls are answered by the test.
class ScriptedStore : public StreamPort {
 public:
  void Append(StreamAppend append,
              std::function<void(const AppendResult&)> done) override {
    m_appends.push_back(std::move(append));
    m_append_done.push_back(std::move(done));
  }
  void Read(Stream /*stream*/, std::uint64_t /*from*/, Duration /*wait*/,
            std::function<void(const ReadResult&)> done) override {
    m_read_done.push_back(std::move(done));
  }
  void ReadNewest(Stream /*stream*/,
                  std::function<void(const ReadResult&)> /*done*/) override {}

  std::vector<StreamAppend> m_appends;
  std::vector<std::function<void(const AppendResult&)>> m_append_done;
  std::vector<std::function<void(const ReadResult&)>> m_read_done;
};

// Fake HTTP client for calls to other instances, answered by the test.
class ScriptedPeers : public HttpPort {
 public:
  CallId Start(HttpCall call, HttpEvents events) override {
    m_calls.push_back(std::move(call));
    m_events.push_back(std::move(events));
    return m_calls.size();
  }
  void Cancel(CallId /*id*/) override {}

  std::vector<HttpCall> m_calls;
  std::vector<HttpEvents> m_events;
};

// Records the messages to the relay task.
class RecordingRelayPort : public Port<schema::RelayMessage> {
 public:
  void Post(schema::RelayMessage message) override {
    m_messages.push_back(std::move(message));
  }

  std::vector<schema::RelayMessage> m_messages;
};

// Control state of one instance with fake store, peers and clock.
struct Instance {
  explicit Instance(const std::string& name) {
    m_state.m_options.m_name = name;
    m_state.m_holder.m_options.m_name = name;
    m_state.m_options.m_incarnation = 7;
    m_state.m_store = &m_store;
    m_state.m_peers = &m_peers;
    m_state.m_relay = &m_inbox;
    m_state.m_clock = [this] { return m_now; };
    m_state.m_store_answered = m_now;
    m_state.m_catalog_cursor.m_confirmed = m_now;
    m_state.m_endpoints_cursor.m_confirmed = m_now;
    for (const char* other : {"a", "b"}) {
      schema::InstanceRecord record;
      record.set_name(other);
      record.set_peers("127.0.0.1:1");
      m_state.m_instances[other] = record;
    }
  }

  Instant m_now{std::chrono::seconds(1000)};
  ScriptedStore m_store;
  ScriptedPeers m_peers;
  RecordingRelayPort m_inbox;
  ControlState m_state;
};

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_CONTROL_H_
