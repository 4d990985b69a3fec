#ifndef GALENARELAY_STATECHART_MACHINE_H
#define GALENARELAY_STATECHART_MACHINE_H

#include "galenarelay/statechart/chart.h"
#include "galenarelay/statechart/impl/machine_definition.h"

#include <concepts>
#include <memory>
#include <optional>
#include <type_traits>
#include <utility>
#include <vector>

namespace galenarelay::statechart {

/// The enums of a chart and their names.
template <typename T>
concept ChartDefinition = std::is_enum_v<typename T::State> && std::is_enum_v<typename T::Event> &&
    std::is_enum_v<typename T::Action> && requires {
  { T::vocabulary() } -> std::same_as<Vocabulary>;
};

/// Interprets a chart file for one object.
/// Example: `Machine<UpstreamChart> M(Table); for (auto A : *M.process(Event::Stop)) run(A);`
template <ChartDefinition Definition> class Machine {
public:
  using State = typename Definition::State;
  using Event = typename Definition::Event;
  using Action = typename Definition::Action;

  explicit Machine(std::shared_ptr<const ChartTable> Table) {
    Backend.start();
    Backend.process_event(impl::ChartLoaded{std::move(Table)});
  }

  [[nodiscard]] State state() const noexcept { return static_cast<State>(Backend.Current); }
  [[nodiscard]] bool ended() const { return Backend.Table->Final[Backend.Current]; }

  /// Takes one event; returns the actions in order, or nothing if the machine has ended.
  [[nodiscard]] std::optional<std::vector<Action>> process(Event Input) {
    Backend.Last = nullptr;
    Backend.process_event(impl::ChartInput{static_cast<std::uint8_t>(Input)});
    if (Backend.Last == nullptr)
      return std::nullopt;
    std::vector<Action> Actions;
    Actions.reserve(Backend.Last->Actions.size());
    for (const std::uint8_t Position : Backend.Last->Actions)
      Actions.push_back(static_cast<Action>(Position));
    return Actions;
  }

private:
  impl::MachineBackend Backend;
};

} // namespace galenarelay::statechart

#endif // GALENARELAY_STATECHART_MACHINE_H
