#include "command.h"

int main(int argc, char** argv) {
  return comfreypaddle::RunProgram(argc, argv);
}
