#include "galenarelay/agent/load_message.h"

#include <algorithm>
#include <set>

namespace galenarelay::agent {

using common::fail;
using common::ResultCode;
using schedule::LoadReport;

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
    Report.Slots = Message.at("slots").get<std::uint32_t>();
    Report.Busy = Message.at("busy").get<std::uint32_t>();
    Report.Queued = Message.at("queued").get<std::uint32_t>();
    Report.QueuedWorkMs = Message.at("work_ms").get<double>();
    Report.ErrorShare = Message.at("errors").get<double>();
    Report.Sequence = Message.at("seq").get<std::uint64_t>();
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
