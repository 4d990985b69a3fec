#ifndef GALENARELAY_STANDINS_UPSTREAM_UPSTREAM_SERVER_H
#define GALENARELAY_STANDINS_UPSTREAM_UPSTREAM_SERVER_H

#include "galenarelay/common/endpoint.h"
#include "galenarelay/standins/upstream/behaviour.h"
#include "galenarelay/standins/upstream/run_log.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace galenarelay::standins::upstream {

/// HTTP/1.1 upstream for tests and demos. Routes: GET /status, GET /feed?lines=&interval_ms=,
/// POST /orders?work_ms=, POST or PUT /uploads?work_ms=, GET /health, /load, /runs?request=,
/// GET and PUT /control. The work of a request runs only after it got a slot; requests that are
/// refused with Galenarelay-Not-Run leave no run.
class UpstreamServer {
public:
  /// Largest body of POST /orders, in bytes; a larger one closes the connection.
  static constexpr std::size_t MaxOrderBytes = 1024 * 1024;

  /// Binds at once; port 0 takes a free port. Throws boost::system::system_error if it can't bind.
  UpstreamServer(boost::asio::io_context &Io, common::Endpoint Local, Behaviour Initial = {});
  ~UpstreamServer();
  UpstreamServer(const UpstreamServer &) = delete;
  UpstreamServer &operator=(const UpstreamServer &) = delete;

  [[nodiscard]] common::Endpoint local() const noexcept;
  [[nodiscard]] const RunLog &runs() const noexcept;
  [[nodiscard]] const Behaviour &behaviour() const noexcept;

  void setBehaviour(const Behaviour &Changed);
  /// Closes the listening socket and all connections.
  void close();

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace galenarelay::standins::upstream

#endif // GALENARELAY_STANDINS_UPSTREAM_UPSTREAM_SERVER_H
