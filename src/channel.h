#ifndef COMFREYPADDLE_CHANNEL_H_
#define COMFREYPADDLE_CHANNEL_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "sockets.h"

namespace comfreypaddle {

// How the other end of a channel stopped sending.
enum class ChannelEnd {
  kClosed,  // In order, after all its bytes.
  kReset,   // By a reset or a network error; bytes may be missing.
};

class Channel;

// Gets the events of a channel. Each callback may destroy the channel.
class ChannelOwner {
 public:
  virtual ~ChannelOwner() = default;

  virtual void OnConnected(Channel& channel) = 0;
  virtual void OnBytes(Channel& channel, std::string_view bytes) = 0;
  virtual void OnEnd(Channel& channel, ChannelEnd end) = 0;
  // All bytes that were written have been handed to the kernel.
  virtual void OnDrained(Channel& channel) = 0;
};

// Non-blocking TCP connection with an output buffer. It owns its descriptor.
class Channel {
 public:
  enum class State { kConnecting, kOpen };

  Channel(SocketSet& sockets, int descriptor, State state, ChannelOwner& owner);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  // Sends or buffers the bytes. Failures show up later as OnEnd.
  void Write(std::string_view bytes);

  // Bytes that the kernel has not taken yet.
  std::size_t Pending() const { return m_output.size() - m_written; }

  // Whether the kernel has taken any byte since the channel was made.
  bool AnySent() const { return m_any_sent; }

  // Ends the output once all of it is sent; input is still read.
  void FinishWriting();

  // Makes the close that follows a reset, so that the other end cannot take
  // what it has got for complete.
  void ResetOnClose();

  // Stops and restarts reading, to hold back a sender.
  void SetReading(bool reading);

  // Whether the other end has sent bytes or closed since the last event.
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
  std::uint64_t m_ticket = 0;
  State m_state;
  std::string m_output;
  std::size_t m_written = 0;
  std::uint32_t m_events = 0;
  bool m_reading = true;
  bool m_any_sent = false;
  bool m_finish = false;
  bool m_failed = false;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_CHANNEL_H_
