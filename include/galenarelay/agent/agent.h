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

/// Settings of an Agent.
struct AgentOptions {
  /// The agent mixes Self.Id into the seed, binds its data socket to Self.Data, and sets Kind,
  /// Data, Upstream, Slots and State of Self.
  node::NodeOptions Node;
  common::Endpoint Upstream;
  std::uint32_t Slots = 5;
  /// The fabric's address; packets to callers are sent there.
  common::Endpoint CallerReturnAddress;
  std::shared_ptr<const statechart::ChartTable> LifecycleChart; ///< Parsed charts/upstream.json.
};

/// The agent process next to an upstream: serves flows and runs their requests on the upstream.
class Agent {
public:
  /// Binds the data socket. Throws boost::system::system_error if that fails.
  Agent(boost::asio::io_context &Io, const AgentOptions &Options, common::Metrics &Metrics);
  ~Agent();
  Agent(const Agent &) = delete;
  Agent &operator=(const Agent &) = delete;

  /// This agent's member record with its bound addresses.
  [[nodiscard]] const membership::Member &self() const noexcept;

  void start();
  /// Drains the agent and leaves the membership; OnStopped is called once the process may exit.
  void stop(std::function<void()> OnStopped);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_AGENT_H
