#ifndef GALENARELAY_PROGRAMS_CTL_COMMAND_H
#define GALENARELAY_PROGRAMS_CTL_COMMAND_H

#include "galenarelay/common/endpoint.h"
#include "galenarelay/common/error.h"
#include "galenarelay/config/store_client.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenarelay::ctl {

using Client = config::StoreClient<config::BlockingTransport>;

/// What a command prints and ends with.
struct Report {
  nlohmann::json Document;                    ///< For --output json.
  std::vector<std::vector<std::string>> Rows; ///< For --output table, the heading first.
  common::Error Failure{common::ResultCode::Ok, {}};
};

/// Words and options of the command line, completed by the settings file.
class Invocation {
public:
  Invocation(std::vector<std::string> Words, std::map<std::string, std::string> Options)
      : Words(std::move(Words)), Options(std::move(Options)) {}

  /// Words after the command's name.
  [[nodiscard]] const std::vector<std::string> &words() const noexcept { return Words; }
  /// Value of an option; empty if it isn't given.
  [[nodiscard]] std::optional<std::string> option(const std::string &Name) const;
  /// Value of an option that must be given. Errors: Usage.
  [[nodiscard]] common::Result<std::string> required(const std::string &Name) const;
  /// Errors: Usage if the option is given and isn't a number.
  [[nodiscard]] common::Result<std::uint64_t> numberOr(const std::string &Name,
                                                       std::uint64_t Default) const;
  /// Address of the store or the node. Errors: Usage.
  [[nodiscard]] common::Result<common::Endpoint> address(const std::string &Name) const;
  /// Errors: Usage.
  [[nodiscard]] common::Result<Client> store() const;

private:
  std::vector<std::string> Words;
  std::map<std::string, std::string> Options;
};

/// One sub-command.
struct Command {
  std::string Name;      ///< One or two words.
  std::string Arguments; ///< For the usage line.
  std::string Brief;
  std::size_t LeastWords;
  std::size_t MostWords;
  std::vector<std::string> Options; ///< Options that it takes beside the general ones.
  common::Result<Report> (*Run)(const Invocation &);
};

/// Parses a decimal number. Errors: Usage, naming what it stands for.
[[nodiscard]] common::Result<std::uint64_t> parseNumber(const std::string &What,
                                                        const std::string &Text);

[[nodiscard]] std::vector<Command> editCommands();
[[nodiscard]] std::vector<Command> historyCommands();
[[nodiscard]] std::vector<Command> nodeCommands();

} // namespace galenarelay::ctl

#endif // GALENARELAY_PROGRAMS_CTL_COMMAND_H
