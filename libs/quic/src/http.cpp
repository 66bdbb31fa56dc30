#include "gaugevalve/quic/http.h"

namespace gaugevalve::quic {

std::string_view FindField(const HeaderFields& fields, std::string_view name) {
  for (const HeaderField& field : fields) {
    if (field.name == name) {
      return field.value;
    }
  }
  return {};
}

}  // namespace gaugevalve::quic
