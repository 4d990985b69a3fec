#include "galenarelay/common/result_code.h"

#include <algorithm>
#include <array>

namespace galenarelay::common {

namespace {

using enum ResultCode;

constexpr std::array Table{
    ResultCodeInfo{Ok, "Ok", "Success."},
    ResultCodeInfo{Internal, "Internal", "Unexpected failure; the detail says where."},
    ResultCodeInfo{Usage, "Usage", "The command line is wrong; see --help."},
    ResultCodeInfo{SettingsUnreadable, "SettingsUnreadable", "The settings file can't be read."},
    ResultCodeInfo{SettingsSyntax, "SettingsSyntax", "A line of the settings file isn't INI."},
    ResultCodeInfo{SettingsUnknownSection, "SettingsUnknownSection",
                   "A section isn't one that this program knows."},
    ResultCodeInfo{SettingsUnknownKey, "SettingsUnknownKey",
                   "A key isn't one that this program knows."},
    ResultCodeInfo{SettingsBadValue, "SettingsBadValue",
                   "A value has the wrong type or is out of range."},
    ResultCodeInfo{SettingsMissingKey, "SettingsMissingKey", "A required key is absent."},
    ResultCodeInfo{StoreUnavailable, "StoreUnavailable",
                   "The key-value store doesn't answer; nothing was written."},
    ResultCodeInfo{StoreConflict, "StoreConflict", "The key has another version than expected."},
    ResultCodeInfo{
        StoreOutcomeUnknown, "StoreOutcomeUnknown",
        "The write may or may not have taken effect; repeat the command with its edit ID."},
    ResultCodeInfo{StoreRateLimited, "StoreRateLimited", "The store refused the call's rate."},
    ResultCodeInfo{StoreBadAnswer, "StoreBadAnswer", "The store's answer can't be understood."},
    ResultCodeInfo{StoreKeyNotFound, "StoreKeyNotFound", "The key doesn't exist."},
    ResultCodeInfo{StoreHistoryGone, "StoreHistoryGone",
                   "The store no longer has the changes since a revision; read afresh."},
    ResultCodeInfo{StoreEraEnded, "StoreEraEnded",
                   "The store has been restored from a copy since; read afresh."},
    ResultCodeInfo{SelectorSyntax, "SelectorSyntax", "The selector can't be parsed."},
    ResultCodeInfo{LabelSyntax, "LabelSyntax", "The label isn't key=value."},
    ResultCodeInfo{ServiceUnknown, "ServiceUnknown", "No service has this name."},
    ResultCodeInfo{ServiceExists, "ServiceExists", "A service of this name exists."},
    ResultCodeInfo{ServiceAddressInUse, "ServiceAddressInUse", "Another service has this address."},
    ResultCodeInfo{ServiceWithoutUpstream, "ServiceWithoutUpstream",
                   "The edit would leave a service without an upstream."},
    ResultCodeInfo{UpstreamOverlap, "UpstreamOverlap",
                   "The edit would let two services select one upstream."},
    ResultCodeInfo{RevisionUnknown, "RevisionUnknown", "The revision isn't in the history."},
    ResultCodeInfo{EditConflict, "EditConflict",
                   "Another edit changed the same part first; nothing was applied."},
    ResultCodeInfo{UpstreamUnknown, "UpstreamUnknown", "No upstream has this ID."},
    ResultCodeInfo{ConfigurationMalformed, "ConfigurationMalformed",
                   "A configuration document can't be understood."},
    ResultCodeInfo{RevisionRegression, "RevisionRegression",
                   "A configuration older than the one in force was refused."},
    ResultCodeInfo{NotInForce, "NotInForce",
                   "The revision wasn't in force everywhere within the time given."},
    ResultCodeInfo{NameSyntax, "NameSyntax", "A name has characters that aren't allowed."},
    ResultCodeInfo{ConfigurationTooLarge, "ConfigurationTooLarge",
                   "The edit would make the document larger than a store value may be."},
    ResultCodeInfo{LabelUnknown, "LabelUnknown", "The upstream has no label with this key."},
    ResultCodeInfo{PacketMalformed, "PacketMalformed", "A packet can't be parsed."},
    ResultCodeInfo{PacketUnknownService, "PacketUnknownService",
                   "A packet's destination is no known service address."},
    ResultCodeInfo{PacketWrongService, "PacketWrongService",
                   "A packet came to an agent that may not serve its service."},
    ResultCodeInfo{PacketHopLimit, "PacketHopLimit", "A packet was forwarded too often."},
    ResultCodeInfo{FlowUnknown, "FlowUnknown", "No agent holds the packet's flow."},
    ResultCodeInfo{NoUpstream, "NoUpstream", "The service has no active upstream."},
    ResultCodeInfo{FlowTableFull, "FlowTableFull", "The agent's flow table is full."},
    ResultCodeInfo{RequestMalformed, "RequestMalformed", "A request can't be parsed."},
    ResultCodeInfo{RequestQueueFull, "RequestQueueFull", "Not run: the queue is full."},
    ResultCodeInfo{RequestDeadline, "RequestDeadline",
                   "Not run: the request can't make its deadline."},
    ResultCodeInfo{RequestNotRun, "RequestNotRun", "Not run: the upstream couldn't be reached."},
    ResultCodeInfo{RequestOutcomeUnknown, "RequestOutcomeUnknown",
                   "The request may or may not have run."},
    ResultCodeInfo{UpstreamShed, "UpstreamShed", "Not run: the upstream shed it."},
    ResultCodeInfo{RequestCancelled, "RequestCancelled", "The caller went away."},
    ResultCodeInfo{RequestInProgress, "RequestInProgress",
                   "A request with this idempotency key is running."},
    ResultCodeInfo{MessageMalformed, "MessageMalformed", "A control message can't be parsed."},
    ResultCodeInfo{MessageTooLong, "MessageTooLong", "A control message is too long."},
    ResultCodeInfo{PeerUnreachable, "PeerUnreachable",
                   "A peer can't be reached; nothing was sent."},
    ResultCodeInfo{ChartInvalid, "ChartInvalid", "A state chart file is invalid."},
};

} // namespace

std::span<const ResultCodeInfo> resultCodes() noexcept { return Table; }

std::string_view name(ResultCode Code) noexcept {
  const auto *Found = std::find_if(Table.begin(), Table.end(),
                                   [Code](const ResultCodeInfo &Row) { return Row.Code == Code; });
  return Found == Table.end() ? "Unknown" : Found->Name;
}

} // namespace galenarelay::common
