#include "galenarelay/agent/load_reporter.h"

#include "galenarelay/agent/load_message.h"

namespace galenarelay::agent {

using common::steadyNow;
using common::TimePoint;

LoadReporter::LoadReporter(boost::asio::io_context &Io, node::Node &Node,
                           const Dispatcher &RequestDispatcher, std::uint64_t Seed)
    : Node(Node), RequestDispatcher(RequestDispatcher), Loads(Seed), Timer(Io),
      Sequence(static_cast<std::uint64_t>(common::wallMilliseconds())) {
  Node.onControl("load",
                 [this](const nlohmann::json &Message, common::Endpoint) { onMessage(Message); });
}

std::optional<std::size_t> LoadReporter::choose(const routing::ServiceRoute &Route,
                                                const std::string &Self, TimePoint Now) {
  // The load view treats a report with a new sequence number as a regular sample for its averages.
  // The last number is used again here, so that a choice updates the current load only.
  schedule::LoadReport Report = RequestDispatcher.loadReport();
  Report.Sequence = LastReport.Sequence;
  Loads.onReport(Report, Now);
  return Loads.chooseUpstream(Route, Self, Now);
}

void LoadReporter::start() { tick(); }

void LoadReporter::stop() { Timer.cancel(); }

void LoadReporter::onMessage(const nlohmann::json &Message) {
  const auto Report = common::capture([&] { return loadFromMessage(Message); });
  if (Report)
    Loads.onReport(*Report, steadyNow());
  else if (MalformedLog.allow(steadyNow()))
    common::log(common::LogLevel::Warning, "load_report_malformed",
                {{"detail", Report.Failure.Detail}});
}

void LoadReporter::tick() {
  schedule::LoadReport Report = RequestDispatcher.loadReport();
  Report.Sequence = LastReport.Sequence;
  if (ReportDue || Report != LastReport) {
    Report.Sequence = ++Sequence;
    LastReport = Report;
    ReportDue = false;
    const nlohmann::json Message = toMessage(Report);
    for (const common::Endpoint &Peer : reportTargets(*Node.view(), Node.self().Id))
      Node.sendControl(Peer, Message);
  }
  Timer.expires_after(schedule::ReportInterval);
  Timer.async_wait([this](const auto &Error) {
    if (!Error)
      tick();
  });
}

} // namespace galenarelay::agent
