#include "galenarelay/node/node.h"

#include "galenarelay/node/impl/runtime.h"

namespace galenarelay::node {

struct Node::Implementation {
  std::shared_ptr<impl::Runtime> NodeRuntime; ///< Co-owned by the coroutines that it has started.
};

Node::Node(boost::asio::io_context &Io, NodeOptions Options, common::Metrics &Metrics)
    : Impl(std::make_unique<Implementation>()) {
  Impl->NodeRuntime = std::make_shared<impl::Runtime>(Io, std::move(Options), Metrics);
}

Node::~Node() { Impl->NodeRuntime->stop(); }

const membership::Member &Node::self() const noexcept { return Impl->NodeRuntime->self(); }

std::shared_ptr<const routing::RoutingView> Node::view() const noexcept {
  return Impl->NodeRuntime->view();
}

void Node::onViewChange(std::function<void()> Callback) {
  Impl->NodeRuntime->onViewChange(std::move(Callback));
}

void Node::onControl(const std::string &Type, ControlHandler Handler) {
  Impl->NodeRuntime->onControl(Type, std::move(Handler));
}

void Node::sendControl(common::Endpoint To, const nlohmann::json &Message) {
  Impl->NodeRuntime->sendControl(To, Message);
}

void Node::addRoute(const std::string &Method, const std::string &Path,
                    common::HttpHandler Handler) {
  Impl->NodeRuntime->addRoute(Method, Path, std::move(Handler));
}

void Node::start() { Impl->NodeRuntime->start(); }

void Node::announce(membership::MemberState State, std::vector<std::string> Residual) {
  Impl->NodeRuntime->announce(State, std::move(Residual));
}

boost::asio::awaitable<void> Node::leave() { return Impl->NodeRuntime->leave(); }

void Node::stop() { Impl->NodeRuntime->stop(); }

} // namespace galenarelay::node
