#ifndef GALENARELAY_CONFIG_VALIDATION_H
#define GALENARELAY_CONFIG_VALIDATION_H

#include "galenarelay/config/configuration.h"

#include <string>
#include <vector>

namespace galenarelay::config {

/// Longest deadline that a service may set for requests that state none.
inline constexpr common::Duration MaxDeadline = std::chrono::hours(1);

/// An upstream that has announced itself.
struct KnownUpstream {
  UpstreamId Id;
  std::string Zone;

  friend bool operator==(const KnownUpstream &, const KnownUpstream &) = default;
};

/// Checks a service on its own. Errors: NameSyntax, SelectorSyntax, Usage (address or deadline).
[[nodiscard]] common::Result<void> checkService(const ServiceName &Name, const Service &Definition);

/// Checks an edited document against the one before. Errors: SelectorSyntax, ServiceAddressInUse,
/// UpstreamOverlap, ServiceWithoutUpstream.
[[nodiscard]] common::Result<void> checkEdited(const Configuration &Before,
                                               const Configuration &After,
                                               const std::vector<KnownUpstream> &Announced);

} // namespace galenarelay::config

#endif // GALENARELAY_CONFIG_VALIDATION_H
