#include "command.h"
#include "galenarelay/common/settings.h"

// Values such as selectors contain commas, which must not split them.
#define CXXOPTS_VECTOR_DELIMITER '\0'
#include <cxxopts.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace galenarelay::ctl {

using common::capture;
using common::Error;
using common::fail;
using common::Result;
using common::ResultCode;
using nlohmann::json;

namespace {

const std::vector<std::string> GeneralOptions{"config", "store",  "store-timeout-ms",
                                              "node",   "author", "output"};

std::vector<Command> allCommands() {
  std::vector<Command> All = editCommands();
  for (const auto &Part : {historyCommands(), nodeCommands()})
    All.insert(All.end(), Part.begin(), Part.end());
  return All;
}

cxxopts::Options describedOptions() {
  const auto Text = cxxopts::value<std::string>();
  cxxopts::Options Options("galenactl", "Edits and inspects a galenarelay configuration.");
  Options.positional_help("COMMAND [ARGUMENTS]");
  auto Add = Options.add_options();
  Add("h,help", "Print help, after a command for that command");
  Add("version", "Print the version");
  Add("config", "Settings file (INI)", Text);
  Add("store", "Address of the store ([store] address)", Text);
  Add("store-timeout-ms", "Wait for each answer of the store ([store] timeout_ms)", Text);
  Add("node", "Admin address of a node ([node] admin)", Text);
  Add("output", "table or json ([output] format)", Text);
  Add("author", "Who makes the edit ([operator] author)", Text);
  Add("edit-id", "ID of the edit; repeating a command with it is safe", Text);
  Add("base", "Revision that the edit is based on; later edits of the same part conflict", Text);
  Add("address", "Address of a service", Text);
  Add("selector", "Selector of a service", Text);
  Add("deadline-ms", "Deadline for requests of a service that state none", Text);
  Add("limit", "Number of edits to list", Text);
  Add("timeout-ms", "How long to wait", Text);
  Add("words", "Command and arguments", cxxopts::value<std::vector<std::string>>());
  Options.parse_positional({"words"});
  return Options;
}

std::vector<common::SettingRule> settingRules() {
  using common::SettingKind;
  constexpr double MostTimeoutMs = 60'000;
  return {{"store", "address", SettingKind::Address, "", 0, 0, "address of the store"},
          {"store", "timeout_ms", SettingKind::Integer, "2000", 1, MostTimeoutMs,
           "wait for each answer of the store"},
          {"node", "admin", SettingKind::Address, "", 0, 0, "admin address of a node"},
          {"operator", "author", SettingKind::Text, "", 0, 0, "author of edits"},
          {"output", "format", SettingKind::Text, "table", 0, 0, "table or json"}};
}

using OptionValues = std::map<std::string, std::string>;

Result<void> addSettings(OptionValues &Values) {
  const auto Path = Values.find("config");
  if (Path == Values.end())
    return {};
  BOOST_LEAF_AUTO(Loaded, common::loadSettings(Path->second, settingRules()));
  const auto AddUnlessGiven = [&](const char *Option, const char *Section, const char *Key) {
    const std::string Text = Loaded.text(Section, Key);
    if (!Text.empty())
      Values.emplace(Option, Text);
  };
  AddUnlessGiven("store", "store", "address");
  AddUnlessGiven("store-timeout-ms", "store", "timeout_ms");
  AddUnlessGiven("node", "node", "admin");
  AddUnlessGiven("author", "operator", "author");
  AddUnlessGiven("output", "output", "format");
  return {};
}

/// Finds the command that the first one or two words name and removes them.
Result<Command> takeCommand(std::vector<std::string> &Words) {
  for (const Command &Each : allCommands()) {
    const std::size_t Count = Each.Name.find(' ') == std::string::npos ? 1 : 2;
    if (Words.size() < Count)
      continue;
    const std::string Name = Count == 1 ? Words[0] : Words[0] + " " + Words[1];
    if (Name != Each.Name)
      continue;
    Words.erase(Words.begin(), Words.begin() + static_cast<std::ptrdiff_t>(Count));
    return Each;
  }
  return fail(ResultCode::Usage,
              Words.empty() ? "no command is given; see --help" : "no such command: " + Words[0]);
}

Result<void> checkArguments(const Command &Chosen, const std::vector<std::string> &Words,
                            const OptionValues &Values) {
  if (Words.size() < Chosen.LeastWords || Words.size() > Chosen.MostWords)
    return fail(ResultCode::Usage, "usage: galenactl " + Chosen.Name + " " + Chosen.Arguments);
  const auto Contains = [](const std::vector<std::string> &List, const std::string &Name) {
    return std::find(List.begin(), List.end(), Name) != List.end();
  };
  for (const auto &Value : Values)
    if (!Contains(GeneralOptions, Value.first) && !Contains(Chosen.Options, Value.first))
      return fail(ResultCode::Usage, Chosen.Name + " takes no --" + Value.first);
  return {};
}

void printTable(const std::vector<std::vector<std::string>> &Rows) {
  std::vector<std::size_t> Widths;
  // Blocks of rows are separated by empty rows; each block has its own widths.
  for (auto Block = Rows.begin(); Block != Rows.end();) {
    const auto End = std::find_if(Block, Rows.end(), [](const auto &Row) { return Row.empty(); });
    Widths.clear();
    for (auto Row = Block; Row != End; ++Row) {
      Widths.resize(std::max(Widths.size(), Row->size()));
      for (std::size_t I = 0; I < Row->size(); ++I)
        Widths[I] = std::max(Widths[I], (*Row)[I].size());
    }
    for (auto Row = Block; Row != End; ++Row) {
      for (std::size_t I = 0; I + 1 < Row->size(); ++I)
        std::cout << std::left << std::setw(static_cast<int>(Widths[I]) + 2) << (*Row)[I];
      std::cout << Row->back() << "\n";
    }
    Block = End == Rows.end() ? End : End + 1;
    if (Block != Rows.end())
      std::cout << "\n";
  }
}

int print(const Report &Printed, bool Json) {
  const ResultCode Code = Printed.Failure.Code;
  if (Json)
    std::cout << Printed.Document.dump(2) << "\n";
  else
    printTable(Printed.Rows);
  if (Code != ResultCode::Ok)
    std::cerr << "error " << static_cast<int>(Code) << " (" << common::name(Code)
              << "): " << Printed.Failure.Detail << "\n";
  return static_cast<int>(Code);
}

Report failureReport(const Error &Failure) {
  Report Printed;
  Printed.Failure = Failure;
  Printed.Document = {{"result", common::name(Failure.Code)},
                      {"code", static_cast<int>(Failure.Code)},
                      {"detail", Failure.Detail}};
  return Printed;
}

int printHelp(const cxxopts::Options &Options, std::vector<std::string> Words) {
  const auto Chosen = capture([&] { return takeCommand(Words); });
  if (Chosen) {
    std::cout << Chosen->Brief << ".\n\nUsage: galenactl " << Chosen->Name << " "
              << Chosen->Arguments << "\n\nOptions:";
    for (const auto *List : {&Chosen->Options, &GeneralOptions})
      for (const std::string &Name : *List)
        std::cout << " --" << Name;
    std::cout << "\n\nThe exit code is the result code; see docs/result-codes.md.\n";
    return 0;
  }
  std::cout << Options.help() << "\nCommands:\n";
  for (const Command &Each : allCommands())
    std::cout << "  " << Each.Name << " " << Each.Arguments << "\n      " << Each.Brief << "\n";
  return 0;
}

int run(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options = describedOptions();
  const auto Parsed = Options.parse(ArgumentCount, Arguments);
  std::vector<std::string> Words;
  if (Parsed.count("words") != 0)
    Words = Parsed["words"].as<std::vector<std::string>>();
  if (Parsed.count("help") != 0)
    return printHelp(Options, Words);
  if (Parsed.count("version") != 0) {
    std::cout << "galenactl " << GALENARELAY_VERSION << "\n";
    return 0;
  }
  OptionValues Values;
  for (const auto &Each : Parsed.arguments())
    if (Each.key() != "words")
      Values[Each.key()] = Each.value();
  const auto Ended = capture([&]() -> Result<Report> {
    BOOST_LEAF_AUTO(Chosen, takeCommand(Words));
    BOOST_LEAF_CHECK(checkArguments(Chosen, Words, Values));
    BOOST_LEAF_CHECK(addSettings(Values));
    const std::string Format = Values.contains("output") ? Values.at("output") : "table";
    if (Format != "table" && Format != "json")
      return fail(ResultCode::Usage, "--output is table or json");
    return Chosen.Run(Invocation(Words, Values));
  });
  const bool Json = Values.contains("output") && Values.at("output") == "json";
  return print(Ended ? *Ended : failureReport(Ended.Failure), Json);
}

} // namespace

} // namespace galenarelay::ctl

int main(int ArgumentCount, char **Arguments) {
  using namespace galenarelay;
  const auto Report = [](common::ResultCode Code, const char *Detail) {
    std::cerr << "error " << static_cast<int>(Code) << " (" << common::name(Code) << "): " << Detail
              << "\n";
    return static_cast<int>(Code);
  };
  try {
    return ctl::run(ArgumentCount, Arguments);
  } catch (const cxxopts::exceptions::exception &Problem) {
    return Report(common::ResultCode::Usage, Problem.what());
  } catch (const std::exception &Problem) {
    return Report(common::ResultCode::Internal, Problem.what());
  }
}
