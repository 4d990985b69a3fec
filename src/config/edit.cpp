#include "galenarelay/config/edit.h"

#include "galenarelay/config/selector.h"

#include <algorithm>
#include <string_view>

namespace galenarelay::config {

using common::fail;
using common::Result;
using common::ResultCode;
using nlohmann::json;

namespace {

template <typename... Functions> struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <typename... Functions> Overloaded(Functions...) -> Overloaded<Functions...>;

std::string servicePath(const ServiceName &Name) { return "/services/" + Name; }

std::string labelPath(const UpstreamId &Id, const std::string &Key) {
  return "/labels/" + Id + "/" + Key;
}

std::string quoted(const std::string &Text) { return "'" + Text + "'"; }

std::string milliseconds(common::Duration Value) {
  return std::to_string(common::wholeMilliseconds(Value)) + " ms";
}

boost::leaf::error_id unknownService(const ServiceName &Name) {
  return fail(ResultCode::ServiceUnknown, "there is no service " + quoted(Name));
}

/// An author is printable ASCII, so that it fits JSON and a terminal.
Result<void> checkOrigin(const Edit &Wanted) {
  if (!isName(Wanted.Id))
    return fail(ResultCode::NameSyntax, quoted(Wanted.Id) + " isn't an edit ID");
  const std::string &Author = Wanted.Author;
  const bool Printable =
      std::all_of(Author.begin(), Author.end(), [](char C) { return C >= ' ' && C <= '~'; });
  if (Author.empty() || Author.size() > MaxAuthorBytes || !Printable)
    return fail(ResultCode::NameSyntax, "an edit needs an author of 1 to 64 printable characters");
  return {};
}

Result<void> checkUpstreamKnown(const Configuration &In, const UpstreamId &Id,
                                const std::vector<KnownUpstream> &Announced) {
  const bool Known = In.UpstreamLabels.contains(Id) ||
                     std::any_of(Announced.begin(), Announced.end(),
                                 [&](const KnownUpstream &Each) { return Each.Id == Id; });
  if (Known)
    return {};
  return fail(ResultCode::UpstreamUnknown,
              "upstream " + quoted(Id) + " has neither announced itself nor labels");
}

Result<void> checkLabel(const std::string &Key, const std::string &Value) {
  if (!isName(Key) || !isName(Value))
    return fail(ResultCode::LabelSyntax, quoted(Key + "=" + Value) + " isn't a label");
  if (Key == IdLabel || Key == ZoneLabel)
    return fail(ResultCode::LabelSyntax,
                "label " + quoted(Key) + " is announced by the upstream and can't be set");
  return {};
}

Result<void> applyTo(Configuration &Document, const CreateService &Action,
                     const std::vector<KnownUpstream> &) {
  BOOST_LEAF_CHECK(checkService(Action.Name, Action.Definition));
  if (!Document.Services.emplace(Action.Name, Action.Definition).second)
    return fail(ResultCode::ServiceExists, "service " + quoted(Action.Name) + " exists");
  return {};
}

Result<void> applyTo(Configuration &Document, const UpdateService &Action,
                     const std::vector<KnownUpstream> &) {
  const auto Found = Document.Services.find(Action.Name);
  if (Found == Document.Services.end())
    return unknownService(Action.Name);
  if (!Action.Address && !Action.Selector && !Action.Deadline)
    return fail(ResultCode::Usage, "no field to change is given");
  Service &Changed = Found->second;
  Changed.Address = Action.Address.value_or(Changed.Address);
  Changed.Selector = Action.Selector.value_or(Changed.Selector);
  Changed.Deadline = Action.Deadline.value_or(Changed.Deadline);
  return checkService(Action.Name, Changed);
}

Result<void> applyTo(Configuration &Document, const DeleteService &Action,
                     const std::vector<KnownUpstream> &) {
  if (Document.Services.erase(Action.Name) == 0)
    return unknownService(Action.Name);
  return {};
}

Result<void> applyTo(Configuration &Document, const SetLabels &Action,
                     const std::vector<KnownUpstream> &Announced) {
  if (!isName(Action.Id))
    return fail(ResultCode::NameSyntax, quoted(Action.Id) + " isn't an upstream ID");
  if (Action.Values.empty())
    return fail(ResultCode::LabelSyntax, "no label is given");
  for (const auto &[Key, Value] : Action.Values)
    BOOST_LEAF_CHECK(checkLabel(Key, Value));
  BOOST_LEAF_CHECK(checkUpstreamKnown(Document, Action.Id, Announced));
  for (const auto &[Key, Value] : Action.Values)
    Document.UpstreamLabels[Action.Id][Key] = Value;
  return {};
}

Result<void> applyTo(Configuration &Document, const RemoveLabels &Action,
                     const std::vector<KnownUpstream> &Announced) {
  if (Action.Keys.empty())
    return fail(ResultCode::LabelSyntax, "no label is given");
  BOOST_LEAF_CHECK(checkUpstreamKnown(Document, Action.Id, Announced));
  Labels &Changed = Document.UpstreamLabels[Action.Id];
  for (const std::string &Key : Action.Keys)
    if (Changed.erase(Key) == 0)
      return fail(ResultCode::LabelUnknown,
                  "upstream " + Action.Id + " has no label " + quoted(Key));
  if (Changed.empty())
    Document.UpstreamLabels.erase(Action.Id);
  return {};
}

Result<void> applyTo(Configuration &Document, const SetSelector &Action,
                     const std::vector<KnownUpstream> &Announced) {
  return applyTo(Document, UpdateService{Action.Name, {}, Action.Selector, {}}, Announced);
}

json contents(const Configuration &Value) {
  json Document = toJson(Value);
  Document.erase("edits");
  Document.erase("revision");
  return Document;
}

void collectLeaves(const std::string &Path, const json &Value, std::vector<std::string> &Into) {
  if (!Value.is_object() || Value.empty()) {
    Into.push_back(Path);
    return;
  }
  for (const auto &[Key, Child] : Value.items())
    collectLeaves(Path + "/" + Key, Child, Into);
}

bool isWithin(std::string_view Path, std::string_view Outer) {
  return Path == Outer || (Path.starts_with(Outer) && Path[Outer.size()] == '/');
}

bool overlap(const std::vector<std::string> &Left, const std::vector<std::string> &Right) {
  return std::any_of(Left.begin(), Left.end(), [&](const std::string &One) {
    return std::any_of(Right.begin(), Right.end(), [&](const std::string &Other) {
      return isWithin(One, Other) || isWithin(Other, One);
    });
  });
}

/// Moves the oldest audit entries out until the document fits a store value.
Result<std::vector<AuditEntry>> takeLeaving(Configuration &Document) {
  std::size_t Bytes = toJson(Document).dump().size();
  std::size_t Count = 0;
  while (Document.Edits.size() - Count > 1 &&
         (Document.Edits.size() - Count > MaxEdits || Bytes > MaxDocumentBytes)) {
    Bytes -= toJson(Document.Edits[Count]).dump().size() + 1;
    ++Count;
  }
  if (Bytes > MaxDocumentBytes)
    return fail(ResultCode::ConfigurationTooLarge,
                "the document would have " + std::to_string(Bytes) + " bytes, at most " +
                    std::to_string(MaxDocumentBytes) + " fit the store");
  const auto End = Document.Edits.begin() + static_cast<std::ptrdiff_t>(Count);
  std::vector<AuditEntry> Leaving(Document.Edits.begin(), End);
  Document.Edits.erase(Document.Edits.begin(), End);
  return Leaving;
}

std::string describe(const Labels &Values) {
  std::string Text;
  for (const auto &[Key, Value] : Values)
    Text += " " + Key + "=" + Value;
  return Text;
}

std::string describe(const UpdateService &Action) {
  std::string Text;
  if (Action.Address)
    Text += " address " + common::toString(*Action.Address);
  if (Action.Selector)
    Text += " selector " + quoted(*Action.Selector);
  if (Action.Deadline)
    Text += " deadline " + milliseconds(*Action.Deadline);
  return Text;
}

} // namespace

std::string summary(const EditAction &Action) {
  return std::visit(
      Overloaded{
          [](const CreateService &A) {
            const Service &New = A.Definition;
            return "service create " + A.Name +
                   describe(UpdateService{"", New.Address, New.Selector, New.Deadline});
          },
          [](const UpdateService &A) { return "service update " + A.Name + describe(A); },
          [](const DeleteService &A) { return "service delete " + A.Name; },
          [](const SetLabels &A) { return "label set " + A.Id + describe(A.Values); },
          [](const RemoveLabels &A) {
            std::string Text = "label remove " + A.Id;
            for (const std::string &Key : A.Keys)
              Text += " " + Key;
            return Text;
          },
          [](const SetSelector &A) { return "selector set " + A.Name + " " + quoted(A.Selector); }},
      Action);
}

std::vector<std::string> touchedPaths(const EditAction &Action) {
  using Paths = std::vector<std::string>;
  return std::visit(
      Overloaded{[](const CreateService &A) { return Paths{servicePath(A.Name)}; },
                 [](const UpdateService &A) {
                   Paths Touched;
                   if (A.Address)
                     Touched.push_back(servicePath(A.Name) + "/address");
                   if (A.Selector)
                     Touched.push_back(servicePath(A.Name) + "/selector");
                   if (A.Deadline)
                     Touched.push_back(servicePath(A.Name) + "/deadline_ms");
                   return Touched;
                 },
                 [](const DeleteService &A) { return Paths{servicePath(A.Name)}; },
                 [](const SetLabels &A) {
                   Paths Touched;
                   for (const auto &Label : A.Values)
                     Touched.push_back(labelPath(A.Id, Label.first));
                   return Touched;
                 },
                 [](const RemoveLabels &A) {
                   Paths Touched;
                   for (const std::string &Key : A.Keys)
                     Touched.push_back(labelPath(A.Id, Key));
                   return Touched;
                 },
                 [](const SetSelector &A) { return Paths{servicePath(A.Name) + "/selector"}; }},
      Action);
}

std::vector<std::string> changedPaths(const json &Patch) {
  std::vector<std::string> Paths;
  for (const json &Operation : Patch)
    collectLeaves(Operation.at("path").get<std::string>(), Operation.value("value", json()), Paths);
  return Paths;
}

std::vector<AuditEntry> conflictsWith(const EditAction &Action, std::span<const AuditEntry> Since) {
  const std::vector<std::string> Touched = touchedPaths(Action);
  std::vector<AuditEntry> Conflicts;
  for (const AuditEntry &Entry : Since)
    if (overlap(Touched, changedPaths(Entry.Patch)))
      Conflicts.push_back(Entry);
  return Conflicts;
}

json difference(const Configuration &From, const Configuration &To) {
  return json::diff(contents(From), contents(To));
}

json joinPatches(std::span<const AuditEntry> Entries) {
  json Joined = json::array();
  for (const AuditEntry &Entry : Entries)
    Joined.insert(Joined.end(), Entry.Patch.begin(), Entry.Patch.end());
  return Joined;
}

Result<EditedDocument> applyEdit(const Configuration &Base, const Edit &Wanted,
                                 const std::vector<KnownUpstream> &Announced) {
  BOOST_LEAF_CHECK(checkOrigin(Wanted));
  Configuration Next = Base;
  BOOST_LEAF_CHECK(std::visit([&](const auto &Action) { return applyTo(Next, Action, Announced); },
                              Wanted.Action));
  BOOST_LEAF_CHECK(checkEdited(Base, Next, Announced));
  Next.Number = Base.Number + 1;
  Next.Edits.push_back({Wanted.Id, Wanted.Author, Wanted.TimeMs, Next.Number,
                        summary(Wanted.Action), difference(Base, Next)});
  BOOST_LEAF_AUTO(Leaving, takeLeaving(Next));
  return EditedDocument{std::move(Next), std::move(Leaving)};
}

} // namespace galenarelay::config
