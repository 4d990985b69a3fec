#ifndef GALENARELAY_CONFIG_EDIT_LOOP_H
#define GALENARELAY_CONFIG_EDIT_LOOP_H

#include "galenarelay/config/edit.h"
#include "galenarelay/config/store_client.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace galenarelay::config {

/// Attempts of one edit, each with at least one call to the store.
inline constexpr std::uint32_t MaxAttempts = 12;
/// Audit entries that one command reads one by one from the store.
inline constexpr std::size_t MaxArchivedReads = 1000;

/// Key of an audit entry that has left the document.
[[nodiscard]] std::string auditKey(Revision Number);
/// Key under which the same entry is found by its edit ID.
[[nodiscard]] std::string editIdKey(const std::string &EditId);

/// How an edit ended. Result is Ok if and only if it is in the history under Accepted.
struct EditReport {
  common::Error Result;
  Revision Accepted = 0;
  bool Repeated = false;            ///< The edit had been accepted before this call.
  Revision Current = 0;             ///< Newest revision seen.
  std::vector<AuditEntry> Conflict; ///< For EditConflict: the other edits, oldest first.
  nlohmann::json Concurrent;        ///< For EditConflict: JSON patch from the base to Current.
};

/// How an edit is submitted.
struct SubmitOptions {
  std::optional<Revision> Base; ///< Later edits of the same part conflict; default: what is read.
  bool Resumed = false;         ///< An earlier command may have sent a write with this edit's ID.

  friend bool operator==(const SubmitOptions &, const SubmitOptions &) = default;
};

/// The document with its version in the store; an absent document has revision 0.
struct StoredConfiguration {
  std::uint64_t Version = 0;
  Configuration Document;
};

namespace impl {

[[nodiscard]] common::Outcome<StoredConfiguration> parseStored(const StoredValue &Value);
[[nodiscard]] common::Outcome<AuditEntry> parseArchived(const StoredValue &Value);
[[nodiscard]] std::vector<KnownUpstream> parseAnnounced(const std::vector<StoredValue> &Members);
/// Tells whether a recorded edit is this one, and not another one with the same ID.
[[nodiscard]] bool isSameEdit(const AuditEntry &Recorded, const Edit &Wanted);

} // namespace impl

/// Reads the document. Errors: those of the store, ConfigurationMalformed.
template <ConfigStore Store>
[[nodiscard]] common::Outcome<StoredConfiguration> readConfiguration(Store &From) {
  const auto Value = From.get(StoreKey);
  if (!Value)
    return {std::nullopt, Value.Failure};
  return impl::parseStored(*Value);
}

/// Finds an edit by its ID in the document or among the older entries; the inner value is empty if
/// it is in neither.
template <ConfigStore Store>
[[nodiscard]] common::Outcome<std::optional<AuditEntry>>
findEdit(Store &From, const Configuration &Document, const std::string &EditId) {
  for (const AuditEntry &Entry : Document.Edits)
    if (Entry.EditId == EditId)
      return {std::optional(Entry), {}};
  // The document was read first. An entry that left it before was copied before it left.
  const auto Value = From.get(editIdKey(EditId));
  if (!Value)
    return {std::nullopt, Value.Failure};
  if (Value->Version == 0)
    return {std::optional<AuditEntry>(), {}};
  const auto Archived = impl::parseArchived(*Value);
  if (!Archived)
    return {std::nullopt, Archived.Failure};
  return {std::optional(*Archived), {}};
}

/// The audit entries of the revisions First to Last, oldest first. Errors: RevisionUnknown if a
/// revision isn't in the history or the range is longer than MaxArchivedReads, and the store's.
template <ConfigStore Store>
[[nodiscard]] common::Outcome<std::vector<AuditEntry>>
readHistory(Store &From, const Configuration &Document, Revision First, Revision Last) {
  const auto Unknown = [](const std::string &Detail) {
    return common::Outcome<std::vector<AuditEntry>>{std::nullopt,
                                                    {common::ResultCode::RevisionUnknown, Detail}};
  };
  if (First == 0 || Last > Document.Number)
    return Unknown("revisions are 1 to " + std::to_string(Document.Number));
  const Revision OldestInside = Document.Number - Document.Edits.size() + 1;
  const bool ReadsArchive = First <= Last && First < OldestInside;
  if (ReadsArchive && std::min(Last + 1, OldestInside) - First > MaxArchivedReads)
    return Unknown("a command reads at most " + std::to_string(MaxArchivedReads) +
                   " entries of the older history");
  std::vector<AuditEntry> Entries;
  for (Revision Number = First; Number <= Last; ++Number) {
    if (Number >= OldestInside) {
      Entries.push_back(Document.Edits[Number - OldestInside]);
      continue;
    }
    const auto Value = From.get(auditKey(Number));
    if (!Value)
      return {std::nullopt, Value.Failure};
    if (Value->Version == 0)
      return Unknown("revision " + std::to_string(Number) + " isn't in the history");
    const auto Entry = impl::parseArchived(*Value);
    if (!Entry)
      return {std::nullopt, Entry.Failure};
    Entries.push_back(*Entry);
  }
  return {std::move(Entries), {}};
}

