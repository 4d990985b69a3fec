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

/// Maximum attempts to submit one edit. Each attempt makes at least one call to the store.
inline constexpr std::uint32_t MaxAttempts = 12;
/// Maximum archived audit entries that one command reads; each takes its own call to the store.
inline constexpr std::size_t MaxArchivedReads = 1000;

/// Store key, by revision, of an audit entry that was moved out of the document.
[[nodiscard]] std::string auditKey(Revision Number);
/// Store key, by edit ID, of an audit entry that was moved out of the document.
[[nodiscard]] std::string editIdKey(const std::string &EditId);

/// Outcome of submitting an edit. Result is Ok if and only if the history contains the edit at
/// revision AcceptedRevision.
struct EditReport {
  common::Error Result;
  Revision AcceptedRevision = 0;
  bool AlreadyAccepted = false;               ///< The edit was accepted before this call.
  Revision NewestRevision = 0;                ///< Newest revision read or written.
  std::vector<AuditEntry> ConflictingEntries; ///< For EditConflict: the other edits, oldest first.
  nlohmann::json ConcurrentPatch; ///< For EditConflict: JSON patch from the base to NewestRevision.
};

/// Options of submitEdit.
struct SubmitOptions {
  /// Revision that the edit is based on: later edits of the same part conflict with it. Default:
  /// the revision that the first attempt reads.
  std::optional<Revision> BaseRevision;
  bool MayHavePendingWrite = false; ///< An earlier command may have sent a write of this edit.

  friend bool operator==(const SubmitOptions &, const SubmitOptions &) = default;
};

/// The configuration document and its version in the store. Both the version's number and the
/// revision are 0 if the store has no document.
struct StoredConfiguration {
  StoreVersion Version;
  Configuration Document;
};

namespace impl {

/// Parses the document; a missing key gives an empty one. Errors: ConfigurationMalformed.
[[nodiscard]] common::Outcome<StoredConfiguration>
parseStoredConfiguration(const StoredValue &Value);
/// Parses an audit entry stored outside the document. Errors: ConfigurationMalformed.
[[nodiscard]] common::Outcome<AuditEntry> parseArchivedEntry(const StoredValue &Value);
/// Returns the agents among the member records; skips records that can't be parsed.
[[nodiscard]] std::vector<AnnouncedUpstream>
parseAnnouncedUpstreams(const std::vector<StoredValue> &MemberRecords);
/// Tells whether a recorded edit with the same ID has the same author and action as the requested
/// edit.
[[nodiscard]] bool isSameEdit(const AuditEntry &RecordedEntry, const Edit &RequestedEdit);

} // namespace impl

/// Reads the configuration document. Errors: ConfigurationMalformed and those of the store's get.
template <ConfigStore Store>
[[nodiscard]] common::Outcome<StoredConfiguration> readConfiguration(Store &Client) {
  const auto Value = Client.get(ConfigurationKey);
  if (!Value)
    return {std::nullopt, Value.Failure};
  return impl::parseStoredConfiguration(*Value);
}

/// Finds an edit by its ID in the document or in the archive. The inner optional is empty if
/// neither contains it. Errors: ConfigurationMalformed and those of the store's get.
template <ConfigStore Store>
[[nodiscard]] common::Outcome<std::optional<AuditEntry>>
findEdit(Store &Client, const Configuration &Document, const std::string &EditId) {
  for (const AuditEntry &Entry : Document.AuditEntries)
    if (Entry.EditId == EditId)
      return {std::optional(Entry), {}};
  // Reading the archive after the document misses no entry: an entry is archived before the
  // document is written without it.
  const auto Value = Client.get(editIdKey(EditId));
  if (!Value)
    return {std::nullopt, Value.Failure};
  if (Value->Version.Number == 0)
    return {std::optional<AuditEntry>(), {}};
  const auto Archived = impl::parseArchivedEntry(*Value);
  if (!Archived)
    return {std::nullopt, Archived.Failure};
  return {std::optional(*Archived), {}};
}

