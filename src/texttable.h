#ifndef COMFREYPADDLE_TEXTTABLE_H_
#define COMFREYPADDLE_TEXTTABLE_H_

#include <ostream>
#include <string>
#include <vector>

#include "resources.pb.h"

namespace comfreypaddle {

// Rows of cells; the first row is the heading.
using TextTable = std::vector<std::vector<std::string>>;

// Writes the rows with columns of equal width, counted in code points.
void WriteTable(const TextTable& table, std::ostream& out);

// Returns a table with the version and all fields of resources of one kind.
TextTable ResourceTable(const std::vector<const schema::Resource*>& resources);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_TEXTTABLE_H_
