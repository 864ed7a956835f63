#ifndef COMFREYPADDLE_ENTRY_H_
#define COMFREYPADDLE_ENTRY_H_

#include <string>

#include "relaysettings.pb.h"

namespace comfreypaddle {

// Runs an entry instance on the users' platform until SIGTERM. The file is
// checked again on SIGHUP. Returns the exit code.
int RunEntry(const std::string& file, const schema::RelaySettings& settings);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_ENTRY_H_
