#ifndef COMFREYPADDLE_SOCKETS_H_
#define COMFREYPADDLE_SOCKETS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "loop.h"

namespace comfreypaddle {

// Sockets of one task, registered with an epoll descriptor that its event loop
// watches, so that FD_SETSIZE does not limit the number of connections.
class SocketSet {
 public:
  // Called with the epoll events of the socket.
  using OnEvents = std::function<void(std::uint32_t events)>;

  explicit SocketSet(EventLoop& loop);
  ~SocketSet();
  SocketSet(const SocketSet&) = delete;
  SocketSet& operator=(const SocketSet&) = delete;

  EventLoop& Loop() { return m_loop; }

  // Calls back for these epoll events until Remove. The caller keeps ownership
  // of the descriptor. Returns a watch id for SetEvents and Remove.
  std::uint64_t Add(int descriptor, std::uint32_t events, OnEvents on_events);

  void SetEvents(std::uint64_t watch_id, std::uint32_t events);

  // Stops the callbacks, including those for events already returned by epoll.
  void Remove(std::uint64_t watch_id);

 private:
  struct Entry {
    int m_descriptor = -1;
    std::shared_ptr<OnEvents> m_on_events;
  };

  void Dispatch();

  EventLoop& m_loop;
  int m_epoll = -1;
  std::uint64_t m_next_watch_id = 1;
  std::unordered_map<std::uint64_t, Entry> m_entries;
};

// Returns how many descriptors this process may open.
std::size_t DescriptorLimit();

// Opens a non-blocking listening TCP socket. Returns -1 and sets errno on
// failure.
int ListenTcp(const std::string& ip, std::uint16_t port);

// Starts a non-blocking TCP connect. Returns -1 and sets errno on failure.
int ConnectTcp(const std::string& ip, std::uint16_t port);

// Whether the peer has acknowledged all bytes that a TCP socket has accepted,
// as far as the kernel tells, and the connection has not failed. Clears a
// pending error of the socket.
bool IsSocketDelivered(int descriptor);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SOCKETS_H_
