// A host is added while the time of day of its machine is ahead. The time is set right, and the
// host crashes once and starts again: its new lifetime has an earlier birth than the one before.

#include "lab.h"

#include <cstdio>
#include <exception>

namespace {

constexpr lab::Endpoint FeedRoute{0xc6120001, 443}; // 198.18.0.1
constexpr int Flows = 70;
constexpr int BudgetMs = 3000;
constexpr int AheadMs = 2400;

int play() {
  const bool Trouble = lab::withTrouble();
  lab::Record Notes(lab::recordPath());
  lab::Deployment Site(Notes, 2,
                       {{"feed", "zone-0", true},
                        {"feed", "zone-1"},
                        {"feed", "zone-2"},
                        {"feed", "zone-0"},
                        {"feed", "zone-1"},
                        {"feed", "zone-2"},
                        {"feed", "zone-0"}},
                       {{"feed", FeedRoute, "feed", "safe"}});
  if (!Site.start()) {
    Notes.line("the deployment isn't ready");
    return 2;
  }
  lab::Client Client(Notes, Site.clientAddress(0), Site.PacketPort, 40'000, Site.router());
  int Broken = 0;
  Client.OnSystemReset = [&](const lab::Client::Flow &Held) {
    for (std::size_t I = 0; I < 7; ++I)
      if (Site.host(I).holds(Held.Self, Held.Route)) {
        ++Broken;
        Notes.line("FLOW broken: the flow of " + lab::text(Held.Self) + " is open at host " +
                   Site.host(I).id() + ", which lives and has sent no reset");
      }
  };
  Site.startHost(0, "feed", Trouble ? AheadMs : 0);
  Client.runFor(1300);
  Notes.line(Trouble
                 ? "DISRUPTION: the time of day of machine 0 is set right; its host crashes and "
                   "starts again"
                 : "the host of machine 0 crashes and starts again");
  Site.host(0).crash();
  Client.runFor(500);
  Site.startHost(0, "feed");
  std::vector<std::uint16_t> Ports;
  int Number = 0;
  for (int I = 0; I < Flows; ++I) {
    Ports.push_back(Client.open(FeedRoute, "feed-" + std::to_string(++Number), BudgetMs));
    Client.runFor(12);
  }
  // Pauses shorter than idleTimeoutMs, the first one short.
  for (const int PauseMs : {2000, 6000, 6000}) {
    Client.runFor(PauseMs);
    for (const auto Port : Ports)
      if (Client.flow(Port).Now == lab::Client::State::Open)
        Client.ask(Port, "feed-" + std::to_string(++Number), BudgetMs);
    Client.runFor(500);
  }
  Notes.line("host " + Site.host(0).id() + " lives; check-ins that its agent has acknowledged: " +
             std::to_string(Site.host(0).acknowledged()));
  if (!Site.allRunning()) {
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
