#ifndef COMFREYPADDLE_RELEASEMEMORY_H_
#define COMFREYPADDLE_RELEASEMEMORY_H_

#include <string>

namespace comfreypaddle {

// Empties a string and frees its memory. Assigning an empty string, or clearing
// it, keeps the memory.
inline void ReleaseMemory(std::string& text) { std::string().swap(text); }

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_RELEASEMEMORY_H_
