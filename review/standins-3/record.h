#ifndef GALENARELAY_REVIEW_STANDINS_3_RECORD_H
#define GALENARELAY_REVIEW_STANDINS_3_RECORD_H

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>

namespace galenarelay::review {

using Clock = std::chrono::steady_clock;

/// The record of a run: what was sent, answered and run, with the time since the start.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path), Start(Clock::now()) {}

  void note(const std::string &Line) {
    char Time[32];
    const std::chrono::duration<double> Since = Clock::now() - Start;
    std::snprintf(Time, sizeof Time, "%9.3f  ", Since.count());
    File << Time << Line << std::endl;
  }
  /// Notes that a rule was broken.
  void violation(const std::string &Line) {
    ++Violations;
    note("BROKEN " + Line);
  }
  [[nodiscard]] std::size_t violations() const noexcept { return Violations; }

private:
  std::ofstream File;
  Clock::time_point Start;
  std::size_t Violations = 0;
};

} // namespace galenarelay::review

#endif // GALENARELAY_REVIEW_STANDINS_3_RECORD_H
