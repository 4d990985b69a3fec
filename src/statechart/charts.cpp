#include "galenarelay/statechart/charts.h"

#include <array>

namespace galenarelay::statechart {

namespace {

using std::string_view;

constexpr std::array<string_view, 6> UpstreamStates{"joining",  "active",   "unreachable",
                                                    "draining", "stopping", "left"};
constexpr std::array<string_view, 6> UpstreamEvents{"reachable", "unreachable", "drain",
                                                    "resume",    "stop",        "idle"};
constexpr std::array<string_view, 6> UpstreamActions{"announce_joining", "announce_active",
                                                     "announce_leaving", "accept_new_flows",
                                                     "refuse_new_flows", "leave"};

constexpr std::array<string_view, 5> FlowStates{"half_open", "open", "draining", "closing",
                                                "ended"};
constexpr std::array<string_view, 7> FlowEvents{"caller_acknowledged",
                                                "request_started",
                                                "requests_answered",
                                                "drain",
                                                "caller_finished",
                                                "broken",
                                                "expired"};
constexpr std::array<string_view, 4> FlowActions{"send_connection_close", "finish",
                                                 "cancel_requests", "release"};

constexpr std::array<string_view, 3> ConfigurationStates{"empty", "in_force", "behind"};
constexpr std::array<string_view, 4> ConfigurationEvents{"newer_document", "older_document",
                                                         "newer_revision_seen", "fetch_failed"};
constexpr std::array<string_view, 4> ConfigurationActions{"adopt", "refuse", "fetch",
                                                          "retry_later"};

} // namespace

Vocabulary UpstreamChart::vocabulary() noexcept {
  return {UpstreamStates, UpstreamEvents, UpstreamActions};
}

Vocabulary FlowChart::vocabulary() noexcept { return {FlowStates, FlowEvents, FlowActions}; }

Vocabulary ConfigurationChart::vocabulary() noexcept {
  return {ConfigurationStates, ConfigurationEvents, ConfigurationActions};
}

} // namespace galenarelay::statechart
