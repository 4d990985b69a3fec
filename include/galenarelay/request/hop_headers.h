#ifndef GALENARELAY_REQUEST_HOP_HEADERS_H
#define GALENARELAY_REQUEST_HOP_HEADERS_H

#include "galenarelay/request/message.h"

#include <vector>

namespace galenarelay::request {

/// Removes the headers that concern one connection only: those of RFC 9110, section 7.6.1, those
/// named in Connection, Expect (answered by the agent) and Content-Length (kept as a field).
void removeHopHeaders(std::vector<Header> &Headers);

} // namespace galenarelay::request

#endif // GALENARELAY_REQUEST_HOP_HEADERS_H
