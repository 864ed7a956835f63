#ifndef COMFREYPADDLE_ENTRY_H_
#define COMFREYPADDLE_ENTRY_H_

#include <string>

#include "relaysettings.pb.h"

namespace comfreypaddle {

// Runs an entry instance on the users' platform until SIGTERM. SIGHUP validates
// the file again. Returns the exit code.
int RunEntry(const std::string& file, const schema::RelaySettings& settings);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ENTRY_H_
