#include "galenarelay/common/log.h"

#include <easylogging++.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <mutex>
#include <utility>

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

/// Lines that standard output has not taken yet.
class LineBuffer {
public:
  ~LineBuffer() { flush(); }

  void append(const std::string &Line) {
    const std::scoped_lock Guard(Lock);
    if (Pending.size() + Line.size() + 1 > MaxPendingBytes) {
      ++Dropped;
    } else {
      if (Dropped > 0) {
        Pending += nlohmann::json{{"event", "log_lines_dropped"}, {"lines", Dropped}}.dump() + "\n";
        Dropped = 0;
      }
      Pending += Line;
      Pending += '\n';
    }
    flush();
  }

private:
  /// A reader that stops reading costs this much memory and the lines beyond it.
  static constexpr std::size_t MaxPendingBytes = 256 * 1024;
  /// A pipe that is ready takes at least this much without blocking (POSIX).
  static constexpr std::size_t WriteBytes = 4096;

  void flush() {
    std::size_t Written = 0;
    while (Written < Pending.size()) {
      pollfd Output{STDOUT_FILENO, POLLOUT, 0};
      if (::poll(&Output, 1, 0) <= 0 || (Output.revents & POLLOUT) == 0)
        break;
      const auto Taken = ::write(STDOUT_FILENO, Pending.data() + Written,
                                 std::min(WriteBytes, Pending.size() - Written));
      if (Taken <= 0)
        break;
      Written += static_cast<std::size_t>(Taken);
    }
    Pending.erase(0, Written);
  }

  std::mutex Lock;
  std::string Pending;
  std::uint64_t Dropped = 0;
};

/// Hands the lines of easylogging++ to the buffer.
class BufferedOutput : public el::LogDispatchCallback {
protected:
  void handle(const el::LogDispatchData *Data) override {
    static LineBuffer Buffer;
    Buffer.append(Data->logMessage()->message());
  }
};

void configureBackend() {
  el::Configurations Plain;
  Plain.setToDefault();
  Plain.setGlobally(el::ConfigurationType::Format, "%msg");
  Plain.setGlobally(el::ConfigurationType::ToFile, "false");
  Plain.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureAllLoggers(Plain);
  el::Helpers::installLogDispatchCallback<BufferedOutput>("buffered_output");
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
  const double Passed = std::chrono::duration<double>(Now - std::exchange(SavedAt, Now)).count();
  Saved = std::min<double>(Limit, Saved + Passed * Limit);
  if (Saved < 1)
    return false;
  Saved -= 1;
  return true;
}

} // namespace galenarelay::common
