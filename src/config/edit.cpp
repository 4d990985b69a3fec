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

/// Checks an edit's ID and author. An author is printable ASCII so that it is safe in JSON and on
/// a terminal.
Result<void> checkIdAndAuthor(const Edit &RequestedEdit) {
  if (!isName(RequestedEdit.Id))
    return fail(ResultCode::NameSyntax, quoted(RequestedEdit.Id) + " isn't a valid edit ID");
  const std::string &Author = RequestedEdit.Author;
  const bool Printable = std::all_of(Author.begin(), Author.end(),
                                     [](char Byte) { return Byte >= ' ' && Byte <= '~'; });
  if (Author.empty() || Author.size() > MaxAuthorBytes || !Printable)
    return fail(ResultCode::NameSyntax,
                "an edit needs an author of 1 to 64 printable ASCII characters");
  return {};
}

Result<void> checkUpstreamKnown(const Configuration &Document, const UpstreamId &Id,
                                const std::vector<AnnouncedUpstream> &Announced) {
  const bool Known =
      Document.UpstreamLabels.contains(Id) ||
      std::any_of(Announced.begin(), Announced.end(),
                  [&](const AnnouncedUpstream &Upstream) { return Upstream.Id == Id; });
  if (Known)
    return {};
  return fail(ResultCode::UpstreamUnknown,
              "upstream " + quoted(Id) + " hasn't announced itself and has no labels");
}

Result<void> checkLabel(const std::string &Key, const std::string &Value) {
  if (!isName(Key) || !isName(Value))
    return fail(ResultCode::LabelSyntax, quoted(Key + "=" + Value) + " isn't a valid label");
  if (Key == IdLabel || Key == ZoneLabel)
    return fail(ResultCode::LabelSyntax,
                "label " + quoted(Key) +
                    " is announced by the upstream and can't be set by an edit");
  return {};
}

Result<void> applyTo(Configuration &Document, const CreateService &Action,
                     const std::vector<AnnouncedUpstream> &) {
  BOOST_LEAF_CHECK(checkService(Action.Name, Action.Definition));
  if (!Document.Services.emplace(Action.Name, Action.Definition).second)
    return fail(ResultCode::ServiceExists, "service " + quoted(Action.Name) + " already exists");
  return {};
}

Result<void> applyTo(Configuration &Document, const UpdateService &Action,
                     const std::vector<AnnouncedUpstream> &) {
  const auto Position = Document.Services.find(Action.Name);
  if (Position == Document.Services.end())
    return unknownService(Action.Name);
  if (!Action.Address && !Action.Selector && !Action.Deadline)
    return fail(ResultCode::Usage, "no field to change was given");
  Service &Changed = Position->second;
  Changed.Address = Action.Address.value_or(Changed.Address);
  Changed.Selector = Action.Selector.value_or(Changed.Selector);
  Changed.DefaultDeadline = Action.Deadline.value_or(Changed.DefaultDeadline);
  return checkService(Action.Name, Changed);
}

Result<void> applyTo(Configuration &Document, const DeleteService &Action,
                     const std::vector<AnnouncedUpstream> &) {
  if (Document.Services.erase(Action.Name) == 0)
    return unknownService(Action.Name);
  return {};
}

Result<void> applyTo(Configuration &Document, const SetLabels &Action,
                     const std::vector<AnnouncedUpstream> &Announced) {
  if (!isName(Action.Id))
    return fail(ResultCode::NameSyntax, quoted(Action.Id) + " isn't a valid upstream ID");
  if (Action.Values.empty())
    return fail(ResultCode::LabelSyntax, "no label was given");
  for (const auto &[Key, Value] : Action.Values)
    BOOST_LEAF_CHECK(checkLabel(Key, Value));
  BOOST_LEAF_CHECK(checkUpstreamKnown(Document, Action.Id, Announced));
  for (const auto &[Key, Value] : Action.Values)
    Document.UpstreamLabels[Action.Id][Key] = Value;
  return {};
}

