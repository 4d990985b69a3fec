#include "galenarelay/node/impl/capacity_metrics.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace galenarelay::node::impl {

namespace {

double answerSeconds(const relay::policy::LearnedCapacity &Learned) {
  return std::chrono::duration<double>(Learned.figure().AnswerTime).count();
}

} // namespace

CapacityMetrics::CapacityMetrics(common::Metrics &Metrics)
    : DeclaredGauge(Metrics.gauge("upstream_declared_slots", "Slots that the upstream declares")),
      LearnedGauge(Metrics.gauge("upstream_learned_capacity",
                                 "Requests in progress that the upstream takes well")),
      AnswerTimeGauge(
          Metrics.gauge("upstream_answer_time_seconds",
                        "Learned time to answer a request while slots are free; 0 if unknown")),
      ChangeCounter(Metrics.counter("upstream_capacity_changes_total",
                                    "Changes of the learned capacity or speed", {})) {}

void CapacityMetrics::update(const relay::policy::LearnedCapacity &Learned, common::TimePoint Now) {
  DeclaredGauge.Set(Learned.declared());
  LearnedGauge.Set(Learned.learned());
  AnswerTimeGauge.Set(answerSeconds(Learned));
  const std::uint64_t New = Learned.changes() - std::exchange(SeenChanges, Learned.changes());
  if (New == 0)
    return;
  ChangeCounter.Increment(static_cast<double>(New));
  const std::uint32_t Before = std::exchange(LastCapacity, Learned.learned());
  if (LogLimiter.allow(Now))
    common::log(common::LogLevel::Info, "capacity_changed",
                {{"before", Before},
                 {"capacity", Learned.learned()},
                 {"declared", Learned.declared()},
                 {"answer_ms", answerSeconds(Learned) * 1000},
                 {"crowding_harms", Learned.crowdingHarms()},
                 {"reason", name(Learned.lastChange())}});
}

std::string describeCapacity(const relay::UpstreamFlows &Flows) {
  const auto *Learned = Flows.learnedCapacity();
  if (Learned == nullptr)
    return nlohmann::json{{"learning", false}}.dump();
  return nlohmann::json{{"learning", true},
                        {"declared", Learned->declared()},
                        {"learned", Learned->learned()},
                        {"limit", Learned->limit(Learned->declared())},
                        {"in_progress", Learned->inProgress()},
                        {"in_trial", Learned->inTrial()},
                        {"crowding_harms", Learned->crowdingHarms()},
                        {"answer_ms", answerSeconds(*Learned) * 1000},
                        {"last_change", name(Learned->lastChange())}}
      .dump();
}

} // namespace galenarelay::node::impl
