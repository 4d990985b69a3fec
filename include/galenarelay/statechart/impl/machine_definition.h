#ifndef GALENARELAY_STATECHART_IMPL_MACHINE_DEFINITION_H
#define GALENARELAY_STATECHART_IMPL_MACHINE_DEFINITION_H

#include "galenarelay/statechart/chart.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <memory>

namespace galenarelay::statechart::impl {

/// Hands over the chart to interpret.
struct ChartLoaded {
  std::shared_ptr<const ChartTable> Table;
};

/// One event of the chart, as a position in its vocabulary.
struct ChartInput {
  std::uint8_t Event = 0;
};

/// Life of a chart that is interpreted. Boost.MSM refuses inputs before a chart is loaded and after
/// a final state; the rows of the chart itself come from the file.
struct MachineDefinition : boost::msm::front::state_machine_def<MachineDefinition> {
  struct Loading : boost::msm::front::state<> {};
  struct Running : boost::msm::front::state<> {};
  struct Ended : boost::msm::front::state<> {};

  struct Start {
    template <typename Machine, typename Source, typename Target>
    void operator()(const ChartLoaded &Event, Machine &Host, Source &, Target &) const {
      Host.Table = Event.Table;
      Host.Current = Event.Table->Initial;
    }
  };

  struct EntersFinal {
    template <typename Machine, typename Source, typename Target>
    bool operator()(const ChartInput &Input, Machine &Host, Source &, Target &) const {
      return Host.Table->Final[Host.Table->at(Host.Current, Input.Event).Target];
    }
  };

  struct Step {
    template <typename Machine, typename Source, typename Target>
    void operator()(const ChartInput &Input, Machine &Host, Source &, Target &) const {
      Host.Last = &Host.Table->at(Host.Current, Input.Event);
      Host.Current = Host.Last->Target;
    }
  };

  using initial_state = Loading; // NOLINT(readability-identifier-naming): name required by MSM.
  // Without the message queue and the exception handler a machine needs no heap memory of its own.
  using no_message_queue = int;    // NOLINT(readability-identifier-naming): name required by MSM.
  using no_exception_thrown = int; // NOLINT(readability-identifier-naming): name required by MSM.
  using None = boost::msm::front::none;
  // NOLINTNEXTLINE(readability-identifier-naming): name required by MSM.
  struct transition_table
      : boost::mpl::vector<boost::msm::front::Row<Loading, ChartLoaded, Running, Start, None>,
                           boost::msm::front::Row<Running, ChartInput, None, Step, None>,
                           boost::msm::front::Row<Running, ChartInput, Ended, Step, EntersFinal>> {
  };

  template <typename Event, typename Machine>
  // NOLINTNEXTLINE(readability-identifier-naming): name required by MSM.
  void no_transition(const Event &, Machine &Host, int) {
    Host.Last = nullptr;
  }

  std::shared_ptr<const ChartTable> Table;
  std::uint8_t Current = 0;
  const Transition *Last = nullptr;
};

using MachineBackend = boost::msm::back::state_machine<MachineDefinition>;

} // namespace galenarelay::statechart::impl

#endif // GALENARELAY_STATECHART_IMPL_MACHINE_DEFINITION_H
