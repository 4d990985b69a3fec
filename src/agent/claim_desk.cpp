#include "galenarelay/agent/claim_desk.h"

#include <utility>

namespace galenarelay::agent {

namespace asio = boost::asio;
using common::steadyNow;
using request::RequestId;

ClaimCoordinator::ClaimCoordinator(asio::io_context &Io, node::Node &Node,
                                   Dispatcher &RequestDispatcher)
    : Node(Node), RequestDispatcher(RequestDispatcher),
      Claims(Node.self().Id, static_cast<std::uint64_t>(common::wallMilliseconds())), Timer(Io) {
  for (const char *Type : {"claim", "claimed", "settle", "settled", "claims"})
    Node.onControl(Type, [this](const nlohmann::json &Message, common::Endpoint From) {
      apply(Claims.onControl(Message, From, steadyNow()));
    });
  RequestDispatcher.setClaimHooks(makeHooks());
}

ClaimHooks ClaimCoordinator::makeHooks() {
  ClaimHooks Hooks;
  Hooks.Claim = [this](RequestId Id, request::ClaimKey Key, std::uint64_t Fingerprint) {
    apply(Claims.claim(Id, std::move(Key), Fingerprint, steadyNow()));
  };
  Hooks.Settle = [this](RequestId Id, request::ClaimState State, unsigned Status,
                        std::string ContentType, std::string Body) {
    apply(Claims.settle(Id, State, Status, std::move(ContentType), std::move(Body), steadyNow()));
  };
  Hooks.Release = [this](RequestId Id) { apply(Claims.release(Id, steadyNow())); };
  return Hooks;
}

void ClaimCoordinator::onViewChange(std::shared_ptr<const routing::RoutingView> View) {
  apply(Claims.onViewChange(std::move(View), steadyNow()));
}

void ClaimCoordinator::stop() { Timer.cancel(); }

void ClaimCoordinator::apply(const std::vector<request::ClaimAction> &Actions) {
  for (const request::ClaimAction &Action : Actions)
    std::visit([this](const auto &TypedAction) { apply(TypedAction); }, Action);
  armTimer();
}

void ClaimCoordinator::apply(const flow::SendControl &Action) {
  Node.sendControl(Action.Control, Action.Message);
}

void ClaimCoordinator::apply(const request::ClaimGranted &Action) {
  RequestDispatcher.onClaimGranted(Action.Request);
}

void ClaimCoordinator::apply(const request::ClaimDenied &Action) {
  RequestDispatcher.onClaimDenied(Action.Request, Action.Holder);
}

void ClaimCoordinator::apply(const request::ClaimFailed &Action) {
  RequestDispatcher.onClaimFailed(Action.Request);
}

void ClaimCoordinator::armTimer() {
  const auto Next = Claims.nextTimer();
  if (!Next)
    return;
  Timer.expires_at(std::chrono::steady_clock::time_point(Next->time_since_epoch()));
  Timer.async_wait([this](const auto &Failure) {
    if (!Failure)
      apply(Claims.onTimer(steadyNow()));
  });
}

} // namespace galenarelay::agent
