#ifndef GALENARELAY_COMMON_PROGRAM_H
#define GALENARELAY_COMMON_PROGRAM_H

#include "galenarelay/common/settings.h"

#include <functional>
#include <string>
#include <vector>

namespace galenarelay::common {

/// What every daemon's command line shares.
struct ProgramInfo {
  std::string Name;
  std::string Brief;
  std::vector<SettingRule> Rules;
};

/// Handles --help, --version, --config FILE and --check-config, then runs the daemon.
/// Returns the exit code, a ResultCode.
/// Example: `int main(int C, char **V) { return runProgram(Info, C, V, run); }`
int runProgram(const ProgramInfo &Info, int ArgumentCount, char **Arguments,
               const std::function<Result<int>(const Settings &)> &Run);

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_PROGRAM_H
