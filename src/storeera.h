#ifndef COMFREYPADDLE_STOREERA_H_
#define COMFREYPADDLE_STOREERA_H_

#include <string_view>

#include "controlstate.h"

namespace comfreypaddle {

// Era of the platform's store. A store that comes back from a copy of itself
// has lost its newest records and gives their offsets out again. Its era, which
// its answers name, rises by one then.

// Source of an era that the store itself has named. Other sources are the names
// of instances.
inline constexpr std::string_view kStoreEraSource = "store";

// Era that an answer belongs to: the one that it names, or the known one.
std::uint64_t EraOf(const ControlState& state, const StoreAnswer& answer);

// Records the era that an answer of the store, or another instance, names.
// Returns false if it is lower than the known one: the answer was given before
// the store was replaced.
bool ObserveEra(ControlState& state, std::uint64_t era,
                std::string_view source);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_STOREERA_H_