/// Returns the audit entries of revisions First to Last, oldest first. Errors: RevisionUnknown if a
/// revision isn't in the history or more than MaxArchivedReads entries of the range are archived;
/// ConfigurationMalformed and those of the store's get.
template <ConfigStore Store>
[[nodiscard]] common::Outcome<std::vector<AuditEntry>>
readHistory(Store &Client, const Configuration &Document, Revision First, Revision Last) {
  const auto UnknownRevision = [](const std::string &Detail) {
    return common::Outcome<std::vector<AuditEntry>>{std::nullopt,
                                                    {common::ResultCode::RevisionUnknown, Detail}};
  };
  if (First == 0 || Last > Document.RevisionNumber)
    return UnknownRevision("revisions are 1 to " + std::to_string(Document.RevisionNumber));
  const Revision OldestInDocument = Document.RevisionNumber - Document.AuditEntries.size() + 1;
  const bool ReadsArchive = First <= Last && First < OldestInDocument;
  if (ReadsArchive && std::min(Last + 1, OldestInDocument) - First > MaxArchivedReads)
    return UnknownRevision("a command reads at most " + std::to_string(MaxArchivedReads) +
                           " archived entries");
  std::vector<AuditEntry> Entries;
  for (Revision Number = First; Number <= Last; ++Number) {
    if (Number >= OldestInDocument) {
      Entries.push_back(Document.AuditEntries[Number - OldestInDocument]);
      continue;
    }
    const auto Value = Client.get(auditKey(Number));
    if (!Value)
      return {std::nullopt, Value.Failure};
    if (Value->Version.Number == 0)
      return UnknownRevision("revision " + std::to_string(Number) + " isn't in the history");
    const auto Entry = impl::parseArchivedEntry(*Value);
    if (!Entry)
      return {std::nullopt, Entry.Failure};
    Entries.push_back(*Entry);
  }
  return {std::move(Entries), {}};
}

