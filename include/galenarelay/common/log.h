#ifndef GALENARELAY_COMMON_LOG_H
#define GALENARELAY_COMMON_LOG_H

#include "galenarelay/common/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace galenarelay::common {

/// Severity of a log line.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// Sets the name written in each line and the least severity that is written.
void configureLog(std::string Process, LogLevel Least = LogLevel::Info);

/// Writes one JSON line to standard output. It never blocks: lines that a slow reader leaves no
/// room for are dropped, and their number is logged once there is room again.
/// Example: `log(LogLevel::Info, "started", {{"port", 8080}});`
void log(LogLevel Level, std::string_view Event,
         const nlohmann::json &Fields = nlohmann::json::object());

/// Lets at most Limit events a second through on average, and as many at once, so that neither bad
/// input nor load floods the log, and a burst doesn't silence it for the rest of the second.
class LogRateLimit {
public:
  explicit LogRateLimit(std::uint32_t Limit) noexcept : Limit(Limit) {}

  [[nodiscard]] bool allow(TimePoint Now) noexcept;

private:
  std::uint32_t Limit;
  double Saved = 0; ///< Events that may pass now.
  TimePoint SavedAt{};
};

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_LOG_H
