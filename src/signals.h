#ifndef COMFREYPADDLE_SIGNALS_H_
#define COMFREYPADDLE_SIGNALS_H_

#include <cstdint>

namespace comfreypaddle {

// Makes SIGTERM, SIGINT and SIGHUP readable from the descriptor that is
// returned, and ignores SIGPIPE. Call it before any thread starts, so that all
// threads inherit the mask.
int OpenSignalDescriptor();

// Returns the next signal that has arrived, or zero.
std::uint32_t TakeSignal(int descriptor);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SIGNALS_H_
