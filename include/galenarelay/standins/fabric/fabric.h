#ifndef GALENARELAY_STANDINS_FABRIC_FABRIC_H
#define GALENARELAY_STANDINS_FABRIC_FABRIC_H

#include "galenarelay/common/endpoint.h"
#include "galenarelay/common/metrics.h"
#include "galenarelay/standins/fabric/fault_injector.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace galenarelay::standins::fabric {

/// Addresses and behaviour of a stand-in fabric; ports may be 0.
struct FabricOptions {
  common::Endpoint Return; ///< UDP, packets from agents.
  common::Endpoint Admin;  ///< TCP, HTTP with JSON.
  std::vector<common::Endpoint> Services;
  std::vector<common::Endpoint> Balancers;
  Faults Rules;
  std::uint64_t Seed = 1;
};

/// Accepts TCP from real clients, cuts their bytes into packets and sprays these over balancers.
/// Example: `Fabric F(Io, Options, Metrics); Io.run();`
class Fabric {
public:
  /// Binds and listens at once. Throws boost::system::system_error if it can't bind.
  Fabric(boost::asio::io_context &Io, const FabricOptions &Options, common::Metrics &Metrics);
  ~Fabric();
  Fabric(const Fabric &) = delete;
  Fabric &operator=(const Fabric &) = delete;

  [[nodiscard]] common::Endpoint returnAddress() const;
  [[nodiscard]] common::Endpoint admin() const;
  /// Bound service addresses, in the order in which they were added.
  [[nodiscard]] std::vector<common::Endpoint> services() const;

  void setBalancers(std::vector<common::Endpoint> Balancers);
  void setFaults(const Faults &Rules);
  /// Listens on a further service address.
  void addService(common::Endpoint Address);
  /// Closes all sockets.
  void close();

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace galenarelay::standins::fabric

#endif // GALENARELAY_STANDINS_FABRIC_FABRIC_H
