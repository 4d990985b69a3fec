#ifndef GALENARELAY_STANDINS_STORE_STORE_SERVER_H
#define GALENARELAY_STANDINS_STORE_STORE_SERVER_H

#include "galenarelay/common/http.h"
#include "galenarelay/standins/store/store.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace galenarelay::standins::store {

/// Serves a Store over HTTP, with watches that wait. `GET /v1/stats`, `GET /v1/faults`,
/// `POST /v1/faults` and `GET /healthz` are answered without counting, delay or outage.
class StoreServer {
public:
  /// Binds at once; port 0 takes a free port. Throws boost::system::system_error if it can't bind.
  StoreServer(boost::asio::io_context &Io, common::Endpoint Local, StoreLimits Limits);
  ~StoreServer();
  StoreServer(const StoreServer &) = delete;
  StoreServer &operator=(const StoreServer &) = delete;

  [[nodiscard]] common::Endpoint local() const noexcept;
  /// Stops accepting and ends waiting watches.
  void close();

private:
  struct State;
  std::shared_ptr<State> Shared;
  common::HttpServer Server;
};

} // namespace galenarelay::standins::store

#endif // GALENARELAY_STANDINS_STORE_STORE_SERVER_H
