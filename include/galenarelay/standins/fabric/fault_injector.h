#ifndef GALENARELAY_STANDINS_FABRIC_FAULT_INJECTOR_H
#define GALENARELAY_STANDINS_FABRIC_FAULT_INJECTOR_H

#include "galenarelay/common/random.h"
#include "galenarelay/common/time.h"

#include <cstdint>
#include <vector>

namespace galenarelay::standins::fabric {

/// A reordered packet is late by a uniform time up to this, longer than a loopback round trip.
inline constexpr common::Duration MaxReorderDelay = std::chrono::milliseconds(10);

/// What happens to packets, as probabilities per packet, and the delay of every packet.
struct Faults {
  double Loss = 0;
  double Duplicate = 0;
  double Reorder = 0;
  common::Duration Delay{};

  friend bool operator==(const Faults &, const Faults &) = default;
};

/// Decides from a seed which packets are lost, repeated or late.
class FaultInjector {
public:
  explicit FaultInjector(std::uint64_t Seed) : Random(Seed) {}

  [[nodiscard]] const Faults &faults() const noexcept { return Rules; }

  void setFaults(const Faults &Changed) noexcept { Rules = Changed; }
  /// Delays of the copies of one packet that arrive; empty if it is lost.
  [[nodiscard]] std::vector<common::Duration> deliveries() {
    std::vector<common::Duration> Delays;
    const int Copies = happens(Rules.Duplicate) ? 2 : 1;
    for (int I = 0; I < Copies; ++I) {
      if (happens(Rules.Loss))
        continue;
      const auto Late = happens(Rules.Reorder)
                            ? common::uniformBelow(Random, MaxReorderDelay.count() + 1)
                            : std::uint64_t{0};
      Delays.push_back(Rules.Delay + common::Duration(Late));
    }
    return Delays;
  }
  /// Position in a list of Count entries, uniform.
  [[nodiscard]] std::size_t pick(std::size_t Count) { return common::uniformBelow(Random, Count); }
  [[nodiscard]] std::uint32_t initialSequence() { return static_cast<std::uint32_t>(Random()); }

private:
  [[nodiscard]] bool happens(double Probability) {
    return Probability > 0 && common::uniformUnit(Random) < Probability;
  }

  Faults Rules;
  common::Engine Random;
};

} // namespace galenarelay::standins::fabric

#endif // GALENARELAY_STANDINS_FABRIC_FAULT_INJECTOR_H
