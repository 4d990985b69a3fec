#include "command.h"
#include "galenarelay/config/edit_loop.h"

#include <algorithm>
#include <array>
#include <ctime>

namespace galenarelay::ctl {

using common::fail;
using common::Result;
using common::ResultCode;
using config::AuditEntry;
using config::Configuration;
using nlohmann::json;

namespace {

/// Edits that history and audit list unless --limit says otherwise.
constexpr std::uint64_t DefaultLimit = 20;

/// Turns the result of an I/O function into the kind that commands return.
template <typename T> Result<T> unwrap(common::Outcome<T> Ended) {
  if (!Ended)
    return fail(Ended.Failure.Code, Ended.Failure.Detail);
  return std::move(*Ended);
}

/// Writes "2026-12-04T03:40:00.123Z".
std::string timeText(std::int64_t Milliseconds) {
  constexpr std::int64_t PerSecond = 1000;
  const std::time_t Seconds = Milliseconds / PerSecond;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Text{};
  std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%S", &Parts);
  const std::string Fraction = std::to_string(PerSecond + Milliseconds % PerSecond);
  return std::string(Text.data()) + "." + Fraction.substr(1) + "Z";
}

std::vector<std::string> entryRow(const AuditEntry &Entry) {
  return {std::to_string(Entry.AcceptedRevision), timeText(Entry.TimeMs), Entry.Author,
          Entry.EditId, Entry.Summary};
}

const std::vector<std::string> EntryHeading{"REVISION", "TIME", "AUTHOR", "EDIT ID", "EDIT"};

Report entriesReport(const std::vector<AuditEntry> &Entries) {
  Report Printed;
  Printed.Document = json::array();
  Printed.Rows = {EntryHeading};
  for (const AuditEntry &Entry : Entries) {
    Printed.Document.push_back(config::toJson(Entry));
    Printed.Rows.push_back(entryRow(Entry));
  }
  return Printed;
}

Report serviceReport(const Configuration &In) {
  Report Printed;
  Printed.Document = config::toJson(In).at("services");
  Printed.Rows = {{"SERVICE", "ADDRESS", "DEADLINE MS", "SELECTOR"}};
  for (const auto &[Name, Value] : In.Services) {
    Printed.Rows.push_back({Name, common::toString(Value.Address),
                            std::to_string(common::wholeMilliseconds(Value.DefaultDeadline)),
                            Value.Selector});
  }
  return Printed;
}

Report labelReport(const Configuration &In, const std::string &OnlyId) {
  Report Printed;
  Printed.Document = json::object();
  Printed.Rows = {{"UPSTREAM", "LABELS"}};
  for (const auto &[Id, Values] : In.UpstreamLabels) {
    if (!OnlyId.empty() && Id != OnlyId)
      continue;
    Printed.Document[Id] = Values;
    std::string Text;
    for (const auto &[Key, Value] : Values)
      Text += (Text.empty() ? "" : " ") + Key + "=" + Value;
    Printed.Rows.push_back({Id, Text});
  }
  return Printed;
}

Result<Report> listServices(const Invocation &Given) {
  BOOST_LEAF_AUTO(Store, Given.store());
  BOOST_LEAF_AUTO(Read, unwrap(config::readConfiguration(Store)));
  return serviceReport(Read.Document);
}

Result<Report> listLabels(const Invocation &Given) {
  BOOST_LEAF_AUTO(Store, Given.store());
  BOOST_LEAF_AUTO(Read, unwrap(config::readConfiguration(Store)));
  const std::string OnlyId = Given.words().empty() ? "" : Given.words()[0];
  if (!OnlyId.empty() && !Read.Document.UpstreamLabels.contains(OnlyId))
    return fail(ResultCode::UpstreamUnknown, "upstream '" + OnlyId + "' has no labels");
  return labelReport(Read.Document, OnlyId);
}

Result<Report> show(const Invocation &Given) {
  BOOST_LEAF_AUTO(Store, Given.store());
  BOOST_LEAF_AUTO(Read, unwrap(config::readConfiguration(Store)));
  Report Printed;
  Printed.Document = config::toJson(Read.Document);
  Printed.Document.erase("edits");
  Printed.Rows = {{"REVISION", std::to_string(Read.Document.RevisionNumber)}, {}};
  for (const Report &Part : {serviceReport(Read.Document), labelReport(Read.Document, "")}) {
    Printed.Rows.insert(Printed.Rows.end(), Part.Rows.begin(), Part.Rows.end());
    Printed.Rows.emplace_back();
  }
  return Printed;
}

Result<Report> diff(const Invocation &Given) {
  BOOST_LEAF_AUTO(From, parseNumber("REV1", Given.words()[0]));
  BOOST_LEAF_AUTO(To, parseNumber("REV2", Given.words()[1]));
  if (From > To)
    return fail(ResultCode::Usage, "REV1 must not be above REV2");
  BOOST_LEAF_AUTO(Store, Given.store());
  BOOST_LEAF_AUTO(Read, unwrap(config::readConfiguration(Store)));
  BOOST_LEAF_AUTO(Entries, unwrap(config::readHistory(Store, Read.Document, From + 1, To)));
  Report Printed;
  Printed.Document = {{"from", From}, {"to", To}, {"patch", config::joinPatches(Entries)}};
  Printed.Rows = {{"REVISION", "AUTHOR", "OPERATION", "PATH", "VALUE"}};
  for (const AuditEntry &Entry : Entries)
    for (const json &Operation : Entry.Patch)
      Printed.Rows.push_back({std::to_string(Entry.AcceptedRevision), Entry.Author,
                              Operation.at("op").get<std::string>(),
                              Operation.at("path").get<std::string>(),
                              Operation.contains("value") ? Operation.at("value").dump() : ""});
  return Printed;
}

/// The newest entries, oldest first.
Result<std::vector<AuditEntry>> newestEntries(Client &Store, const Configuration &Document,
                                              std::uint64_t Limit) {
  const config::Revision Last = Document.RevisionNumber;
  const config::Revision First = Limit >= Last ? 1 : Last - Limit + 1;
  return unwrap(config::readHistory(Store, Document, First, Last));
}

Result<Report> history(const Invocation &Given) {
  BOOST_LEAF_AUTO(Limit, Given.numberOr("limit", DefaultLimit));
  BOOST_LEAF_AUTO(Store, Given.store());
  BOOST_LEAF_AUTO(Read, unwrap(config::readConfiguration(Store)));
  BOOST_LEAF_AUTO(Entries, newestEntries(Store, Read.Document, Limit));
  std::reverse(Entries.begin(), Entries.end());
  return entriesReport(Entries);
}

Report entryReport(const AuditEntry &Entry) {
  Report Printed;
  Printed.Document = config::toJson(Entry);
  Printed.Rows = {EntryHeading, entryRow(Entry), {}, {"PATCH", Entry.Patch.dump()}};
  return Printed;
}

/// The newest edits with their patches, oldest first, one line each.
Report trailReport(const std::vector<AuditEntry> &Entries) {
  Report Printed = entriesReport(Entries);
  Printed.Rows.front().push_back("PATCH");
  for (std::size_t I = 0; I < Entries.size(); ++I)
    Printed.Rows[I + 1].push_back(Entries[I].Patch.dump());
  return Printed;
}

Result<Report> audit(const Invocation &Given) {
  const auto EditId = Given.option("edit-id");
  if (EditId && !Given.words().empty())
    return fail(ResultCode::Usage, "give either a revision or --edit-id");
  BOOST_LEAF_AUTO(Limit, Given.numberOr("limit", DefaultLimit));
  BOOST_LEAF_AUTO(Store, Given.store());
  BOOST_LEAF_AUTO(Read, unwrap(config::readConfiguration(Store)));
  if (!EditId && Given.words().empty()) {
    BOOST_LEAF_AUTO(Entries, newestEntries(Store, Read.Document, Limit));
    return trailReport(Entries);
  }
  if (EditId) {
    BOOST_LEAF_AUTO(Found, unwrap(config::findEdit(Store, Read.Document, *EditId)));
    if (!Found)
      return fail(ResultCode::RevisionUnknown, "edit " + *EditId + " isn't in the history");
    return entryReport(*Found);
  }
  BOOST_LEAF_AUTO(Number, parseNumber("REVISION", Given.words()[0]));
  BOOST_LEAF_AUTO(Entries, unwrap(config::readHistory(Store, Read.Document, Number, Number)));
  return entryReport(Entries.front());
}

} // namespace

std::vector<Command> historyCommands() {
  return {
      {"service list", "", "List services", 0, 0, {}, listServices},
      {"label list", "[UPSTREAM]", "List labels", 0, 1, {}, listLabels},
      {"show", "", "Show the configuration", 0, 0, {}, show},
      {"diff", "REV1 REV2", "Show what changed after REV1 up to REV2", 2, 2, {}, diff},
      {"history", "[--limit N]", "List the newest edits", 0, 0, {"limit"}, history},
      {"audit",
       "REVISION | --edit-id ID",
       "Show one edit with its JSON patch",
       0,
       1,
       {"edit-id"},
       audit},
  };
}

} // namespace galenarelay::ctl
