#include "galenarelay/standins/upstream/behaviour.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace galenarelay::standins::upstream {

using common::fail;
using common::ResultCode;

namespace {

constexpr std::array<std::string_view, 3> HealthNames{"truthful", "always_healthy",
                                                      "always_failing"};

HealthReport healthFrom(const std::string &Text) {
  const auto *const Found = std::find(HealthNames.begin(), HealthNames.end(), Text);
  if (Found == HealthNames.end())
    throw nlohmann::json::other_error::create(501, "unknown health report", nullptr);
  return static_cast<HealthReport>(Found - HealthNames.begin());
}

/// Sets one field by its JSON name; false if there is no such field.
bool setField(Behaviour &Target, const std::string &Name, const nlohmann::json &Value) {
  const std::array<std::pair<std::string_view, std::uint32_t *>, 7> Numbers{
      {{"slots", &Target.Slots},
       {"max_waiting", &Target.MaxWaiting},
       {"work_ms", &Target.WorkMs},
       {"status_ms", &Target.StatusMs},
       {"answer_delay_ms", &Target.AnswerDelayMs},
       {"cold_start_ms", &Target.ColdStartMs},
       {"report_lag_ms", &Target.ReportLagMs}}};
  const std::array<std::pair<std::string_view, bool *>, 4> Switches{
      {{"shed", &Target.Shed},
       {"drain", &Target.Drain},
       {"break_connection", &Target.BreakConnection},
       {"end_feeds", &Target.EndFeeds}}};
  for (const auto &[Known, Field] : Numbers)
    if (Known == Name) {
      *Field = Value.get<std::uint32_t>();
      return true;
    }
  for (const auto &[Known, Field] : Switches)
    if (Known == Name) {
      *Field = Value.get<bool>();
      return true;
    }
  if (Name == "cold_factor")
    Target.ColdFactor = Value.get<double>();
  else if (Name == "health")
    Target.Health = healthFrom(Value.get<std::string>());
  else if (Name == "false_busy")
    Target.FalseBusy = Value.is_null() ? std::nullopt : std::optional(Value.get<std::uint32_t>());
  else
    return false;
  return true;
}

} // namespace

nlohmann::json toJson(const Behaviour &Value) {
  nlohmann::json Document{{"slots", Value.Slots},
                          {"max_waiting", Value.MaxWaiting},
                          {"work_ms", Value.WorkMs},
                          {"status_ms", Value.StatusMs},
                          {"answer_delay_ms", Value.AnswerDelayMs},
                          {"cold_start_ms", Value.ColdStartMs},
                          {"cold_factor", Value.ColdFactor},
                          {"shed", Value.Shed},
                          {"drain", Value.Drain},
                          {"break_connection", Value.BreakConnection},
                          {"end_feeds", Value.EndFeeds},
                          {"health", HealthNames[static_cast<std::size_t>(Value.Health)]},
                          {"report_lag_ms", Value.ReportLagMs},
                          {"false_busy", nullptr}};
  if (Value.FalseBusy)
    Document["false_busy"] = *Value.FalseBusy;
  return Document;
}

common::Result<Behaviour> withChanges(Behaviour Current, const nlohmann::json &Changes) {
  if (!Changes.is_object())
    return fail(ResultCode::Usage, "the body must be a JSON object");
  try {
    for (const auto &[Name, Value] : Changes.items())
      if (!setField(Current, Name, Value))
        return fail(ResultCode::Usage, "unknown key '" + Name + "'");
  } catch (const nlohmann::json::exception &Problem) {
    return fail(ResultCode::Usage, Problem.what());
  }
  return Current;
}

} // namespace galenarelay::standins::upstream
