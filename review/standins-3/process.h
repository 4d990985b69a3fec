#ifndef GALENARELAY_REVIEW_STANDINS_3_PROCESS_H
#define GALENARELAY_REVIEW_STANDINS_3_PROCESS_H

#include <string>
#include <sys/types.h>

namespace galenarelay::review {

/// One of the project's programs as a process of its own. It ends with this process.
class Process {
public:
  Process(std::string Program, std::string Settings, std::string Log)
      : Program(std::move(Program)), Settings(std::move(Settings)), Log(std::move(Log)) {}
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void start();
  void signal(int Number);
  /// Whether it runs. Collects its exit status if it has ended.
  [[nodiscard]] bool running();
  /// Exit status as of waitpid; valid once it has ended.
  [[nodiscard]] int status() const noexcept { return Status; }

private:
  std::string Program;
  std::string Settings;
  std::string Log;
  pid_t Id = 0;
  int Status = 0;
};

} // namespace galenarelay::review

#endif // GALENARELAY_REVIEW_STANDINS_3_PROCESS_H
