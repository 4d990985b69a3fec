#ifndef GALENARELAY_STATECHART_CHART_H
#define GALENARELAY_STATECHART_CHART_H

#include "galenarelay/common/error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenarelay::statechart {

/// Names that the code knows, in the order of its enums.
struct Vocabulary {
  std::span<const std::string_view> States;
  std::span<const std::string_view> Events;
  std::span<const std::string_view> Actions;
};

/// What one event does in one state, as positions in the vocabulary.
struct Transition {
  std::uint8_t Target = 0;
  std::vector<std::uint8_t> Actions;

  friend bool operator==(const Transition &, const Transition &) = default;
};

/// A checked chart: a full table of (state, event) pairs.
struct ChartTable {
  std::string Name;
  std::uint8_t Initial = 0;
  std::vector<bool> Final;             ///< Per state.
  std::vector<Transition> Transitions; ///< Row = state, column = event.
  std::size_t EventCount = 0;

  [[nodiscard]] const Transition &at(std::size_t State, std::size_t Event) const {
    return Transitions[State * EventCount + Event];
  }

  friend bool operator==(const ChartTable &, const ChartTable &) = default;
};

/// Reads a chart and checks it against the vocabulary. Errors: ChartInvalid for an unknown or
/// missing name, a missing (state, event) pair, or a state that can't be reached.
[[nodiscard]] common::Result<ChartTable> chartFromJson(const nlohmann::json &Document,
                                                       const Vocabulary &Known);

/// Reads a chart file. Errors: ChartInvalid, with the path.
[[nodiscard]] common::Result<ChartTable> loadChart(const std::string &Path,
                                                   const Vocabulary &Known);

} // namespace galenarelay::statechart

#endif // GALENARELAY_STATECHART_CHART_H
