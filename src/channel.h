#ifndef COMFREYPADDLE_CHANNEL_H_
#define COMFREYPADDLE_CHANNEL_H_

#include <cstdint>
#include <deque>
#include <memory>
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

// Maximum number of bytes read from a socket per event.
inline constexpr std::size_t kMaxReadBytes = 32U << 10U;

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

  // Does the same without a copy: the bytes are shared until they are sent.
  void Write(std::shared_ptr<const std::string> bytes);

  // Number of bytes that the kernel has not accepted yet.
  std::size_t Pending() const { return m_pending; }

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

  // Limits the bytes that are read at once, and thereby those of one OnBytes.
  void SetReadLimit(std::size_t bytes) { m_read_limit = bytes; }

  // Whether the peer has sent bytes or closed since the last event.
  bool HasUnreadInput() const;

 private:
  // Part of the output, either text of its own or shared.
  struct Segment {
    std::string m_text;
    std::shared_ptr<const std::string> m_shared;

    std::string_view View() const { return m_shared ? *m_shared : m_text; }
  };

  void Send();
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
  std::deque<Segment> m_output;
  std::size_t m_written = 0;  // Bytes of the first segment.
  std::size_t m_pending = 0;  // Bytes of all segments that are not written.
  std::size_t m_read_limit = kMaxReadBytes;
  std::uint32_t m_events = 0;
  bool m_reading = true;
  bool m_any_sent = false;
  bool m_shutdown_pending = false;
  bool m_write_failed = false;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CHANNEL_H_
