#ifndef GALENARELAY_AGENT_AGENT_H
#define GALENARELAY_AGENT_AGENT_H

#include "galenarelay/common/endpoint.h"
#include "galenarelay/common/metrics.h"
#include "galenarelay/membership/member.h"
#include "galenarelay/node/node.h"
#include "galenarelay/statechart/chart.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace galenarelay::agent {

/// Settings of an agent.
struct AgentOptions {
  node::NodeOptions Node; ///< The seed is mixed with the ID; the agent fills in the rest of Self.
  common::Endpoint Upstream;
  std::uint32_t Slots = 5;
  common::Endpoint Return; ///< The fabric's address for packets to callers.
  std::shared_ptr<const statechart::ChartTable> LifecycleChart; ///< charts/upstream.json.
};

/// The process beside an upstream: serves flows and runs their requests on the upstream.
class Agent {
public:
  /// Binds the data socket. Throws boost::system::system_error if it can't bind.
  Agent(boost::asio::io_context &Io, const AgentOptions &Options, common::Metrics &Metrics);
  ~Agent();
  Agent(const Agent &) = delete;
  Agent &operator=(const Agent &) = delete;

  /// This agent's member record with its bound addresses.
  [[nodiscard]] const membership::Member &self() const noexcept;

  void start();
  /// Drains and leaves; Left is called once the process may exit.
  void stop(std::function<void()> Left);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_AGENT_H
