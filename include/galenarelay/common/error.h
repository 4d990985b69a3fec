#ifndef GALENARELAY_COMMON_ERROR_H
#define GALENARELAY_COMMON_ERROR_H

#include "galenarelay/common/result_code.h"

#include <boost/leaf.hpp>

#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace galenarelay::common {

/// A result code with the detail that an operator needs.
struct Error {
  ResultCode Code = ResultCode::Internal;
  std::string Detail;

  friend bool operator==(const Error &, const Error &) = default;
};

/// A value or an error. Example: `BOOST_LEAF_AUTO(Value, parse(Text));`
template <typename T> using Result = boost::leaf::result<T>;

/// A value or the error object itself, for code outside a LEAF handler scope, such as coroutines.
template <typename T> struct Outcome {
  std::optional<T> Value;
  Error Failure{};

  explicit operator bool() const noexcept { return Value.has_value(); }
  T &operator*() { return *Value; }
  const T &operator*() const { return *Value; }
  T *operator->() { return &*Value; }
  const T *operator->() const { return &*Value; }
};

/// Returns a LEAF error that carries an Error.
[[nodiscard]] inline boost::leaf::error_id fail(ResultCode Code, std::string Detail) {
  return boost::leaf::new_error(Error{Code, std::move(Detail)});
}

namespace impl {

template <typename T> struct KeptValue;
template <typename T> struct KeptValue<Result<T>> { using Type = T; };
template <> struct KeptValue<Result<void>> { using Type = std::monostate; };

} // namespace impl

/// Runs a function that returns Result<T> and keeps its error.
/// Example: `auto Parsed = capture([&] { return parse(Text); });`
template <typename F> [[nodiscard]] auto capture(F &&Function) {
  using Returned = std::invoke_result_t<F>;
  using Kept = Outcome<typename impl::KeptValue<Returned>::Type>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Kept> {
        if constexpr (std::is_same_v<Returned, Result<void>>) {
          BOOST_LEAF_CHECK(Function());
          return Kept{std::monostate{}, {}};
        } else {
          BOOST_LEAF_AUTO(Taken, Function());
          return Kept{std::move(Taken), {}};
        }
      },
      [](const Error &Caught) {
        return Kept{std::nullopt, Caught};
      },
      [] {
        return Kept{std::nullopt, Error{ResultCode::Internal, "unidentified error"}};
      });
}

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_ERROR_H
