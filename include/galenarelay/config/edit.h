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

/// Longest author text, in bytes.
inline constexpr std::size_t MaxAuthorBytes = 64;

/// Adds a service.
struct CreateService {
  ServiceName Name;
  Service Definition;

  friend bool operator==(const CreateService &, const CreateService &) = default;
};

/// Changes the given fields of a service.
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

/// Sets labels of an upstream; its other labels stay.
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

/// One operator's edit. Its ID is unique; repeating an edit with its ID applies it at most once.
struct Edit {
  std::string Id;
  std::string Author;
  std::int64_t TimeMs = 0; ///< Wall clock, milliseconds since 1970 UTC.
  EditAction Action;

  friend bool operator==(const Edit &, const Edit &) = default;
};

/// The document that an edit leads to, and the audit entries that no longer fit into it.
struct EditedDocument {
  Configuration Next;
  std::vector<AuditEntry> Leaving; ///< Oldest first; copy them before Next is written.

  friend bool operator==(const EditedDocument &, const EditedDocument &) = default;
};

/// One line for the audit trail. Example: "selector set desk 'role=desk'".
[[nodiscard]] std::string summary(const EditAction &Action);

/// JSON pointers of what the action sets or removes.
[[nodiscard]] std::vector<std::string> touchedPaths(const EditAction &Action);

/// JSON pointers of what a patch changes; an added or replaced object counts as its leaves.
[[nodiscard]] std::vector<std::string> changedPaths(const nlohmann::json &Patch);

/// The entries among Since that change something that the action touches.
[[nodiscard]] std::vector<AuditEntry> conflictsWith(const EditAction &Action,
                                                    std::span<const AuditEntry> Since);

/// JSON patch (RFC 6902) from one document's services and labels to another's.
[[nodiscard]] nlohmann::json difference(const Configuration &From, const Configuration &To);

/// The patches of consecutive entries as one JSON patch.
[[nodiscard]] nlohmann::json joinPatches(std::span<const AuditEntry> Entries);

/// Applies an edit to a document and checks the result. Errors: NameSyntax, LabelSyntax,
/// LabelUnknown, SelectorSyntax, ServiceUnknown, ServiceExists, ServiceAddressInUse,
/// UpstreamUnknown, UpstreamOverlap, ServiceWithoutUpstream, ConfigurationTooLarge, Usage.
[[nodiscard]] common::Result<EditedDocument> applyEdit(const Configuration &Base,
                                                       const Edit &Wanted,
                                                       const std::vector<KnownUpstream> &Announced);

} // namespace galenarelay::config

#endif // GALENARELAY_CONFIG_EDIT_H
