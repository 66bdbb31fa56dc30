// A number that names one kind of thing and can't be mixed up with another kind's.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>

namespace gaugevalve::base {

// Wraps `Representation` so that identifiers of different kinds are different types. `Tag` is an
// empty struct that is never defined. Copyable, totally ordered, hashable, printable.
template <class Tag, class Representation>
class StrongId {
 public:
  using RepresentationType = Representation;

  constexpr StrongId() = default;
  constexpr explicit StrongId(Representation value) : value_(value) {}

  // Returns the wrapped number.
  constexpr Representation value() const { return value_; }

  friend constexpr auto operator<=>(const StrongId&, const StrongId&) = default;

  friend std::ostream& operator<<(std::ostream& stream, const StrongId& id) {
    return stream << +id.value_;
  }

  template <class HashState>
  friend HashState AbslHashValue(HashState state, const StrongId& id) {
    return HashState::combine(std::move(state), id.value_);
  }

 private:
  Representation value_{};
};

}  // namespace gaugevalve::base

template <class Tag, class Representation>
struct std::hash<gaugevalve::base::StrongId<Tag, Representation>> {
  std::size_t operator()(const gaugevalve::base::StrongId<Tag, Representation>& id) const noexcept {
    return std::hash<Representation>{}(id.value());
  }
};