/// Submits one edit: applies it to the document with compare-and-swap and retries. After a lost
/// response, looks for the edit's ID in the history to find out whether the write took effect.
template <ConfigStore Store> class EditSubmitter {
public:
  EditSubmitter(Store &Client, Edit RequestedEdit, SubmitOptions Options)
      : Client(Client), RequestedEdit(std::move(RequestedEdit)), BaseRevision(Options.BaseRevision),
        MayHavePendingWrite(Options.MayHavePendingWrite) {}

  [[nodiscard]] EditReport run() {
    for (std::uint32_t Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
      if (Attempt > 0)
        Client.pause(Attempt);
      if (runAttempt())
        return Report;
    }
    if (PendingVersion)
      Report.Result = {common::ResultCode::StoreOutcomeUnknown,
                       "a write of edit " + RequestedEdit.Id +
                           " may have taken effect; repeat the command with this edit ID (" +
                           Report.Result.Detail + ")"};
    return Report;
  }

private:
  /// Makes one attempt. Returns true if no further attempt is needed.
  bool runAttempt() {
    Report = {};
    const auto Current = readConfiguration(Client);
    if (!Current)
      return recordFailure(Current.Failure);
    Report.NewestRevision = Current->Document.RevisionNumber;
    const auto RecordedEntry = findEdit(Client, Current->Document, RequestedEdit.Id);
    if (!RecordedEntry)
      return recordFailure(RecordedEntry.Failure);
    if (*RecordedEntry)
      return finishWithRecordedEntry(**RecordedEntry);
    // The document's version or its era has changed without the edit, so the pending write, which
    // expects the old one, can no longer take effect.
    if (PendingVersion && *PendingVersion != Current->Version)
      PendingVersion.reset();
    return applyAndWrite(*Current);
  }

  /// Checks for conflicts, applies the edit and writes the document. Returns true if no further
  /// attempt is needed.
  bool applyAndWrite(const StoredConfiguration &Current) {
    if (!BaseRevision)
      BaseRevision = Current.Document.RevisionNumber;
    if (*BaseRevision > Current.Document.RevisionNumber)
      return reject(Current,
                    {common::ResultCode::RevisionUnknown,
                     "the newest revision is " + std::to_string(Current.Document.RevisionNumber)});
    if (*BaseRevision < Current.Document.RevisionNumber) {
      const auto LaterEntries =
          readHistory(Client, Current.Document, *BaseRevision + 1, Current.Document.RevisionNumber);
      if (!LaterEntries)
        return LaterEntries.Failure.Code == common::ResultCode::RevisionUnknown
                   ? reject(Current, LaterEntries.Failure)
                   : recordFailure(LaterEntries.Failure);
      if (reportConflicts(*LaterEntries))
        return reject(Current, {common::ResultCode::EditConflict,
                                "another edit changed the same part after revision " +
                                    std::to_string(*BaseRevision)});
    }
    const auto MemberRecords = Client.list("members/");
    if (!MemberRecords)
      return recordFailure(MemberRecords.Failure);
    const auto Edited = common::capture([&] {
      return applyEdit(Current.Document, RequestedEdit,
                       impl::parseAnnouncedUpstreams(*MemberRecords));
    });
    return Edited ? writeDocument(Current.Version, *Edited) : reject(Current, Edited.Failure);
  }

  /// Archives the entries that no longer fit, then writes the document. Returns true if no further
  /// attempt is needed.
  bool writeDocument(StoreVersion Version, const EditedDocument &Edited) {
    for (const AuditEntry &Entry : Edited.EntriesToArchive)
      if (!archiveEntry(Entry))
        return false;
    WriteSent = true;
    const auto Written = Client.put(ConfigurationKey, Version, toJson(Edited.Next).dump());
    if (Written) {
      Report.AcceptedRevision = Edited.Next.RevisionNumber;
      Report.NewestRevision = Edited.Next.RevisionNumber;
      Report.Result = {common::ResultCode::Ok, ""};
      return true;
    }
    if (Written.Failure.Code == common::ResultCode::StoreOutcomeUnknown)
      PendingVersion = Version;
    return recordFailure(Written.Failure);
  }

  /// Copies an entry that no longer fits the document to its two keys. Each key is written only
  /// once, so an existing copy is identical and a version conflict counts as success.
  bool archiveEntry(const AuditEntry &Entry) {
    const std::string SerializedEntry = toJson(Entry).dump();
    for (const std::string &Key : {editIdKey(Entry.EditId), auditKey(Entry.AcceptedRevision)}) {
      const auto Copied = Client.put(Key, {}, SerializedEntry);
      if (!Copied && Copied.Failure.Code != common::ResultCode::StoreConflict) {
        // The document hasn't been written in this attempt, so an unknown outcome of the copy
        // leaves no doubt about the edit.
        Report.Result = {common::ResultCode::StoreUnavailable,
                         "archiving to " + Key + ": " + Copied.Failure.Detail};
        return false;
      }
    }
    return true;
  }

  /// Reports the later entries that conflict with the edit. Returns true if there are any.
  bool reportConflicts(const std::vector<AuditEntry> &LaterEntries) {
    Report.ConflictingEntries = conflictingEntries(RequestedEdit.Action, LaterEntries);
    if (Report.ConflictingEntries.empty())
      return false;
    Report.ConcurrentPatch = joinPatches(LaterEntries);
    return true;
  }

  /// Reports the outcome from the entry recorded under the edit's ID, which may be another edit.
  bool finishWithRecordedEntry(const AuditEntry &RecordedEntry) {
    if (!impl::isSameEdit(RecordedEntry, RequestedEdit)) {
      Report.Result = {common::ResultCode::EditConflict,
                       "edit ID " + RequestedEdit.Id + " belongs to revision " +
                           std::to_string(RecordedEntry.AcceptedRevision) + ": " +
                           RecordedEntry.Summary};
      Report.ConflictingEntries = {RecordedEntry};
      return true;
    }
    Report.Result = {common::ResultCode::Ok, ""};
    Report.AcceptedRevision = RecordedEntry.AcceptedRevision;
    Report.AlreadyAccepted = !WriteSent;
    return true;
  }

  /// Ends the submission with an error. If an earlier write may still be in flight, first rewrites
  /// the unchanged document: its version changes, so the earlier write can no longer take effect.
  /// Returns false if that rewrite fails and another attempt is needed.
  bool reject(const StoredConfiguration &Current, const common::Error &Cause) {
    if (PendingVersion || MayHavePendingWrite) {
      const auto FencingWrite =
          Client.put(ConfigurationKey, Current.Version, toJson(Current.Document).dump());
      if (!FencingWrite)
        return recordFailure(FencingWrite.Failure);
      PendingVersion.reset();
    }
    Report.Result = Cause;
    return true;
  }

  /// Records the failure of an attempt. Returns true if a retry can't succeed and no write is
  /// pending.
  bool recordFailure(const common::Error &Cause) {
    Report.Result = Cause;
    const bool Permanent = Cause.Code == common::ResultCode::ConfigurationMalformed ||
                           Cause.Code == common::ResultCode::ConfigurationTooLarge;
    return Permanent && !PendingVersion;
  }

  Store &Client;
  Edit RequestedEdit;
  std::optional<Revision> BaseRevision;
  bool MayHavePendingWrite;
  std::optional<StoreVersion> PendingVersion; ///< Version expected by a write of unknown outcome.
  bool WriteSent = false; ///< This submission has sent a write of the edited document.
  EditReport Report;
};

/// Submits one edit. Example: `submitEdit(Client, RequestedEdit).Result.Code == ResultCode::Ok`
template <ConfigStore Store>
[[nodiscard]] EditReport submitEdit(Store &Client, const Edit &RequestedEdit,
                                    const SubmitOptions &Options = {}) {
  return EditSubmitter<Store>(Client, RequestedEdit, Options).run();
}

} // namespace galenarelay::config

#endif // GALENARELAY_CONFIG_EDIT_LOOP_H
