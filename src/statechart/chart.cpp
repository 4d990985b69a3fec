#include "galenarelay/statechart/chart.h"

#include <algorithm>
#include <fstream>
#include <optional>

namespace galenarelay::statechart {

using common::fail;
using common::Result;
using common::ResultCode;

namespace {

using Names = std::span<const std::string_view>;

std::optional<std::uint8_t> position(Names Known, std::string_view Name) {
  const auto Found = std::find(Known.begin(), Known.end(), Name);
  if (Found == Known.end())
    return std::nullopt;
  return static_cast<std::uint8_t>(Found - Known.begin());
}

boost::leaf::error_id invalid(const std::string &Detail) {
  return fail(ResultCode::ChartInvalid, Detail);
}

Result<std::uint8_t> known(Names Known, const std::string &Name, const char *What) {
  const auto Found = position(Known, Name);
  if (!Found)
    return invalid(std::string("unknown ") + What + " '" + Name + "'");
  return *Found;
}

Result<Transition> readTransition(const nlohmann::json &Row, std::uint8_t Source,
                                  const Vocabulary &Known) {
  Transition Read;
  Read.Target = Source;
  if (Row.contains("to")) {
    BOOST_LEAF_ASSIGN(Read.Target, known(Known.States, Row.at("to"), "state"));
  }
  for (const std::string &Name : Row.value("actions", std::vector<std::string>())) {
    BOOST_LEAF_AUTO(Action, known(Known.Actions, Name, "action"));
    Read.Actions.push_back(Action);
  }
  return Read;
}

Result<void> readState(ChartTable &Table, std::uint8_t State, const nlohmann::json &Rows,
                       const Vocabulary &Known) {
  for (const auto &Item : Rows.items()) {
    BOOST_LEAF_CHECK(known(Known.Events, Item.key(), "event"));
  }
  for (std::size_t Event = 0; Event < Known.Events.size(); ++Event) {
    const std::string Name(Known.Events[Event]);
    if (!Rows.contains(Name))
      return invalid("state '" + std::string(Known.States[State]) + "' lacks event '" + Name + "'");
    BOOST_LEAF_AUTO(Read, readTransition(Rows.at(Name), State, Known));
    Table.Transitions[State * Table.EventCount + Event] = std::move(Read);
  }
  return {};
}

Result<void> checkReachable(const ChartTable &Table, const Vocabulary &Known) {
  std::vector<bool> Reached(Known.States.size(), false);
  std::vector<std::uint8_t> Open{Table.Initial};
  Reached[Table.Initial] = true;
  while (!Open.empty()) {
    const std::uint8_t State = Open.back();
    Open.pop_back();
    for (std::size_t Event = 0; Event < Table.EventCount; ++Event) {
      const std::uint8_t Target = Table.at(State, Event).Target;
      if (!Reached[Target]) {
        Reached[Target] = true;
        Open.push_back(Target);
      }
    }
  }
  for (std::size_t State = 0; State < Reached.size(); ++State)
    if (!Reached[State])
      return invalid("state '" + std::string(Known.States[State]) + "' can't be reached");
  return {};
}

Result<ChartTable> readChart(const nlohmann::json &Document, const Vocabulary &Known) {
  ChartTable Table;
  Table.Name = Document.at("name").get<std::string>();
  Table.EventCount = Known.Events.size();
  Table.Transitions.resize(Known.States.size() * Known.Events.size());
  Table.Final.resize(Known.States.size(), false);
  BOOST_LEAF_ASSIGN(Table.Initial, known(Known.States, Document.at("initial"), "state"));
  for (const std::string &Name : Document.value("final", std::vector<std::string>())) {
    BOOST_LEAF_AUTO(State, known(Known.States, Name, "state"));
    Table.Final[State] = true;
  }
  const nlohmann::json &States = Document.at("states");
  for (const auto &Item : States.items()) {
    BOOST_LEAF_CHECK(known(Known.States, Item.key(), "state"));
  }
  for (std::size_t State = 0; State < Known.States.size(); ++State) {
    const std::string Name(Known.States[State]);
    if (!States.contains(Name))
      return invalid("state '" + Name + "' is missing");
    BOOST_LEAF_CHECK(readState(Table, static_cast<std::uint8_t>(State), States.at(Name), Known));
  }
  BOOST_LEAF_CHECK(checkReachable(Table, Known));
  return Table;
}

} // namespace

Result<ChartTable> chartFromJson(const nlohmann::json &Document, const Vocabulary &Known) {
  try {
    return readChart(Document, Known);
  } catch (const nlohmann::json::exception &Problem) {
    return invalid(Problem.what());
  }
}

Result<ChartTable> loadChart(const std::string &Path, const Vocabulary &Known) {
  std::ifstream File(Path);
  if (!File)
    return invalid(Path + ": the file can't be read");
  const auto Document = nlohmann::json::parse(File, nullptr, false);
  if (Document.is_discarded())
    return invalid(Path + ": the file isn't JSON");
  auto Loaded = common::capture([&] { return chartFromJson(Document, Known); });
  if (!Loaded)
    return invalid(Path + ": " + Loaded.Failure.Detail);
  return std::move(*Loaded);
}

} // namespace galenarelay::statechart
