#include "command.h"
#include "galenarelay/config/edit_loop.h"

#include <iostream>
#include <random>

namespace galenarelay::ctl {

using common::fail;
using common::Result;
using common::ResultCode;
using config::EditAction;
using nlohmann::json;

namespace {

/// Unique without coordination: the time and 64 random bits.
std::string newEditId() {
  constexpr const char *Hex = "0123456789abcdef";
  std::random_device Random;
  std::string Id = "e" + std::to_string(common::wallMilliseconds()) + "-";
  for (int I = 0; I < 16; ++I)
    Id.push_back(Hex[Random() & 15U]);
  return Id;
}

Report reportOf(const config::Edit &Wanted, const config::EditReport &Ended) {
  Report Printed;
  Printed.Failure = Ended.Result;
  Printed.Document = {{"result", common::name(Ended.Result.Code)},
                      {"code", static_cast<int>(Ended.Result.Code)},
                      {"edit_id", Wanted.Id},
                      {"current_revision", Ended.NewestRevision}};
  if (Ended.Result.Code == ResultCode::Ok) {
    Printed.Document["revision"] = Ended.AcceptedRevision;
    Printed.Document["repeated"] = Ended.AlreadyAccepted;
    Printed.Rows = {{"REVISION", "EDIT ID", "NOTE"},
                    {std::to_string(Ended.AcceptedRevision), Wanted.Id,
                     Ended.AlreadyAccepted ? "accepted before" : "accepted"}};
    return Printed;
  }
  Printed.Document["detail"] = Ended.Result.Detail;
  if (Ended.ConflictingEntries.empty())
    return Printed;
  json Edits = json::array();
  Printed.Rows = {{"REVISION", "AUTHOR", "CONFLICTING EDIT"}};
  for (const config::AuditEntry &Entry : Ended.ConflictingEntries) {
    Edits.push_back(config::toJson(Entry));
    Printed.Rows.push_back({std::to_string(Entry.AcceptedRevision), Entry.Author, Entry.Summary});
  }
  Printed.Document["conflicts"] = std::move(Edits);
  Printed.Document["patch"] = Ended.ConcurrentPatch;
  Printed.Rows.insert(Printed.Rows.end(),
                      {{}, {"CONCURRENT PATCH"}, {Ended.ConcurrentPatch.dump()}});
  return Printed;
}

Result<Report> submit(const Invocation &Given, EditAction Action) {
  config::Edit Wanted;
  BOOST_LEAF_ASSIGN(Wanted.Author, Given.required("author"));
  Wanted.Id = Given.option("edit-id").value_or("");
  config::SubmitOptions Options;
  Options.MayHavePendingWrite = !Wanted.Id.empty();
  if (Wanted.Id.empty()) {
    Wanted.Id = newEditId();
    // Printed first, so that the operator has it even if the command is interrupted.
    std::cerr << "edit ID: " << Wanted.Id << "\n";
  }
  Wanted.TimeMs = common::wallMilliseconds();
  Wanted.Action = std::move(Action);
  if (Given.option("base")) {
    BOOST_LEAF_ASSIGN(Options.BaseRevision, Given.numberOr("base", 0));
  }
  BOOST_LEAF_AUTO(Store, Given.store());
  return reportOf(Wanted, config::submitEdit(Store, Wanted, Options));
}

Result<common::Duration> deadline(const Invocation &Given, common::Duration Default) {
  if (!Given.option("deadline-ms"))
    return Default;
  BOOST_LEAF_AUTO(Milliseconds, Given.numberOr("deadline-ms", 0));
  constexpr auto MostMs =
      static_cast<std::uint64_t>(config::MaxDeadline / std::chrono::milliseconds(1));
  if (Milliseconds > MostMs)
    return fail(ResultCode::Usage, "--deadline-ms is at most " + std::to_string(MostMs));
  return std::chrono::milliseconds(Milliseconds);
}

Result<Report> createService(const Invocation &Given) {
  config::CreateService Action{Given.words()[0], {}};
  config::Service &New = Action.Definition;
  BOOST_LEAF_ASSIGN(New.Address, Given.address("address"));
  BOOST_LEAF_ASSIGN(New.Selector, Given.required("selector"));
  BOOST_LEAF_ASSIGN(New.DefaultDeadline, deadline(Given, New.DefaultDeadline));
  return submit(Given, Action);
}

Result<Report> updateService(const Invocation &Given) {
  config::UpdateService Action{Given.words()[0], {}, Given.option("selector"), {}};
  if (Given.option("address")) {
    BOOST_LEAF_ASSIGN(Action.Address, Given.address("address"));
  }
  if (Given.option("deadline-ms")) {
    BOOST_LEAF_ASSIGN(Action.Deadline, deadline(Given, {}));
  }
  return submit(Given, Action);
}

Result<Report> deleteService(const Invocation &Given) {
  return submit(Given, config::DeleteService{Given.words()[0]});
}

Result<Report> setLabels(const Invocation &Given) {
  config::SetLabels Action{Given.words()[0], {}};
  for (std::size_t I = 1; I < Given.words().size(); ++I) {
    const std::string &Word = Given.words()[I];
    const auto Equal = Word.find('=');
    if (Equal == std::string::npos)
      return fail(ResultCode::LabelSyntax, "'" + Word + "' isn't key=value");
    const bool Added = Action.Values.emplace(Word.substr(0, Equal), Word.substr(Equal + 1)).second;
    if (!Added)
      return fail(ResultCode::LabelSyntax, "'" + Word + "': the key is given twice");
  }
  return submit(Given, Action);
}

Result<Report> removeLabels(const Invocation &Given) {
  const auto &Words = Given.words();
  return submit(Given, config::RemoveLabels{Words[0], {Words.begin() + 1, Words.end()}});
}

Result<Report> setSelector(const Invocation &Given) {
  return submit(Given, config::SetSelector{Given.words()[0], Given.words()[1]});
}

} // namespace

std::vector<Command> editCommands() {
  constexpr std::size_t MostLabels = 64;
  const std::vector<std::string> Edit{"edit-id", "base"};
  const std::vector<std::string> Fields{"edit-id", "base", "address", "selector", "deadline-ms"};
  return {
      {"service create", "NAME --address A --selector S", "Create a service", 1, 1, Fields,
       createService},
      {"service update", "NAME [--address A] [--selector S] [--deadline-ms N]",
       "Change fields of a service", 1, 1, Fields, updateService},
      {"service delete", "NAME", "Delete a service", 1, 1, Edit, deleteService},
      {"label set", "UPSTREAM KEY=VALUE...", "Set labels of an upstream", 2, MostLabels, Edit,
       setLabels},
      {"label remove", "UPSTREAM KEY...", "Remove labels of an upstream", 2, MostLabels, Edit,
       removeLabels},
      {"selector set", "SERVICE SELECTOR", "Set the selector of a service", 2, 2, Edit,
       setSelector},
  };
}

} // namespace galenarelay::ctl
