#include "sockets.h"

#include <arpa/inet.h>
#include <glog/logging.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace comfreypaddle {

namespace {

// Length of the accept queue.
constexpr int kListenBacklog = 1024;

// Maximum number of events per epoll_wait call.
constexpr std::size_t kMaxEvents = 64;

// TCP_USER_TIMEOUT: sent data that stays unacknowledged for this time closes
// the connection. A network partition causes no reset, so nothing else would.
constexpr unsigned int kUserTimeoutMs = 4000;

bool ParseAddress(const std::string& ip, std::uint16_t port,
                  sockaddr_in* address) {
  *address = {};
  address->sin_family = AF_INET;
  address->sin_port = htons(port);
  if (inet_pton(AF_INET, ip.c_str(), &address->sin_addr) == 1) return true;
  errno = EINVAL;
  return false;
}

// Closes the descriptor, preserves errno and returns -1.
int CloseOnError(int descriptor) {
  const int error = errno;
  close(descriptor);
  errno = error;
  return -1;
}

}  // namespace

SocketSet::SocketSet(EventLoop& loop)
    : m_loop(loop), m_epoll(epoll_create1(EPOLL_CLOEXEC)) {
  PCHECK(m_epoll >= 0) << "cannot create an epoll descriptor";
  m_loop.Watch(m_epoll, [this] { Dispatch(); });
}

SocketSet::~SocketSet() {
  m_loop.Unwatch(m_epoll);
  close(m_epoll);
}

std::uint64_t SocketSet::Add(int descriptor, std::uint32_t events,
                             OnEvents on_events) {
  const std::uint64_t watch_id = m_next_watch_id++;
  epoll_event event{};
  event.events = events;
  event.data.u64 = watch_id;
  PCHECK(epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event) == 0)
      << "cannot add a socket to epoll: descriptor " << descriptor;
  m_entries[watch_id] = {descriptor,
                         std::make_shared<OnEvents>(std::move(on_events))};
  return watch_id;
}

void SocketSet::SetEvents(std::uint64_t watch_id, std::uint32_t events) {
  const auto found = m_entries.find(watch_id);
  if (found == m_entries.end()) return;
  epoll_event event{};
  event.events = events;
  event.data.u64 = watch_id;
  PCHECK(epoll_ctl(m_epoll, EPOLL_CTL_MOD, found->second.m_descriptor,
                   &event) == 0)
      << "cannot modify the epoll events of a socket";
}

void SocketSet::Remove(std::uint64_t watch_id) {
  const auto found = m_entries.find(watch_id);
  if (found == m_entries.end()) return;
  epoll_ctl(m_epoll, EPOLL_CTL_DEL, found->second.m_descriptor, nullptr);
  m_entries.erase(found);
}

void SocketSet::Dispatch() {
  std::array<epoll_event, kMaxEvents> events;
  const int count =
      epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), 0);
  for (int i = 0; i < count; ++i) {
    const auto found = m_entries.find(events[i].data.u64);
    if (found == m_entries.end()) continue;
    // Keeps the callback alive, as it may remove its own entry.
    const std::shared_ptr<OnEvents> callback = found->second.m_on_events;
    (*callback)(events[i].events);
  }
}

std::size_t DescriptorLimit() {
  rlimit limit{};
  PCHECK(getrlimit(RLIMIT_NOFILE, &limit) == 0)
      << "cannot read the descriptor limit";
  return limit.rlim_cur;
}

int ListenTcp(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  if (!ParseAddress(ip, port, &address)) return -1;
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return -1;
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (bind(descriptor, generic, sizeof(address)) != 0 ||
      listen(descriptor, kListenBacklog) != 0) {
    return CloseOnError(descriptor);
  }
  return descriptor;
}

int ConnectTcp(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  if (!ParseAddress(ip, port, &address)) return -1;
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return -1;
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs,
             sizeof(kUserTimeoutMs));
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (connect(descriptor, generic, sizeof(address)) != 0 &&
      errno != EINPROGRESS) {
    return CloseOnError(descriptor);
  }
  return descriptor;
}

bool IsSocketDelivered(int descriptor) {
  int error = 0;
  socklen_t size = sizeof(error);
  int unacknowledged = 0;
  if (getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0) {
    return false;
  }
  // A kernel that cannot tell rules nothing out.
  return ioctl(descriptor, SIOCOUTQ, &unacknowledged) != 0 ||
         unacknowledged == 0;
}

}  // namespace comfreypaddle
