#ifndef GALENARELAY_CONFIG_VALIDATION_H
#define GALENARELAY_CONFIG_VALIDATION_H

#include "galenarelay/config/configuration.h"

#include <string>
#include <vector>

namespace galenarelay::config {

/// Maximum deadline that a service may set for requests without their own.
inline constexpr common::Duration MaxDeadline = std::chrono::hours(1);

/// An upstream that has announced itself in a member record.
struct AnnouncedUpstream {
  UpstreamId Id;
  std::string Zone;

  friend bool operator==(const AnnouncedUpstream &, const AnnouncedUpstream &) = default;
};

/// Checks one service without regard to the rest of the document. Errors: NameSyntax,
/// SelectorSyntax, Usage (address or deadline).
[[nodiscard]] common::Result<void> checkService(const ServiceName &Name, const Service &Definition);

/// Checks an edited document against the previous one. Errors: SelectorSyntax, ServiceAddressInUse,
/// UpstreamOverlap, ServiceWithoutUpstream.
[[nodiscard]] common::Result<void>
checkEditedDocument(const Configuration &Before, const Configuration &After,
                    const std::vector<AnnouncedUpstream> &Announced);

} // namespace galenarelay::config

#endif // GALENARELAY_CONFIG_VALIDATION_H
