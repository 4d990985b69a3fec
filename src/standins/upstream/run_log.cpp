#include "galenarelay/standins/upstream/run_log.h"

#include <algorithm>
#include <array>

namespace galenarelay::standins::upstream {

using common::TimePoint;

namespace {

constexpr std::array<std::string_view, 5> OutcomeNames{"running", "answered", "cancelled",
                                                       "deadline", "broken"};

nlohmann::json runToJson(const Run &Value) {
  nlohmann::json Document{{"run", Value.Number},
                          {"request_id", Value.RequestId},
                          {"method", Value.Method},
                          {"target", Value.Target},
                          {"start_us", Value.Start.time_since_epoch().count()},
                          {"outcome", name(Value.Outcome)}};
  if (Value.Outcome != RunOutcome::Running)
    Document["end_us"] = Value.End.time_since_epoch().count();
  return Document;
}

} // namespace

std::string_view name(RunOutcome Outcome) noexcept {
  return OutcomeNames[static_cast<std::size_t>(Outcome)];
}

std::size_t RunLog::count(std::string_view RequestId) const noexcept {
  return static_cast<std::size_t>(std::count_if(
      Runs.begin(), Runs.end(), [&](const Run &Value) { return Value.RequestId == RequestId; }));
}

nlohmann::json RunLog::toJson(std::string_view RequestId) const {
  nlohmann::json List = nlohmann::json::array();
  for (const Run &Value : Runs)
    if (RequestId.empty() || Value.RequestId == RequestId)
      List.push_back(runToJson(Value));
  return {{"runs", List}, {"dropped", Dropped}};
}

std::uint64_t RunLog::start(std::string RequestId, std::string Method, std::string Target,
                            TimePoint Now) {
  Run Started;
  Started.Number = Dropped + Runs.size() + 1;
  Started.RequestId = std::move(RequestId);
  Started.Method = std::move(Method);
  Started.Target = std::move(Target);
  Started.Start = Now;
  const std::uint64_t Number = Started.Number;
  Runs.push_back(std::move(Started));
  if (Runs.size() > MaxRuns) {
    Runs.pop_front();
    ++Dropped;
  }
  return Number;
}

void RunLog::end(std::uint64_t Number, RunOutcome Outcome, TimePoint Now) {
  if (Number <= Dropped)
    return;
  Run &Ended = Runs.at(Number - Dropped - 1);
  Ended.Outcome = Outcome;
  Ended.End = Now;
}

} // namespace galenarelay::standins::upstream
