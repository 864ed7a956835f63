#include "support.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <string>

namespace comfreypaddle::testing {

namespace {

// Ports below the range from which the kernel takes those of outgoing
// connections, so that no connection occupies a port before its server starts.
constexpr std::uint32_t kFirstPort = 12'000;
constexpr std::uint32_t kPorts = 18'000;

// Folder with one lock file per port, shared by all test programs on the
// machine.
std::string LockFolder() {
  const std::string folder = "/tmp/comfreypaddle-test-ports";
  mkdir(folder.c_str(), 0755);
  return folder;
}

// Whether a server can listen on the port.
bool IsUnused(std::uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int result =
      bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  close(descriptor);
  return result == 0;
}

// Locks the port until this process ends. Returns false if another test program
// holds it or a server uses it.
bool ReservePort(const std::string& folder, std::uint16_t port) {
  const std::string path = folder + "/" + std::to_string(port);
  const int descriptor = open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0644);
  if (descriptor < 0) return false;
  if (flock(descriptor, LOCK_EX | LOCK_NB) == 0 && IsUnused(port)) return true;
  close(descriptor);
  return false;
}

}  // namespace

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
  const std::string folder = LockFolder();
  static std::uint32_t next = static_cast<std::uint32_t>(getpid()) * 97;
  for (std::uint32_t tried = 0; tried < kPorts; ++tried) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
    if (ReservePort(folder, port)) return port;
  }
  std::abort();
}

}  // namespace comfreypaddle::testing
