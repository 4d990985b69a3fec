#ifndef GALENARELAY_CONFIG_CONFIGURATION_H
#define GALENARELAY_CONFIG_CONFIGURATION_H

#include "galenarelay/common/endpoint.h"
#include "galenarelay/common/error.h"
#include "galenarelay/common/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace galenarelay::config {

/// Store key of the configuration document.
inline constexpr const char *ConfigurationKey = "config";
/// Maximum audit entries inside the document; older ones are stored under audit/<revision>.
inline constexpr std::size_t MaxAuditEntries = 50;
/// Maximum size of the document, in bytes: the store's limit on a value.
inline constexpr std::size_t MaxDocumentBytes = 1'000'000;

using Revision = std::uint64_t;
using UpstreamId = std::string;
using ServiceName = std::string;
using Labels = std::map<std::string, std::string>;

/// A service: the address that callers connect to and the selector of the upstreams that may serve
/// it.
struct Service {
  common::Endpoint Address;
  std::string Selector;
  common::Duration DefaultDeadline = std::chrono::seconds(10); ///< For requests that set none.

  friend bool operator==(const Service &, const Service &) = default;
};

/// One accepted edit in the audit trail.
struct AuditEntry {
  std::string EditId;
  std::string Author;
  std::int64_t TimeMs = 0; ///< Wall clock, milliseconds since 1970 UTC.
  Revision AcceptedRevision = 0;
  std::string Summary;
  nlohmann::json Patch; ///< JSON patch (RFC 6902) from the previous revision.

  friend bool operator==(const AuditEntry &, const AuditEntry &) = default;
};

/// The configuration document at one revision.
struct Configuration {
  Revision RevisionNumber = 0;
  std::map<ServiceName, Service> Services;
  std::map<UpstreamId, Labels> UpstreamLabels;
  std::vector<AuditEntry> AuditEntries; ///< Oldest first, at most MaxAuditEntries.

  friend bool operator==(const Configuration &, const Configuration &) = default;
};

/// Serializes an audit entry to the JSON form that is used in the document and under
/// audit/<revision>.
[[nodiscard]] nlohmann::json toJson(const AuditEntry &Value);

/// Parses the JSON form of an audit entry. Errors: ConfigurationMalformed.
[[nodiscard]] common::Result<AuditEntry> auditEntryFromJson(const nlohmann::json &Document);

/// Serializes the document to its JSON form.
[[nodiscard]] nlohmann::json toJson(const Configuration &Value);

/// Parses the JSON form of the document. Errors: ConfigurationMalformed.
[[nodiscard]] common::Result<Configuration> configurationFromJson(const nlohmann::json &Document);

/// Tells whether the service's selector matches the upstream with the given ID and zone and its
/// labels in the document. A selector that can't be parsed matches nothing.
[[nodiscard]] bool isEligible(const Service &Definition, const Configuration &Document,
                              const UpstreamId &Id, const std::string &Zone);

} // namespace galenarelay::config

#endif // GALENARELAY_CONFIG_CONFIGURATION_H
