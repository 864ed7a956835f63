#include "signals.h"

#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace comfreypaddle {

int OpenSignalDescriptor() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  struct sigaction ignore {};
  ignore.sa_handler = SIG_IGN;
  sigaction(SIGPIPE, &ignore, nullptr);
  return signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
}

std::uint32_t TakeSignal(int descriptor) {
  signalfd_siginfo info{};
  if (read(descriptor, &info, sizeof(info)) != sizeof(info)) return 0;
  return info.ssi_signo;
}

}  // namespace comfreypaddle
