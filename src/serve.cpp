#include "serve.h"

#include <iostream>

namespace comfreypaddle {

int Serve(const schema::Settings& /*settings*/) {
  std::cerr << "serve: not built yet\n";
  return 1;
}

}  // namespace comfreypaddle
