#ifndef GALENARELAY_NODE_NODE_H
#define GALENARELAY_NODE_NODE_H

#include "galenarelay/common/http.h"
#include "galenarelay/common/metrics.h"
#include "galenarelay/membership/member.h"
#include "galenarelay/routing/routing_view.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace galenarelay::node {

/// What a node learns from its settings.
struct NodeOptions {
  membership::Member Self; ///< Data must be bound already; control and admin may have port 0.
  std::vector<common::Endpoint> Seeds; ///< Control addresses of peers; may be empty.
  common::Endpoint Store;              ///< The platform's key-value store.
  std::uint64_t Seed = 1;
};

/// Handles one control datagram of a registered type.
using ControlHandler = std::function<void(const nlohmann::json &Message, common::Endpoint From)>;

/// What balancers and agents share: gossip, configuration, admin endpoints, store registration.
class Node {
public:
  Node(boost::asio::io_context &Io, NodeOptions Options, common::Metrics &Metrics);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// This node's record with its bound addresses.
  [[nodiscard]] const membership::Member &self() const noexcept;
  /// The current view; never null.
  [[nodiscard]] std::shared_ptr<const routing::RoutingView> view() const noexcept;

  /// Called after each change of the view.
  void onViewChange(std::function<void()> Callback);
  /// Handles control messages of one type (the field "t"): locate, found, notfound, register, load.
  void onControl(const std::string &Type, ControlHandler Handler);
  void sendControl(common::Endpoint To, const nlohmann::json &Message);
  /// Adds an admin endpoint. Example: `addRoute("GET", "/v1/flows", Handler)`
  void addRoute(const std::string &Method, const std::string &Path, common::HttpHandler Handler);

  /// Binds, joins through seeds and the store, and starts gossip.
  void start();
  /// Announces a new state or new residual services with a higher incarnation where needed.
  void announce(membership::MemberState State, std::vector<std::string> Residual = {});
  /// Announces the end of this member and removes its store record; completes when done.
  [[nodiscard]] boost::asio::awaitable<void> leave();
  /// Stops timers and sockets.
  void stop();

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace galenarelay::node

#endif // GALENARELAY_NODE_NODE_H
