#ifndef GALENARELAY_COMMON_RESULT_CODE_H
#define GALENARELAY_COMMON_RESULT_CODE_H

#include <cstdint>
#include <span>
#include <string_view>

namespace galenarelay::common {

/// Numbered results of the system; also the exit codes of its programs.
enum class ResultCode : std::uint8_t {
  Ok = 0,
  Internal = 1,
  Usage = 2,
  SettingsUnreadable = 10,
  SettingsSyntax = 11,
  SettingsUnknownSection = 12,
  SettingsUnknownKey = 13,
  SettingsBadValue = 14,
  SettingsMissingKey = 15,
  StoreUnavailable = 20,
  StoreConflict = 21,
  StoreOutcomeUnknown = 22,
  StoreRateLimited = 23,
  StoreBadAnswer = 24,
  StoreKeyNotFound = 25,
  StoreHistoryGone = 26,
  StoreEraEnded = 27,
  SelectorSyntax = 30,
  LabelSyntax = 31,
  ServiceUnknown = 32,
  ServiceExists = 33,
  ServiceAddressInUse = 34,
  ServiceWithoutUpstream = 35,
  UpstreamOverlap = 36,
  RevisionUnknown = 37,
  EditConflict = 38,
  UpstreamUnknown = 39,
  ConfigurationMalformed = 40,
  RevisionRegression = 41,
  NotInForce = 42,
  NameSyntax = 43,
  ConfigurationTooLarge = 44,
  LabelUnknown = 45,
  PacketMalformed = 50,
  PacketUnknownService = 51,
  PacketWrongService = 52,
  PacketHopLimit = 53,
  FlowUnknown = 54,
  NoUpstream = 55,
  FlowTableFull = 56,
  RequestMalformed = 60,
  RequestQueueFull = 61,
  RequestDeadline = 62,
  RequestNotRun = 63,
  RequestOutcomeUnknown = 64,
  UpstreamShed = 65,
  RequestCancelled = 66,
  RequestInProgress = 67,
  MessageMalformed = 70,
  MessageTooLong = 71,
  PeerUnreachable = 72,
  ChartInvalid = 80,
};

/// One row of the table of result codes.
struct ResultCodeInfo {
  ResultCode Code;
  std::string_view Name;
  std::string_view Meaning;
};

/// All result codes in ascending order.
[[nodiscard]] std::span<const ResultCodeInfo> resultCodes() noexcept;

/// Name of a code. Example: `name(ResultCode::Usage)` is "Usage".
[[nodiscard]] std::string_view name(ResultCode Code) noexcept;

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_RESULT_CODE_H
