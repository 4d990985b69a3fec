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

/// Identity, addresses and seed of a node, as read from its settings.
struct NodeOptions {
  membership::Member Self; ///< Node expects a bound Data; Control, Admin may have port 0.
  std::vector<common::Endpoint> Seeds; ///< Control addresses of peers; may be empty.
  common::Endpoint Store;              ///< The platform's key-value store.
  std::uint64_t Seed = 1;              ///< Of the random engine, together with the ID.
};

/// Handles one control message of a registered type; From is the sender's control address. The
/// message is rejected if the handler throws a nlohmann::json::exception.
using ControlHandler = std::function<void(const nlohmann::json &Message, common::Endpoint From)>;

/// Common part of balancers and agents: gossip membership, configuration updates, admin endpoints
/// and registration in the store.
class Node {
public:
  Node(boost::asio::io_context &Io, NodeOptions Options, common::Metrics &Metrics);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// This node's record with its bound addresses.
  [[nodiscard]] const membership::Member &self() const noexcept;
  /// The current routing view; never null.
  [[nodiscard]] std::shared_ptr<const routing::RoutingView> view() const noexcept;

  /// Adds a callback that is called after each build of the routing view.
  void onViewChange(std::function<void()> Callback);
  /// Sets the handler for control messages of one type (the field "t"): locate, found, notfound,
  /// register, load. Replaces an earlier handler of this type.
  void onControl(const std::string &Type, ControlHandler Handler);
  /// Sends a control message as CBOR in one datagram. A message of more than
  /// membership::MaxDatagramBytes is counted and logged as rejected; before start() and after
  /// stop() it is discarded.
  void sendControl(common::Endpoint To, const nlohmann::json &Message);
  /// Adds an admin endpoint; one that is added before start() overrides the standard endpoint of
  /// the same path. Example: `addRoute("GET", "/v1/flows", Handler)`
  void addRoute(const std::string &Method, const std::string &Path, common::HttpHandler Handler);

  /// Binds the control and admin sockets, starts gossip, and registers in the store and joins
  /// through seeds or the store in the background.
  void start();
  /// Announces a new state or new residual services, with a higher incarnation where needed.
  void announce(membership::MemberState State, std::vector<std::string> Residual = {});
  /// Announces this member as dead, then deletes its store record; completes when both are done or
  /// their limits are reached.
  [[nodiscard]] boost::asio::awaitable<void> leave();
  /// Cancels the timers and closes the control and admin sockets.
  void stop();

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace galenarelay::node

#endif // GALENARELAY_NODE_NODE_H
