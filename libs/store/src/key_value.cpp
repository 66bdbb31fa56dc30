#include "gaugevalve/store/key_value.h"

namespace gaugevalve::store {

std::string PrefixEnd(std::string prefix) {
  constexpr char kLastByte = '\xff';
  while (!prefix.empty() && prefix.back() == kLastByte) {
    prefix.pop_back();
  }
  if (prefix.empty()) {
    return std::string(1, '\0');  // the API's mark for "to the end of the key space"
  }
  prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
  return prefix;
}

}  // namespace gaugevalve::store
