// Reads proto3 JSON fields and collects what is wrong with them. Private to the codec.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/base/identifiers.h"

namespace gaugevalve::store {

// A view of one JSON object. Absent fields read as zero; a field of the wrong type is a finding
// and reads as zero too. Refers to the JSON and the findings, which must outlive it.
class JsonReader {
 public:
  JsonReader(const nlohmann::json& json, std::string path, base::Findings& findings);

  bool Flag(const char* name) const;
  std::int64_t Integer(const char* name) const;
  base::Revision Revision(const char* name) const;
  std::string Text(const char* name) const;
  std::string Bytes(const char* name) const;  // base64

  // Returns the field's object; an empty one when it is absent.
  JsonReader Object(const char* name) const;

  // Returns true when the field is there.
  bool Has(const char* name) const;

  // Calls `visit(reader)` for each element of the array, in order.
  template <class Visit>
  void ForEach(const char* name, Visit visit) const {
    const nlohmann::json* array = Find(name);
    if (array == nullptr) {
      return;
    }
    if (!array->is_array()) {
      Report(name, "is not an array");
      return;
    }
    for (std::size_t index = 0; index < array->size(); ++index) {
      visit(JsonReader((*array)[index], ElementPath(name, index), *findings_));
    }
  }

  // Adds a finding about the field.
  void Report(const char* name, std::string message) const;

 private:
  const nlohmann::json* Find(const char* name) const;
  std::string ElementPath(const char* name, std::size_t index) const;
  std::string FieldPath(const char* name) const;

  const nlohmann::json* json_;
  std::string path_;
  base::Findings* findings_;
};

}  // namespace gaugevalve::store