/// Applies one edit with compare-and-swap and resolves lost answers by the edit's ID.
template <ConfigStore Store> class EditLoop {
public:
  EditLoop(Store &Target, Edit Wanted, SubmitOptions Options)
      : Target(Target), Wanted(std::move(Wanted)), Base(Options.Base), Resumed(Options.Resumed) {}

  [[nodiscard]] EditReport run() {
    for (std::uint32_t Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
      if (Attempt > 0)
        Target.pause(Attempt);
      if (tryOnce())
        return Report;
    }
    if (PendingVersion)
      Report.Result = {common::ResultCode::StoreOutcomeUnknown,
                       "a write of edit " + Wanted.Id +
                           " may have taken effect; repeat the command with this edit ID (" +
                           Report.Result.Detail + ")"};
    return Report;
  }

private:
  /// Makes one attempt; true ends the loop.
  bool tryOnce() {
    Report = {};
    const auto Read = readConfiguration(Target);
    if (!Read)
      return retryAfter(Read.Failure);
    Report.Current = Read->Document.Number;
    const auto Recorded = findEdit(Target, Read->Document, Wanted.Id);
    if (!Recorded)
      return retryAfter(Recorded.Failure);
    if (*Recorded)
      return endWith(**Recorded);
    // The document has moved on without the edit, so the write with the old version can't take
    // effect any more.
    if (PendingVersion && *PendingVersion != Read->Version)
      PendingVersion.reset();
    return editRead(*Read);
  }

  bool editRead(const StoredConfiguration &Read) {
    if (!Base)
      Base = Read.Document.Number;
    if (*Base > Read.Document.Number)
      return refuse(Read, {common::ResultCode::RevisionUnknown,
                           "the newest revision is " + std::to_string(Read.Document.Number)});
    if (*Base < Read.Document.Number) {
      const auto Since = readHistory(Target, Read.Document, *Base + 1, Read.Document.Number);
      if (!Since)
        return Since.Failure.Code == common::ResultCode::RevisionUnknown
                   ? refuse(Read, Since.Failure)
                   : retryAfter(Since.Failure);
      if (conflicts(*Since))
        return refuse(
            Read, {common::ResultCode::EditConflict,
                   "another edit changed the same part after revision " + std::to_string(*Base)});
    }
    const auto Members = Target.list("members/");
    if (!Members)
      return retryAfter(Members.Failure);
    const auto Edited = common::capture(
        [&] { return applyEdit(Read.Document, Wanted, impl::parseAnnounced(*Members)); });
    return Edited ? write(Read.Version, *Edited) : refuse(Read, Edited.Failure);
  }

  bool write(std::uint64_t Version, const EditedDocument &Edited) {
    for (const AuditEntry &Entry : Edited.Leaving)
      if (!archive(Entry))
        return false;
    Sent = true;
    const auto Written = Target.put(StoreKey, Version, toJson(Edited.Next).dump());
    if (Written) {
      Report.Accepted = Edited.Next.Number;
      Report.Current = Edited.Next.Number;
      Report.Result = {common::ResultCode::Ok, ""};
      return true;
    }
    if (Written.Failure.Code == common::ResultCode::StoreOutcomeUnknown)
      PendingVersion = Version;
    return retryAfter(Written.Failure);
  }

  /// Copies an entry that leaves the document; both keys are written only once, so a copy that is
  /// there already is the same.
  bool archive(const AuditEntry &Entry) {
    const std::string Text = toJson(Entry).dump();
    for (const std::string &Key : {editIdKey(Entry.EditId), auditKey(Entry.Accepted)}) {
      const auto Copied = Target.put(Key, 0, Text);
      if (!Copied && Copied.Failure.Code != common::ResultCode::StoreConflict) {
        // The document was not written, so the edit's own outcome isn't in doubt.
        Report.Result = {common::ResultCode::StoreUnavailable,
                         "copying " + Key + ": " + Copied.Failure.Detail};
        return false;
      }
    }
    return true;
  }

  bool conflicts(const std::vector<AuditEntry> &Since) {
    Report.Conflict = conflictsWith(Wanted.Action, Since);
    if (Report.Conflict.empty())
      return false;
    Report.Concurrent = joinPatches(Since);
    return true;
  }

  bool endWith(const AuditEntry &Recorded) {
    if (!impl::isSameEdit(Recorded, Wanted)) {
      Report.Result = {common::ResultCode::EditConflict,
                       "edit ID " + Wanted.Id + " belongs to revision " +
                           std::to_string(Recorded.Accepted) + ": " + Recorded.Summary};
      Report.Conflict = {Recorded};
      return true;
    }
    Report.Result = {common::ResultCode::Ok, ""};
    Report.Accepted = Recorded.Accepted;
    Report.Repeated = !Sent;
    return true;
  }

  /// Ends the loop. If an earlier write may still be on its way, the same document is written once
  /// more before: its version changes, so the earlier write can't take effect any more.
  bool refuse(const StoredConfiguration &Read, const common::Error &Reason) {
    if (PendingVersion || Resumed) {
      const auto Fenced = Target.put(StoreKey, Read.Version, toJson(Read.Document).dump());
      if (!Fenced)
        return retryAfter(Fenced.Failure);
      PendingVersion.reset();
    }
    Report.Result = Reason;
    return true;
  }

  bool retryAfter(const common::Error &Reason) {
    Report.Result = Reason;
    const bool Permanent = Reason.Code == common::ResultCode::ConfigurationMalformed ||
                           Reason.Code == common::ResultCode::ConfigurationTooLarge;
    return Permanent && !PendingVersion;
  }

  Store &Target;
  Edit Wanted;
  std::optional<Revision> Base;
  bool Resumed;
  std::optional<std::uint64_t> PendingVersion; ///< Version of a write whose outcome is unknown.
  bool Sent = false;
  EditReport Report;
};

/// Applies one edit. Example: `submitEdit(Client, Wanted).Result.Code == ResultCode::Ok`
template <ConfigStore Store>
[[nodiscard]] EditReport submitEdit(Store &Target, const Edit &Wanted,
                                    const SubmitOptions &Options = {}) {
  return EditLoop<Store>(Target, Wanted, Options).run();
}

} // namespace galenarelay::config

#endif // GALENARELAY_CONFIG_EDIT_LOOP_H
