#include "connection_fields.h"

#include <algorithm>
#include <array>

namespace gaugevalve::agent {
namespace {

constexpr std::array<std::string_view, 7> kConnectionFields = {
    "connection", "keep-alive",        "proxy-connection", "te",
    "trailer",    "transfer-encoding", "upgrade"};

}  // namespace

bool IsConnectionField(std::string_view lower_case_name) {
  return std::find(kConnectionFields.begin(), kConnectionFields.end(), lower_case_name) !=
         kConnectionFields.end();
}

}  // namespace gaugevalve::agent
