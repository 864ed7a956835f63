#ifndef COMFREYPADDLE_HASHMIX_H_
#define COMFREYPADDLE_HASHMIX_H_

#include <cstdint>

namespace comfreypaddle {

// Combines two hashes, for rendezvous hashing (MurmurHash3 finalizer).
inline std::uint64_t MixHashes(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a ^ b;
  x ^= x >> 33U;
  x *= 0xff51afd7ed558ccdULL;
  x ^= x >> 33U;
  x *= 0xc4ceb9fe1a85ec53ULL;
  return x ^ x >> 33U;
}

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_HASHMIX_H_
