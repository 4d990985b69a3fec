#include "galenarelay/common/program.h"

#include "galenarelay/common/log.h"

#include <cxxopts.hpp>

#include <exception>
#include <iostream>

namespace galenarelay::common {

namespace {

int exitCode(ResultCode Code) noexcept { return static_cast<int>(Code); }

int report(const Error &Failure) {
  std::cerr << "error " << exitCode(Failure.Code) << " (" << name(Failure.Code)
            << "): " << Failure.Detail << "\n";
  return exitCode(Failure.Code);
}

void printSettings(const ProgramInfo &Info) {
  std::cout << "\nSettings:\n";
  for (const SettingRule &Rule : Info.Rules)
    std::cout << "  [" << Rule.Section << "] " << Rule.Key
              << (Rule.Default ? " = " + *Rule.Default : std::string(" (required)")) << "  "
              << Rule.Brief << "\n";
}

int runChecked(const ProgramInfo &Info, const std::string &Path, bool CheckOnly,
               const std::function<Result<int>(const Settings &)> &Run) {
  const auto Loaded = capture([&] { return loadSettings(Path, Info.Rules); });
  if (!Loaded)
    return report(Loaded.Failure);
  if (CheckOnly) {
    std::cout << Path << ": ok\n";
    return exitCode(ResultCode::Ok);
  }
  const auto Ended = capture([&] { return Run(*Loaded); });
  return Ended ? *Ended : report(Ended.Failure);
}

} // namespace

int runProgram(const ProgramInfo &Info, int ArgumentCount, char **Arguments,
               const std::function<Result<int>(const Settings &)> &Run) {
  cxxopts::Options Options(Info.Name, Info.Brief);
  Options.add_options()("h,help", "Print this help and the settings")("version",
                                                                      "Print the version")(
      "config", "Settings file (INI)",
      cxxopts::value<std::string>())("check-config", "Check the settings file and exit");
  configureLog(Info.Name);
  try {
    const auto Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help") != 0) {
      std::cout << Options.help();
      printSettings(Info);
      return exitCode(ResultCode::Ok);
    }
    if (Parsed.count("version") != 0) {
      std::cout << Info.Name << " " << GALENARELAY_VERSION << "\n";
      return exitCode(ResultCode::Ok);
    }
    if (Parsed.count("config") == 0)
      return report({ResultCode::Usage, "--config FILE is required"});
    return runChecked(Info, Parsed["config"].as<std::string>(), Parsed.count("check-config") != 0,
                      Run);
  } catch (const cxxopts::exceptions::exception &Problem) {
    return report({ResultCode::Usage, Problem.what()});
  } catch (const std::exception &Problem) {
    return report({ResultCode::Internal, Problem.what()});
  }
}

} // namespace galenarelay::common
