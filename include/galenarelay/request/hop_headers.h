#ifndef GALENARELAY_REQUEST_HOP_HEADERS_H
#define GALENARELAY_REQUEST_HOP_HEADERS_H

#include "galenarelay/request/message.h"

#include <vector>

namespace galenarelay::request {

/// Removes the header fields that concern one connection only: the hop-by-hop fields of RFC 9110,
/// section 7.6.1, and the fields that Connection names. Also removes Expect, which the agent
/// answers itself, and Content-Length, which is kept as the Length member of the message head.
void removeHopHeaders(std::vector<Header> &Headers);

} // namespace galenarelay::request

#endif // GALENARELAY_REQUEST_HOP_HEADERS_H
