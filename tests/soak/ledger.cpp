#include "ledger.h"

#include "galenarelay/common/log.h"

namespace galenarelay::soak {

void Ledger::violation(const std::string &Promise, const std::string &Detail) {
  ++Violations;
  common::log(common::LogLevel::Error, "promise_broken",
              {{"promise", Promise}, {"detail", Detail}});
}

void Ledger::onConfiguration(std::map<common::Endpoint, std::set<std::string>> Services) {
  Versions.push_back({Clock::now(), std::move(Services)});
}

void Ledger::onOpened(const std::string &Host, const std::string &Service,
                      const packet::FlowKey &Flow) {
  const auto SentAt = Opened[Flow];
  const common::Endpoint Route = Flow.Service;
  bool Ever = false;
  bool Lately = false;
  for (std::size_t I = 0; I < Versions.size(); ++I) {
    const auto Found = Versions[I].Services.find(Route);
    if (Found == Versions[I].Services.end() || !Found->second.contains(Service))
      continue;
    Ever = true;
    const bool Newest = I + 1 == Versions.size();
    Lately = Lately || Newest || SentAt - Versions[I + 1].At <= ConfigurationBound;
  }
  if (!Ever)
    violation("route", Host + " of " + Service + " got a flow that no configuration sends there");
  else if (!Lately && CheckTimes && calm())
    violation("configuration", Host + " of " + Service + " got a flow by an outdated route");
  const auto Leaving = Drained.find(Host);
  if (CheckTimes && calm() && Leaving != Drained.end() && SentAt - Leaving->second > DrainBound)
    violation("drain", Host + " got a flow although it drains");
}

void Ledger::onRun(std::uint64_t Request, std::uint64_t Attempt, Kind What) {
  const bool Again = !RunAttempts.insert(Attempt).second;
  const std::size_t Runs = ++RunsOfRequest[Request];
  if (Again || (What != Kind::Feed && Runs > 1))
    violation("at most once", "request " + std::to_string(Request) + " ran again");
  if (NotRunAttempts.contains(Attempt))
    violation("refusals are true", "attempt " + std::to_string(Attempt) + " was said not to run");
}

void Ledger::onNotRun(std::uint64_t Attempt) {
  NotRunAttempts.insert(Attempt);
  if (RunAttempts.contains(Attempt))
    violation("refusals are true", "attempt " + std::to_string(Attempt) + " had run");
}

void Ledger::onOpenFlowReset(const std::string &Flow, const std::string &Host) {
  if (CheckTimes && calm())
    violation("open flows", Flow + " was reset although " + Host + " lives");
}

} // namespace galenarelay::soak
