#include "galenarelay/node/node.h"

#include "galenarelay/node/impl/runtime.h"

namespace galenarelay::node {

struct Node::State {
  std::shared_ptr<impl::Runtime> Shared; ///< Shared with the coroutines that it has started.
};

Node::Node(boost::asio::io_context &Io, NodeOptions Options, common::Metrics &Metrics)
    : Impl(std::make_unique<State>()) {
  Impl->Shared = std::make_shared<impl::Runtime>(Io, std::move(Options), Metrics);
}

Node::~Node() { Impl->Shared->stop(); }

const membership::Member &Node::self() const noexcept { return Impl->Shared->self(); }

std::shared_ptr<const routing::RoutingView> Node::view() const noexcept {
  return Impl->Shared->view();
}

void Node::onViewChange(std::function<void()> Callback) {
  Impl->Shared->onViewChange(std::move(Callback));
}

void Node::onControl(const std::string &Type, ControlHandler Handler) {
  Impl->Shared->onControl(Type, std::move(Handler));
}

void Node::sendControl(common::Endpoint To, const nlohmann::json &Message) {
  Impl->Shared->sendControl(To, Message);
}

void Node::addRoute(const std::string &Method, const std::string &Path,
                    common::HttpHandler Handler) {
  Impl->Shared->addRoute(Method, Path, std::move(Handler));
}

void Node::start() { Impl->Shared->start(); }

void Node::announce(membership::MemberState State, std::vector<std::string> Residual) {
  Impl->Shared->announce(State, std::move(Residual));
}

boost::asio::awaitable<void> Node::leave() { return Impl->Shared->leave(); }

void Node::stop() { Impl->Shared->stop(); }

} // namespace galenarelay::node
