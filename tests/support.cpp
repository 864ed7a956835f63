#include "support.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace comfreypaddle::testing {

bool RunUntil(EventLoop& loop, Duration limit,
              const std::function<bool()>& condition) {
  const Instant end = Now() + limit;
  loop.TakeOwnership();
  // The condition may have side effects such as starting a call, so it is not
  // evaluated again after it was true.
  while (!condition()) {
    if (Now() >= end) return false;
    loop.StartTimer(std::chrono::milliseconds(10), [&loop] { loop.Stop(); });
    loop.Run();
  }
  return true;
}

std::uint16_t FreePort() {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  (void)bind(descriptor, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  close(descriptor);
  return ntohs(address.sin_port);
}

}  // namespace comfreypaddle::testing
