#ifndef GALENARELAY_AGENT_CLAIM_DESK_H
#define GALENARELAY_AGENT_CLAIM_DESK_H

#include "galenarelay/agent/dispatcher.h"
#include "galenarelay/node/node.h"
#include "galenarelay/request/key_claims.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace galenarelay::agent {

/// Connects the state of idempotency key claims (request::KeyClaims) with the dispatcher, the
/// node's control messages and a timer.
class ClaimCoordinator {
public:
  /// Sets the dispatcher's claim hooks and the handlers of the node's claim messages.
  ClaimCoordinator(boost::asio::io_context &Io, node::Node &Node, Dispatcher &RequestDispatcher);
  /// Removes the hooks, because flows that outlive this object still cancel their requests.
  ~ClaimCoordinator() { RequestDispatcher.setClaimHooks({}); }
  ClaimCoordinator(const ClaimCoordinator &) = delete;
  ClaimCoordinator &operator=(const ClaimCoordinator &) = delete;

  /// True while the outcome of a request still has to reach a replica.
  [[nodiscard]] bool busy() const noexcept { return Claims.hasPendingWork(); }

  void onViewChange(std::shared_ptr<const routing::RoutingView> View);
  void stop();

private:
  void apply(const std::vector<request::ClaimAction> &Actions);
  void apply(const flow::SendControl &Action);
  void apply(const request::ClaimGranted &Action);
  void apply(const request::ClaimDenied &Action);
  void apply(const request::ClaimFailed &Action);
  [[nodiscard]] ClaimHooks makeHooks();
  void armTimer();

  node::Node &Node;
  Dispatcher &RequestDispatcher;
  request::KeyClaims Claims;
  boost::asio::steady_timer Timer;
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_CLAIM_DESK_H
