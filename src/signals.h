#ifndef COMFREYPADDLE_SIGNALS_H_
#define COMFREYPADDLE_SIGNALS_H_

#include <cstdint>

namespace comfreypaddle {

// Blocks SIGTERM, SIGINT and SIGHUP, returns a signalfd that receives them, and
// ignores SIGPIPE. Must be called before any thread is started, so that all
// threads inherit the signal mask.
int OpenSignalDescriptor();

// Returns the number of the next pending signal, or zero.
std::uint32_t TakeSignal(int descriptor);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SIGNALS_H_
