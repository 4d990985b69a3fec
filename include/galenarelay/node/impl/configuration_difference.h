#ifndef GALENARELAY_NODE_IMPL_CONFIGURATION_DIFFERENCE_H
#define GALENARELAY_NODE_IMPL_CONFIGURATION_DIFFERENCE_H

#include "galenarelay/config/configuration.h"

#include <nlohmann/json.hpp>

namespace galenarelay::node::impl {

/// Answer to `GET /v1/config?after=R`: the edits since R, or the whole document if it no longer
/// contains all of them.
[[nodiscard]] nlohmann::json configurationSince(const config::Configuration &Held,
                                                config::Revision After);

/// Reads such an answer; Held is the document that the request's revision named. Errors:
/// ConfigurationMalformed, RevisionUnknown (ask for the whole document).
[[nodiscard]] common::Result<config::Configuration>
readConfiguration(const config::Configuration &Held, const nlohmann::json &Answer);

} // namespace galenarelay::node::impl

#endif // GALENARELAY_NODE_IMPL_CONFIGURATION_DIFFERENCE_H
