#ifndef COMFREYPADDLE_CHANNEL_H_
#define COMFREYPADDLE_CHANNEL_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "sockets.h"

namespace comfreypaddle {

// How the peer ended its side of the connection.
enum class ChannelEnd {
  kClosed,  // Orderly close; all its bytes were received.
  kReset,   // Reset or network error; bytes may be missing.
  // No connection was made, because nothing listens at the address.
  kRefused,
};

class Channel;

// Receives the events of a channel. Every callback may destroy the channel.
class ChannelOwner {
 public:
  virtual ~ChannelOwner() = default;

  virtual void OnConnected(Channel& channel) = 0;
  virtual void OnBytes(Channel& channel, std::string_view bytes) = 0;
  virtual void OnEnd(Channel& channel, ChannelEnd end) = 0;
  // The output buffer is empty: the kernel has accepted all written bytes.
  virtual void OnDrained(Channel& channel) = 0;
};

// Non-blocking TCP connection with an output buffer. Owns its descriptor.
class Channel {
 public:
  enum class State { kConnecting, kOpen };

  Channel(SocketSet& sockets, int descriptor, State state, ChannelOwner& owner);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  // Sends or buffers the bytes. Failures are reported later by OnEnd.
  void Write(std::string_view bytes);

  // Number of bytes that the kernel has not accepted yet.
  std::size_t Pending() const { return m_output.size() - m_written; }

  // Whether the peer has acknowledged all written bytes and the connection has
  // not failed, a reset that follows an orderly close included.
  bool IsDelivered() const;

  // Whether the kernel has accepted any byte since the channel was created.
  bool AnySent() const { return m_any_sent; }

  // Shuts down the write side once the output buffer is empty. Input is still
  // read.
  void FinishWriting();

  // Makes the following close send a reset (SO_LINGER of zero), so that the
  // peer cannot mistake a truncated message for a complete one.
  void ResetOnClose();

  // Pauses and resumes reading, to apply back pressure to the peer.
  void SetReading(bool reading);

  // Whether the peer has sent bytes or closed since the last event.
  bool HasUnreadInput() const;

 private:
  void OnEvents(std::uint32_t events);
  void HandleConnected();
  void HandleInput();
  bool Flush();
  void UpdateEvents();

  SocketSet& m_sockets;
  ChannelOwner& m_owner;
  int m_descriptor;
  std::uint64_t m_watch_id = 0;
  State m_state;
  std::string m_output;
  std::size_t m_written = 0;
  std::uint32_t m_events = 0;
  bool m_reading = true;
  bool m_any_sent = false;
  bool m_shutdown_pending = false;
  bool m_write_failed = false;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CHANNEL_H_
