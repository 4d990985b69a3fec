#include "galenarelay/agent/load_message.h"

#include "galenarelay/common/json_fields.h"

#include <algorithm>
#include <set>

namespace galenarelay::agent {

using common::fail;
using common::ResultCode;
using schedule::LoadReport;

namespace {

/// Work that waits at one upstream: a day.
constexpr double MaxQueuedWorkMs = 24.0 * 3600 * 1000;

} // namespace

nlohmann::json toMessage(const LoadReport &Report) {
  return {{"t", "load"},
          {"id", Report.MemberId},
          {"slots", Report.Slots},
          {"busy", Report.Busy},
          {"queued", Report.Queued},
          {"work_ms", Report.QueuedWorkMs},
          {"errors", Report.ErrorShare},
          {"seq", Report.Sequence}};
}

common::Result<LoadReport> loadFromMessage(const nlohmann::json &Message) {
  try {
    LoadReport Report;
    Report.MemberId = Message.at("id").get<std::string>();
    Report.Slots = common::readUnsigned<std::uint32_t>(Message.at("slots"));
    Report.Busy = common::readUnsigned<std::uint32_t>(Message.at("busy"));
    Report.Queued = common::readUnsigned<std::uint32_t>(Message.at("queued"));
    Report.QueuedWorkMs = common::readNumber(Message.at("work_ms"), 0, MaxQueuedWorkMs);
    Report.ErrorShare = common::readNumber(Message.at("errors"), 0, 1);
    Report.Sequence = common::readUnsigned<std::uint64_t>(Message.at("seq"));
    if (Report.MemberId.empty())
      return fail(ResultCode::MessageMalformed, "the \"id\" of a load report must not be empty");
    return Report;
  } catch (const nlohmann::json::exception &Error) {
    return fail(ResultCode::MessageMalformed, Error.what());
  }
}

std::vector<common::Endpoint> reportTargets(const routing::RoutingView &View,
                                            const std::string &SelfId) {
  std::set<common::Endpoint> Targets;
  for (const auto &[Name, Definition] : View.configuration().Services) {
    const routing::ServiceRoute *Route = View.service(Name);
    if (Route == nullptr)
      continue;
    const auto IsSelf = [&](const membership::Member &Candidate) { return Candidate.Id == SelfId; };
    if (std::none_of(Route->Candidates.begin(), Route->Candidates.end(), IsSelf))
      continue;
    for (const membership::Member &Peer : Route->Candidates)
      if (!IsSelf(Peer))
        Targets.insert(Peer.Control);
  }
  return {Targets.begin(), Targets.end()};
}

} // namespace galenarelay::agent
