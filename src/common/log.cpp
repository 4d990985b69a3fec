#include "galenarelay/common/log.h"

#include <easylogging++.h>

#include <array>
#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace galenarelay::common {

namespace {

struct LogState {
  std::string Process = "galenarelay";
  LogLevel Least = LogLevel::Info;
  std::once_flag Configured;
};

LogState &state() {
  static LogState State;
  return State;
}

void configureBackend() {
  el::Configurations Plain;
  Plain.setToDefault();
  Plain.setGlobally(el::ConfigurationType::Format, "%msg");
  Plain.setGlobally(el::ConfigurationType::ToFile, "false");
  Plain.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(Plain);
}

constexpr std::array<const char *, 4> LevelNames{"debug", "info", "warning", "error"};

} // namespace

void configureLog(std::string Process, LogLevel Least) {
  state().Process = std::move(Process);
  state().Least = Least;
}

void log(LogLevel Level, std::string_view Event, const nlohmann::json &Fields) {
  if (Level < state().Least)
    return;
  std::call_once(state().Configured, configureBackend);
  nlohmann::json Line = Fields;
  Line["time_ms"] = wallMilliseconds();
  Line["level"] = LevelNames[static_cast<std::size_t>(Level)];
  Line["process"] = state().Process;
  Line["event"] = Event;
  // Bytes from the network may not be UTF-8; they are replaced, not thrown on.
  LOG(INFO) << Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool LogRateLimit::allow(TimePoint Now) noexcept {
  if (Now - WindowStart >= std::chrono::seconds(1)) {
    WindowStart = Now;
    Used = 0;
  }
  if (Used >= Limit)
    return false;
  ++Used;
  return true;
}

} // namespace galenarelay::common
