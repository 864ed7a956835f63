#include "texttable.h"

#include <google/protobuf/descriptor.h>

#include <algorithm>
#include <sstream>

#include "apiclient.h"

namespace comfreypaddle {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

// Returns the number of code points; UTF-8 continuation bytes are not counted.
std::size_t Width(const std::string& text) {
  return static_cast<std::size_t>(std::count_if(
      text.begin(), text.end(),
      [](char c) { return (static_cast<unsigned char>(c) & 0xC0U) != 0x80U; }));
}

// Formats a field. Resources have fields of these types only.
std::string FormatCell(const Message& message, const FieldDescriptor& field) {
  const google::protobuf::Reflection& reflection = *message.GetReflection();
  std::ostringstream text;
  if (field.is_repeated()) {
    for (int i = 0; i < reflection.FieldSize(message, &field); ++i) {
      text << (i > 0 ? "," : "")
           << reflection.GetRepeatedString(message, &field, i);
    }
  } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
    text << reflection.GetString(message, &field);
  } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32) {
    text << reflection.GetUInt32(message, &field);
  } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE) {
    text << reflection.GetDouble(message, &field);
  } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_BOOL) {
    text << (reflection.GetBool(message, &field) ? "yes" : "no");
  }
  return text.str().empty() ? "-" : text.str();
}

std::vector<std::string> HeaderRow(const Descriptor& descriptor) {
  std::vector<std::string> heading;
  for (int i = 0; i < descriptor.field_count(); ++i) {
    heading.push_back(descriptor.field(i)->name());
  }
  heading.emplace_back("version");
  return heading;
}

}  // namespace

void WriteTable(const TextTable& table, std::ostream& out) {
  std::vector<std::size_t> widths;
  for (const auto& row : table) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], Width(row[i]));
    }
  }
  for (const auto& row : table) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      out << row[i];
      if (i + 1 == row.size()) continue;
      out << std::string(widths[i] - Width(row[i]) + 2, ' ');
    }
    out << "\n";
  }
}

TextTable ResourceTable(const std::vector<const schema::Resource*>& resources) {
  TextTable table;
  for (const schema::Resource* resource : resources) {
    const Message* body = BodyOf(*resource);
    if (body == nullptr) continue;
    const Descriptor& descriptor = *body->GetDescriptor();
    if (table.empty()) table.push_back(HeaderRow(descriptor));
    std::vector<std::string> row;
    for (int i = 0; i < descriptor.field_count(); ++i) {
      row.push_back(FormatCell(*body, *descriptor.field(i)));
    }
    row.push_back(std::to_string(resource->resource_version()));
    table.push_back(std::move(row));
  }
  return table;
}

}  // namespace comfreypaddle
