#ifndef COMFREYPADDLE_FREESTRING_H_
#define COMFREYPADDLE_FREESTRING_H_

#include <string>

namespace comfreypaddle {

// Empties a string and frees its memory. Assigning an empty string, or clearing
// it, keeps the memory.
inline void FreeString(std::string& text) { std::string().swap(text); }

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_FREESTRING_H_
