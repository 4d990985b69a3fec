#ifndef GALENARELAY_NODE_IMPL_CONFIGURATION_DIFFERENCE_H
#define GALENARELAY_NODE_IMPL_CONFIGURATION_DIFFERENCE_H

#include "galenarelay/config/configuration.h"

#include <nlohmann/json.hpp>

namespace galenarelay::node::impl {

/// Response body for `GET /v1/config?after=R`: the edits of the current document that were accepted
/// after revision R, or the whole document if it no longer contains all of them, or if R is 0 or
/// newer than the document.
[[nodiscard]] nlohmann::json configurationSince(const config::Configuration &Current,
                                                config::Revision After);

/// Configuration from a response body of configurationSince: the whole document, or Base with the
/// edits applied. Base is the document whose revision the request named. Errors:
/// ConfigurationMalformed; RevisionUnknown if the edits start at another revision or their result
/// differs from the peer's document, in which case the caller requests the whole document.
[[nodiscard]] common::Result<config::Configuration>
configurationFromResponse(const config::Configuration &Base, const nlohmann::json &Response);

} // namespace galenarelay::node::impl

#endif // GALENARELAY_NODE_IMPL_CONFIGURATION_DIFFERENCE_H
