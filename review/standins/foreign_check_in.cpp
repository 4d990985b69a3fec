// Another writer sends one check-in that names a service that isn't in the manifest. The host
// itself lives on and checks in as before; the client's flows have pauses between their requests.

#include "lab.h"

#include <cstdio>
#include <exception>

namespace {

constexpr lab::Endpoint FeedRoute{0xc6120001, 443}; // 198.18.0.1
constexpr int Flows = 16;
constexpr int BudgetMs = 3000;
/// Shorter than idleTimeoutMs.
constexpr int PauseMs = 6000;

int play() {
  const bool Trouble = lab::withTrouble();
  lab::Record Notes(lab::recordPath());
  lab::Deployment Site(Notes, 2, {{"feed", "zone-0"}, {"feed", "zone-1"}},
                       {{"feed", FeedRoute, "feed", "safe"}});
  if (!Site.start()) {
    Notes.line("the deployment isn't ready");
    return 2;
  }
  lab::Client Client(Notes, Site.clientAddress(0), Site.PacketPort, 40'000, Site.router());
  int Broken = 0;
  Client.OnSystemReset = [&](const lab::Client::Flow &Held) {
    for (std::size_t I = 0; I < 2; ++I)
      if (Site.host(I).holds(Held.Self, Held.Route)) {
        ++Broken;
        Notes.line("FLOW broken: the flow of " + lab::text(Held.Self) + " is open at host " +
                   Site.host(I).id() + ", which lives and has sent no reset");
      }
  };
  std::vector<std::uint16_t> Ports;
  int Number = 0;
  for (int I = 0; I < Flows; ++I) {
    Ports.push_back(Client.open(FeedRoute, "feed-" + std::to_string(++Number), BudgetMs));
    Client.runFor(50);
  }
  Client.runFor(500);
  const int Opened = Number;
  if (Trouble) {
    const std::string Body =
        R"({"service":"unnamed","address":")" + lab::text(Site.agentAddress(0, Site.AppPort)) +
        R"(","zone":"zone-0","version":"v1","concurrencyLimit":5,"state":"ready",)" +
        R"("remainingColdMs":0,"sequence":1,"born":)" + std::to_string(lab::wallMs()) + "}";
    const auto Answer = lab::httpCall(Site.agentAddress(0, Site.ControlPort), "PUT",
                                      "/-/instances/i-other", Body, 1000);
    Notes.line("DISRUPTION: another writer sends a check-in of service 'unnamed' to the agent of "
               "machine 0; the answer has status " +
               std::to_string(Answer.Status));
  }
  for (int Round = 0; Round < 3; ++Round) {
    Client.runFor(PauseMs);
    for (const auto Port : Ports)
      if (Client.flow(Port).Now == lab::Client::State::Open)
        Client.ask(Port, "feed-" + std::to_string(++Number), BudgetMs);
    Client.runFor(500);
  }
  const int Acknowledged = Site.host(0).acknowledged();
  Notes.line("host " + Site.host(0).id() +
             " lives; check-ins that its agent has acknowledged: " + std::to_string(Acknowledged));
  // New flows, to see whether the host is used again.
  const auto Before = Site.runs().size();
  std::size_t AtFirst = 0;
  for (int I = 0; I < Flows; ++I) {
    Client.open(FeedRoute, "feed-" + std::to_string(++Number), BudgetMs);
    Client.runFor(50);
  }
  Client.runFor(500);
  const auto After = Site.runs();
  for (std::size_t I = Before; I < After.size(); ++I)
    AtFirst += After[I].Host == Site.host(0).id() ? 1 : 0;
  Notes.line("of " + std::to_string(Flows) + " new flows, host " + Site.host(0).id() + " ran " +
             std::to_string(AtFirst));
  if (!Site.allRunning() || Opened == 0) {
    Notes.line("a process has ended");
    return 2;
  }
  Notes.line("open flows reset while their host lives: " + std::to_string(Broken));
  return Broken > 0 ? 1 : 0;
}

} // namespace

int main() {
  try {
    return play();
  } catch (const std::exception &Problem) {
    std::fprintf(stderr, "%s\n", Problem.what());
    return 2;
  }
}