Result<void> applyTo(Configuration &Document, const RemoveLabels &Action,
                     const std::vector<AnnouncedUpstream> &Announced) {
  if (Action.Keys.empty())
    return fail(ResultCode::LabelSyntax, "no label was given");
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
                     const std::vector<AnnouncedUpstream> &Announced) {
  return applyTo(Document, UpdateService{Action.Name, {}, Action.Selector, {}}, Announced);
}

json servicesAndLabels(const Configuration &Value) {
  json Document = toJson(Value);
  Document.erase("edits");
  Document.erase("revision");
  return Document;
}

void collectLeaves(const std::string &Path, const json &Value, std::vector<std::string> &Paths) {
  if (!Value.is_object() || Value.empty()) {
    Paths.push_back(Path);
    return;
  }
  for (const auto &[Key, Child] : Value.items())
    collectLeaves(Path + "/" + Key, Child, Paths);
}

bool isSameOrBelow(std::string_view Path, std::string_view Ancestor) {
  return Path == Ancestor || (Path.starts_with(Ancestor) && Path[Ancestor.size()] == '/');
}

bool pathsOverlap(const std::vector<std::string> &Left, const std::vector<std::string> &Right) {
  return std::any_of(Left.begin(), Left.end(), [&](const std::string &LeftPath) {
    return std::any_of(Right.begin(), Right.end(), [&](const std::string &RightPath) {
      return isSameOrBelow(LeftPath, RightPath) || isSameOrBelow(RightPath, LeftPath);
    });
  });
}

