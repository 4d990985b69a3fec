#ifndef GALENARELAY_CONFIG_EDIT_H
#define GALENARELAY_CONFIG_EDIT_H

#include "galenarelay/config/configuration.h"
#include "galenarelay/config/validation.h"

#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace galenarelay::config {

/// Maximum length of an edit's author, in bytes.
inline constexpr std::size_t MaxAuthorBytes = 64;

/// Adds a service.
struct CreateService {
  ServiceName Name;
  Service Definition;

  friend bool operator==(const CreateService &, const CreateService &) = default;
};

/// Changes the given fields of a service; the others stay.
struct UpdateService {
  ServiceName Name;
  std::optional<common::Endpoint> Address;
  std::optional<std::string> Selector;
  std::optional<common::Duration> Deadline;

  friend bool operator==(const UpdateService &, const UpdateService &) = default;
};

/// Removes a service.
struct DeleteService {
  ServiceName Name;

  friend bool operator==(const DeleteService &, const DeleteService &) = default;
};

/// Sets labels of an upstream; its other labels stay as they are.
struct SetLabels {
  UpstreamId Id;
  Labels Values;

  friend bool operator==(const SetLabels &, const SetLabels &) = default;
};

/// Removes labels of an upstream.
struct RemoveLabels {
  UpstreamId Id;
  std::vector<std::string> Keys;

  friend bool operator==(const RemoveLabels &, const RemoveLabels &) = default;
};

/// Changes the selector of a service.
struct SetSelector {
  ServiceName Name;
  std::string Selector;

  friend bool operator==(const SetSelector &, const SetSelector &) = default;
};

using EditAction =
    std::variant<CreateService, UpdateService, DeleteService, SetLabels, RemoveLabels, SetSelector>;

/// An edit requested by an operator. The ID is unique: an edit that is submitted again with the
/// same ID is applied at most once.
struct Edit {
  std::string Id;
  std::string Author;
  std::int64_t TimeMs = 0; ///< Wall clock, milliseconds since 1970 UTC.
  EditAction Action;

  friend bool operator==(const Edit &, const Edit &) = default;
};

/// The document that results from an edit, and the audit entries that no longer fit it.
struct EditedDocument {
  Configuration Next;
  /// Oldest first; to be archived before Next is written.
  std::vector<AuditEntry> EntriesToArchive;

  friend bool operator==(const EditedDocument &, const EditedDocument &) = default;
};

/// Describes an action in one line for the audit trail. Example: "selector set desk 'role=desk'".
[[nodiscard]] std::string summary(const EditAction &Action);

/// Returns JSON pointers to what the action sets or removes.
[[nodiscard]] std::vector<std::string> touchedPaths(const EditAction &Action);

/// Returns JSON pointers to what a patch changes. For an added or replaced object, these are the
/// pointers to its leaves.
[[nodiscard]] std::vector<std::string> changedPaths(const nlohmann::json &Patch);

/// Returns those of the later entries that change something the action touches.
[[nodiscard]] std::vector<AuditEntry> conflictingEntries(const EditAction &Action,
                                                         std::span<const AuditEntry> LaterEntries);

/// Returns the JSON patch (RFC 6902) from one document's services and labels to another's.
[[nodiscard]] nlohmann::json diffContents(const Configuration &From, const Configuration &To);

/// Concatenates the patches of consecutive entries into one JSON patch.
[[nodiscard]] nlohmann::json joinPatches(std::span<const AuditEntry> Entries);

/// Applies an edit to a document, records it in the audit trail and checks the result. Errors:
/// NameSyntax, LabelSyntax, LabelUnknown, SelectorSyntax, ServiceUnknown, ServiceExists,
/// ServiceAddressInUse, UpstreamUnknown, UpstreamOverlap, ServiceWithoutUpstream,
/// ConfigurationTooLarge, Usage.
[[nodiscard]] common::Result<EditedDocument>
applyEdit(const Configuration &Base, const Edit &RequestedEdit,
          const std::vector<AnnouncedUpstream> &Announced);

/// Applies the edits of Known that Stored lacks to Stored, in their order and under new revisions:
/// the store has been restored from a copy without them, and may have accepted others since. An
/// edit that no longer applies is recorded without a change, so that its author learns of it.
/// Returns Stored if it lacks none. Errors: ConfigurationTooLarge.
[[nodiscard]] common::Result<EditedDocument>
reapplyLostEdits(const Configuration &Stored, const Configuration &Known,
                 const std::vector<AnnouncedUpstream> &Announced);

} // namespace galenarelay::config

#endif // GALENARELAY_CONFIG_EDIT_H
