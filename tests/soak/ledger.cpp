#include "ledger.h"

#include "galenarelay/common/log.h"

#include <algorithm>

namespace galenarelay::soak {

void Ledger::violation(const std::string &Promise, const std::string &Detail) {
  ++Violations;
  common::log(common::LogLevel::Error, "promise_broken",
              {{"promise", Promise}, {"detail", Detail}});
}

void Ledger::onConfiguration(std::map<common::Endpoint, std::set<std::string>> Services) {
  Versions.push_back({Clock::now(), std::move(Services)});
}

void Ledger::onOpened(const std::string &Host, const std::string &Service, const std::string &Zone,
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
  const auto Request = Evacuated.find(Zone);
  if (CheckTimes && calm() && Request != Evacuated.end() &&
      SentAt - Request->second > EvacuationBound)
    violation("evacuation", Host + " got a flow although zone " + Zone + " is evacuated");
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

bool Ledger::inTouch(std::uint32_t Machine) const {
  const auto Found = MachineFaults.find(Machine);
  const auto Since =
      Found == MachineFaults.end() ? LastCommonFault : std::max(LastCommonFault, Found->second);
  return Clock::now() - Since > StableWindow;
}

void Ledger::onTick() {
  const auto Now = Clock::now();
  if (Now - LastTick > StallBound) {
    common::log(common::LogLevel::Warning, "soak_stalled",
                {{"stall_ms", (Now - LastTick) / std::chrono::milliseconds(1)}});
    onUnplannedFault();
  }
  LastTick = Now;
}

void Ledger::onFlowDisturbed(const std::string &Detail, const std::set<std::uint32_t> &Machines) {
  onTick();
  if (std::all_of(Machines.begin(), Machines.end(), [this](auto Each) { return inTouch(Each); }))
    return violation("open flows", Detail);
  ++Counts.ExcusedFlows;
  std::string Faulty;
  for (const auto Each : Machines)
    if (!inTouch(Each))
      Faulty += " " + common::addressToString(Each);
  common::log(common::LogLevel::Info, "open_flow_excused",
              {{"detail", Detail}, {"not_in_touch", Faulty}});
}

void Ledger::onOpenFlowReset(const std::string &Flow, const std::string &Host, std::uint32_t Sender,
                             std::uint32_t Holder) {
  onFlowDisturbed(Flow + " was reset by " + common::addressToString(Sender) + " although " + Host +
                      " lives",
                  {Sender, Holder});
}

void Ledger::onSent(const packet::FlowKey &Flow, std::uint32_t Balancer) {
  if (const auto Found = OpenFlows.find(Flow); Found != OpenFlows.end())
    Found->second.TakenBy.insert(Balancer);
}

void Ledger::onFlowPacket(const packet::FlowKey &Flow, const std::string &Host,
                          std::uint32_t Machine, bool Holds) {
  if (Holds) {
    if (const auto Found = OpenFlows.find(Flow); Found != OpenFlows.end())
      checkMisrouted(Flow, Found->second);
    OpenFlows[Flow] = {Host, Machine, 0, {}, {}};
    return;
  }
  const auto Found = OpenFlows.find(Flow);
  if (Found == OpenFlows.end())
    return;
  if (Found->second.Misrouted++ == 0)
    Found->second.MisroutedSince = Clock::now();
  checkMisrouted(Flow, Found->second);
}

void Ledger::checkMisrouted(const packet::FlowKey &Flow, const OpenFlow &Held) {
  if (Held.Misrouted < MisroutedPackets || Clock::now() - Held.MisroutedSince < MisrouteBound)
    return;
  auto Machines = Held.TakenBy;
  Machines.insert(Held.Machine);
  onFlowDisturbed(packet::toString(Flow) + ": " + std::to_string(Held.Misrouted) +
                      " packets reached other upstreams and none reached " + Held.Host,
                  Machines);
}

} // namespace galenarelay::soak
