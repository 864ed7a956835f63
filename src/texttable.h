#ifndef COMFREYPADDLE_TEXTTABLE_H_
#define COMFREYPADDLE_TEXTTABLE_H_

#include <ostream>
#include <string>
#include <vector>

#include "resources.pb.h"

namespace comfreypaddle {

// Rows of cells; the first row is the header.
using TextTable = std::vector<std::vector<std::string>>;

// Writes the rows with aligned columns. Widths are counted in code points.
void WriteTable(const TextTable& table, std::ostream& out);

// Returns a table of resources of one kind, with all fields and the version.
TextTable ResourceTable(const std::vector<const schema::Resource*>& resources);

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_TEXTTABLE_H_
