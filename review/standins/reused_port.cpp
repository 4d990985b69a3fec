// A host ends, its flows are reset, and its address goes to a host of another service. The client
// then opens flows for new requests from the ports that the resets have freed.

#include "lab.h"

#include <cstdio>
#include <exception>

namespace {

constexpr lab::Endpoint OrderRoute{0xc6120001, 443};  // 198.18.0.1
constexpr lab::Endpoint PhotoRoute{0xc6120002, 8443}; // 198.18.0.2
constexpr int Flows = 40;
constexpr int BudgetMs = 4000;

int play() {
  const bool Trouble = lab::withTrouble();
  lab::Record Notes(lab::recordPath());
  lab::Deployment Site(
      Notes, 2,
      {{"orders", "zone-0"},
       {"orders", "zone-1"},
       {"orders", "zone-2"},
       {"orders", "zone-0"},
       {"photos", "zone-1"}},
      {{"order", OrderRoute, "orders", "unsafe"}, {"photo", PhotoRoute, "photos", "upload"}});
  if (!Site.start()) {
    Notes.line("the deployment isn't ready");
    return 2;
  }
  lab::Client Client(Notes, Site.clientAddress(0), Site.PacketPort, 40'000, Site.router());

  int Number = 0;
  const auto OpenFlows = [&] {
    std::vector<std::uint16_t> Ports;
    for (int I = 0; I < Flows; ++I) {
      Ports.push_back(Client.open(OrderRoute, "order-" + std::to_string(++Number), BudgetMs));
      Client.runFor(50);
    }
    Client.runFor(1000);
    return Ports;
  };
  const auto First = OpenFlows();
  const lab::Run *OfFirst = nullptr;
  const auto Before = Site.runs();
  for (const auto &Each : Before)
    if (Each.Host == Site.host(0).id())
      OfFirst = &Each;
  if (OfFirst == nullptr) {
    Notes.line("no request has run at the first host");
    return 2;
  }

  if (Trouble) {
    Notes.line("DISRUPTION: the host of machine 0 crashes for good; its address goes to a host of "
               "the other service");
    Site.host(0).crash();
    Client.runFor(6000);
    Site.writeAgentSettings(0, "photos");
    Site.startHost(0, "photos");
  } else {
    // The client frees the same number of ports itself.
    for (const auto &Each : Before)
      if (Each.Host == Site.host(0).id())
        for (const auto Port : First)
          if (Client.flow(Port).Attempt == Each.Attempt)
            Client.close(Port);
    Client.runFor(6000);
  }
  // Longer than stableWindowMs, so that all machines are in touch.
  Client.runFor(8000);
  std::size_t Reset = 0;
  for (const auto Port : First)
    Reset += Client.flow(Port).Last == lab::Client::End::Reset ? 1 : 0;
  Notes.line(std::to_string(Reset) + " flows have been reset since");

  OpenFlows();
  Client.runFor(3000);
  int Broken = 0;
  for (const auto &Each : Site.runs()) {
    const bool Allowed = Each.Service == (Each.Route == OrderRoute ? "orders" : "photos");
    if (Allowed)
      continue;
    ++Broken;
    Notes.line("ROUTE broken: " + Each.Attempt + " to route " + lab::text(Each.Route) +
               " of service orders has run at host " + Each.Host + " of service " + Each.Service);
  }
  if (!Site.allRunning()) {
    Notes.line("a process has ended");
    return 2;
  }
  Notes.line("requests run by a service that no manifest allows: " + std::to_string(Broken));
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
