// Another writer sends one check-in with a field of another type, a boolean in place of a number.
// It names a service of the manifest, but not the one of the host beside the agent.

#include "lab.h"

#include <cstdio>
#include <exception>

namespace {

constexpr lab::Endpoint OrderRoute{0xc6120001, 443};  // 198.18.0.1
constexpr lab::Endpoint PhotoRoute{0xc6120002, 8443}; // 198.18.0.2
constexpr int Requests = 40;
constexpr int BudgetMs = 4000;

int play() {
  const bool Trouble = lab::withTrouble();
  lab::Record Notes(lab::recordPath());
  lab::Deployment Site(
      Notes, 2, {{"orders", "zone-0"}, {"orders", "zone-1"}, {"photos", "zone-0"}},
      {{"order", OrderRoute, "orders", "unsafe"}, {"photo", PhotoRoute, "photos", "upload"}});
  if (!Site.start()) {
    Notes.line("the deployment isn't ready");
    return 2;
  }
  lab::Client Client(Notes, Site.clientAddress(0), Site.PacketPort, 40'000, Site.router());
  int Number = 0;
  const auto Send = [&] {
    for (int I = 0; I < Requests; ++I) {
      const bool IsPhoto = I % 2 == 0;
      Client.open(IsPhoto ? PhotoRoute : OrderRoute,
                  (IsPhoto ? "photo-" : "order-") + std::to_string(++Number), BudgetMs);
      Client.runFor(30);
    }
    Client.runFor(500);
  };
  Send();
  if (Trouble) {
    const std::string Body =
        R"({"service":"photos","address":")" + lab::text(Site.agentAddress(0, Site.AppPort)) +
        R"(","zone":"zone-0","version":"v1","concurrencyLimit":true,"state":"ready",)" +
        R"("remainingColdMs":0,"sequence":1,"born":)" + std::to_string(lab::wallMs()) + "}";
    const auto Answer = lab::httpCall(Site.agentAddress(0, Site.ControlPort), "PUT",
                                      "/-/instances/i-other", Body, 1000);
    Notes.line("DISRUPTION: another writer sends a check-in whose concurrencyLimit is a boolean to "
               "the agent of machine 0; the answer has status " +
               std::to_string(Answer.Status));
  }
  Send();
  Client.runFor(2000);
  int Broken = 0;
  for (const auto &Each : Site.runs()) {
    if (Each.Service == (Each.Route == OrderRoute ? "orders" : "photos"))
      continue;
    ++Broken;
    Notes.line("ROUTE broken: " + Each.Attempt + " to route " + lab::text(Each.Route) +
               " of service photos has run at host " + Each.Host + " of service " + Each.Service);
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
