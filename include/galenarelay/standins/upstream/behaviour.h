#ifndef GALENARELAY_STANDINS_UPSTREAM_BEHAVIOUR_H
#define GALENARELAY_STANDINS_UPSTREAM_BEHAVIOUR_H

#include "galenarelay/common/error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>

namespace galenarelay::standins::upstream {

/// What GET /health reports.
enum class HealthReport : std::uint8_t { Truthful, AlwaysHealthy, AlwaysFailing };

/// What PUT /control changes; times in milliseconds.
struct Behaviour {
  std::uint32_t Slots = 5;
  std::uint32_t MaxWaiting = 100;  ///< Requests that wait for a slot; more are shed.
  std::uint32_t WorkMs = 0;        ///< Work of an order or upload without ?work_ms=.
  std::uint32_t StatusMs = 0;      ///< Work of GET /status.
  std::uint32_t AnswerDelayMs = 0; ///< Time between the end of the work and the answer.
  std::uint32_t ColdStartMs = 0;   ///< Length of the cold start after the process start.
  double ColdFactor = 1;           ///< Work takes this many times as long in the cold start.
  bool Shed = false;               ///< Answers each request with 503 and Galenarelay-Not-Run: 1.
  bool Drain = false;              ///< As Shed, and reports itself as failing.
  bool BreakConnection = false;    ///< Runs requests, then closes the connection without an answer.
  bool EndFeeds = false;           ///< Running feeds end after their next line.
  HealthReport Health = HealthReport::Truthful;
  std::uint32_t ReportLagMs = 0;          ///< /health and /load report the state of that time ago.
  std::optional<std::uint32_t> FalseBusy; ///< Busy slots that /load reports instead of the truth.

  friend bool operator==(const Behaviour &, const Behaviour &) = default;
};

[[nodiscard]] nlohmann::json toJson(const Behaviour &Value);

/// Applies the keys of a JSON object to a behaviour; other keys keep their values.
/// Errors: Usage for an unknown key or a value of the wrong type.
[[nodiscard]] common::Result<Behaviour> withChanges(Behaviour Current,
                                                    const nlohmann::json &Changes);

} // namespace galenarelay::standins::upstream

#endif // GALENARELAY_STANDINS_UPSTREAM_BEHAVIOUR_H
