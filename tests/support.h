#ifndef COMFREYPADDLE_TESTS_SUPPORT_H_
#define COMFREYPADDLE_TESTS_SUPPORT_H_

#include <functional>

#include "loop.h"

namespace comfreypaddle::testing {

// Runs the loop until the condition holds or the time limit is reached. Returns
// whether the condition holds.
bool RunUntil(EventLoop& loop, Duration limit,
              const std::function<bool()>& condition);

// Returns a TCP port of the loopback address that is not in use. No other test
// program gets it until this one ends, and no outgoing connection takes it.
std::uint16_t FreePort();

}  // namespace comfreypaddle::testing

#endif  // COMFREYPADDLE_TESTS_SUPPORT_H_