/// Removes the oldest audit entries until the document has at most MaxAuditEntries entries and
/// MaxDocumentBytes bytes, and returns them. The newest entry always stays: if the document is
/// still too large, the error is ConfigurationTooLarge.
Result<std::vector<AuditEntry>> removeOldestEntries(Configuration &Document) {
  std::size_t Bytes = toJson(Document).dump().size();
  std::size_t Count = 0;
  while (Document.AuditEntries.size() - Count > 1 &&
         (Document.AuditEntries.size() - Count > MaxAuditEntries || Bytes > MaxDocumentBytes)) {
    Bytes -= toJson(Document.AuditEntries[Count]).dump().size() + 1;
    ++Count;
  }
  if (Bytes > MaxDocumentBytes)
    return fail(ResultCode::ConfigurationTooLarge, "the document would have " +
                                                       std::to_string(Bytes) +
                                                       " bytes; the store accepts at most " +
                                                       std::to_string(MaxDocumentBytes) + " bytes");
  const auto End = Document.AuditEntries.begin() + static_cast<std::ptrdiff_t>(Count);
  std::vector<AuditEntry> EntriesToArchive(Document.AuditEntries.begin(), End);
  Document.AuditEntries.erase(Document.AuditEntries.begin(), End);
  return EntriesToArchive;
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
                   describe(UpdateService{"", New.Address, New.Selector, New.DefaultDeadline});
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

std::vector<AuditEntry> conflictingEntries(const EditAction &Action,
                                           std::span<const AuditEntry> LaterEntries) {
  const std::vector<std::string> Touched = touchedPaths(Action);
  std::vector<AuditEntry> Conflicts;
  for (const AuditEntry &Entry : LaterEntries)
    if (pathsOverlap(Touched, changedPaths(Entry.Patch)))
      Conflicts.push_back(Entry);
  return Conflicts;
}

json diffContents(const Configuration &From, const Configuration &To) {
  return json::diff(servicesAndLabels(From), servicesAndLabels(To));
}

json joinPatches(std::span<const AuditEntry> Entries) {
  json Joined = json::array();
  for (const AuditEntry &Entry : Entries)
    Joined.insert(Joined.end(), Entry.Patch.begin(), Entry.Patch.end());
  return Joined;
}

Result<EditedDocument> applyEdit(const Configuration &Base, const Edit &RequestedEdit,
                                 const std::vector<AnnouncedUpstream> &Announced) {
  BOOST_LEAF_CHECK(checkIdAndAuthor(RequestedEdit));
  Configuration Next = Base;
  BOOST_LEAF_CHECK(std::visit([&](const auto &Action) { return applyTo(Next, Action, Announced); },
                              RequestedEdit.Action));
  BOOST_LEAF_CHECK(checkEditedDocument(Base, Next, Announced));
  Next.RevisionNumber = Base.RevisionNumber + 1;
  Next.AuditEntries.push_back({RequestedEdit.Id, RequestedEdit.Author, RequestedEdit.TimeMs,
                               Next.RevisionNumber, summary(RequestedEdit.Action),
                               diffContents(Base, Next)});
  BOOST_LEAF_AUTO(EntriesToArchive, removeOldestEntries(Next));
  return EditedDocument{std::move(Next), std::move(EntriesToArchive)};
}

namespace {

bool hasEdit(const Configuration &Document, const std::string &EditId) {
  return std::any_of(Document.AuditEntries.begin(), Document.AuditEntries.end(),
                     [&](const AuditEntry &Entry) { return Entry.EditId == EditId; });
}

Result<Configuration> applyPatch(const Configuration &Base, const json &Patch,
                                 const std::vector<AnnouncedUpstream> &Announced) {
  json Document = servicesAndLabels(Base);
  try {
    Document = Document.patch(Patch);
  } catch (const json::exception &Problem) {
    return fail(ResultCode::EditConflict, Problem.what());
  }
  const json Whole = toJson(Base);
  Document["edits"] = Whole.at("edits");
  Document["revision"] = Whole.at("revision");
  BOOST_LEAF_AUTO(Next, configurationFromJson(Document));
  BOOST_LEAF_CHECK(checkEditedDocument(Base, Next, Announced));
  return Next;
}

/// Records a lost edit under the next revision, with its change where that still applies.
Configuration reapply(const Configuration &Base, AuditEntry Lost,
                      const std::vector<AnnouncedUpstream> &Announced) {
  const auto Applied = common::capture([&] { return applyPatch(Base, Lost.Patch, Announced); });
  Configuration Next = Applied ? *Applied : Base;
  if (!Applied)
    Lost.Summary = "not reapplied after a restore of the store: " + Lost.Summary;
  Lost.AcceptedRevision = ++Next.RevisionNumber;
  Lost.Patch = diffContents(Base, Next);
  Next.AuditEntries.push_back(std::move(Lost));
  return Next;
}

} // namespace

Result<EditedDocument> reapplyLostEdits(const Configuration &Stored, const Configuration &Known,
                                        const std::vector<AnnouncedUpstream> &Announced) {
  const Revision OldestKnown = Known.AuditEntries.empty()
                                   ? Known.RevisionNumber + 1
                                   : Known.AuditEntries.front().AcceptedRevision;
  // Known no longer has the edits that follow the copy, and can only replace it.
  if (OldestKnown > Stored.RevisionNumber + 1) {
    EditedDocument Replacement{Known, {}};
    for (const AuditEntry &Entry : Stored.AuditEntries)
      if (!hasEdit(Known, Entry.EditId))
        Replacement.EntriesToArchive.push_back(Entry);
    return Replacement;
  }
  const Revision Archived = Stored.RevisionNumber - Stored.AuditEntries.size();
  Configuration Next = Stored;
  for (const AuditEntry &Entry : Known.AuditEntries)
    if (Entry.AcceptedRevision > Archived && !hasEdit(Stored, Entry.EditId))
      Next = reapply(Next, Entry, Announced);
  if (Next == Stored)
    return EditedDocument{Stored, {}};
  BOOST_LEAF_AUTO(EntriesToArchive, removeOldestEntries(Next));
  return EditedDocument{std::move(Next), std::move(EntriesToArchive)};
}

} // namespace galenarelay::config
