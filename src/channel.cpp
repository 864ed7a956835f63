#include "channel.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace comfreypaddle {

namespace {

// Size from which a segment of the output is not extended. A segment is freed
// when all of it has been sent.
constexpr std::size_t kSegmentBytes = 256U << 10U;

bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

}  // namespace

Channel::Channel(SocketSet& sockets, int descriptor, State state,
                 ChannelOwner& owner)
    : m_sockets(sockets),
      m_owner(owner),
      m_descriptor(descriptor),
      m_state(state) {
  m_events = state == State::kConnecting ? EPOLLOUT : EPOLLIN;
  m_watch_id = m_sockets.Add(
      descriptor, m_events, [this](std::uint32_t events) { OnEvents(events); });
}

Channel::~Channel() {
  m_sockets.Remove(m_watch_id);
  close(m_descriptor);
}

void Channel::Write(std::string_view bytes) {
  if (bytes.empty()) return;
  if (m_output.empty() || m_output.back().m_shared ||
      m_output.back().m_text.size() >= kSegmentBytes) {
    m_output.emplace_back();
    // A peer that reads slowly leaves many segments. One that grows would leave
    // fragments behind that the allocator keeps.
    if (m_pending >= kSegmentBytes) {
      m_output.back().m_text.reserve(kSegmentBytes + bytes.size());
    }
  }
  m_output.back().m_text.append(bytes);
  m_pending += bytes.size();
  Send();
}

void Channel::Write(std::shared_ptr<const std::string> bytes) {
  if (bytes->empty()) return;
  m_pending += bytes->size();
  m_output.push_back({"", std::move(bytes)});
  Send();
}

void Channel::Send() {
  if (m_state == State::kOpen) Flush();
  UpdateEvents();
}

bool Channel::IsDelivered() const {
  return Pending() == 0 && !m_write_failed && IsSocketDelivered(m_descriptor);
}

void Channel::FinishWriting() {
  m_shutdown_pending = true;
  if (Pending() == 0) shutdown(m_descriptor, SHUT_WR);
}

void Channel::ResetOnClose() {
  const linger reset{1, 0};
  setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

void Channel::SetReading(bool reading) {
  m_reading = reading;
  UpdateEvents();
}

bool Channel::HasUnreadInput() const {
  char byte = 0;
  const ssize_t count = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count >= 0 || !WouldBlock();
}

void Channel::OnEvents(std::uint32_t events) {
  if (m_state == State::kConnecting) {
    HandleConnected();
    return;
  }
  if ((events & EPOLLOUT) != 0) {
    const bool drained = Flush();
    UpdateEvents();
    if (drained && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) == 0) {
      m_owner.OnDrained(*this);
      return;
    }
  }
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) HandleInput();
}

void Channel::HandleConnected() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    m_owner.OnEnd(*this, error == ECONNREFUSED ? ChannelEnd::kRefused
                                               : ChannelEnd::kReset);
    return;
  }
  m_state = State::kOpen;
  Flush();
  UpdateEvents();
  m_owner.OnConnected(*this);
}

void Channel::HandleInput() {
  std::array<char, kMaxReadBytes> buffer;
  const ssize_t count = recv(m_descriptor, buffer.data(),
                             std::min(buffer.size(), m_read_limit), 0);
  if (count > 0) {
    m_owner.OnBytes(*this, {buffer.data(), static_cast<std::size_t>(count)});
  } else if (count == 0) {
    m_owner.OnEnd(*this,
                  m_write_failed ? ChannelEnd::kReset : ChannelEnd::kClosed);
  } else if (!WouldBlock() && errno != EINTR) {
    m_owner.OnEnd(*this, ChannelEnd::kReset);
  }
}

// Writes buffered output to the socket. Returns whether this emptied the
// buffer.
bool Channel::Flush() {
  if (Pending() == 0 || m_write_failed) return false;
  while (Pending() > 0) {
    const std::string_view bytes = m_output.front().View().substr(m_written);
    const ssize_t count =
        send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0) {
      // The error event that follows reports the failure to the owner.
      m_write_failed = !WouldBlock() && errno != EINTR;
      return false;
    }
    m_any_sent = true;
    m_written += static_cast<std::size_t>(count);
    m_pending -= static_cast<std::size_t>(count);
    if (static_cast<std::size_t>(count) < bytes.size()) continue;
    m_output.pop_front();
    m_written = 0;
  }
  if (m_shutdown_pending) shutdown(m_descriptor, SHUT_WR);
  return true;
}

void Channel::UpdateEvents() {
  std::uint32_t events = 0;
  if (m_state == State::kConnecting) {
    events = EPOLLOUT;
  } else {
    if (m_reading || m_write_failed) events |= EPOLLIN;
    if (Pending() > 0 && !m_write_failed) events |= EPOLLOUT;
  }
  if (events == m_events) return;
  m_events = events;
  m_sockets.SetEvents(m_watch_id, events);
}

}  // namespace comfreypaddle
