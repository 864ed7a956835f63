#ifndef COMFREYPADDLE_SERVE_H_
#define COMFREYPADDLE_SERVE_H_

#include "settings.pb.h"

namespace comfreypaddle {

// Runs an entry instance until its graceful shutdown completes. Returns the
// exit code of the process.
int Serve(const schema::Settings& settings);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_SERVE_H_
