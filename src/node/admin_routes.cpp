#include "galenarelay/node/impl/configuration_difference.h"
#include "galenarelay/node/impl/runtime.h"

#include <charconv>

namespace galenarelay::node::impl {

using boost::asio::awaitable;
using common::Error;
using common::HttpRequest;
using common::HttpResponse;
using common::ResultCode;
using nlohmann::json;

namespace {

HttpResponse answer(unsigned Status, const json &Body) {
  return {Status, Body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
}

HttpResponse problem(unsigned Status, const Error &Reason) {
  return answer(Status, {{"error", name(Reason.Code)}, {"detail", Reason.Detail}});
}

json choiceJson(const routing::ServiceRoute &Route, std::uint16_t At) {
  if (At == routing::NoMember)
    return nullptr;
  const membership::Member &Chosen = Route.Candidates[At];
  return {{"id", Chosen.Id},
          {"data", common::toString(Chosen.Data)},
          {"state", membership::name(Chosen.State)}};
}

} // namespace

void Runtime::addRoute(const std::string &Method, const std::string &Path,
                       common::HttpHandler Handler) {
  Routes[{Method, Path}] = std::move(Handler);
}

// Routes that the program has added already, such as an agent's /v1/explain, take precedence.
void Runtime::addRouteFor(const std::string &Path,
                          HttpResponse (Runtime::*Answer)(const HttpRequest &)) {
  Routes.try_emplace({"GET", Path}, [this, Answer](HttpRequest Request) -> awaitable<HttpResponse> {
    co_return (this->*Answer)(Request);
  });
}

void Runtime::addStandardRoutes() {
  addRouteFor("/healthz", &Runtime::health);
  addRouteFor("/metrics", &Runtime::metricsText);
  addRouteFor("/v1/config", &Runtime::configuration);
  addRouteFor("/v1/members", &Runtime::memberList);
  addRouteFor("/v1/status", &Runtime::status);
  addRouteFor("/v1/explain", &Runtime::explain);
}

awaitable<HttpResponse> Runtime::serve(HttpRequest Request) {
  const auto Alive = shared_from_this();
  const auto Found = Routes.find({Request.Method, Request.Path});
  if (Found == Routes.end())
    co_return problem(404, {ResultCode::Usage, "no such endpoint"});
  const common::HttpHandler Handler = Found->second;
  co_return co_await Handler(std::move(Request));
}

HttpResponse Runtime::health(const HttpRequest &) { return answer(200, {{"status", "ok"}}); }

HttpResponse Runtime::metricsText(const HttpRequest &) {
  return {200, Metrics.render(), "text/plain; version=0.0.4"};
}

HttpResponse Runtime::configuration(const HttpRequest &Request) {
  const auto Held = Tracker.current();
  if (!Held)
    return problem(404, {ResultCode::RevisionUnknown, "no configuration yet"});
  const auto Asked = Request.Query.find("after");
  if (Asked == Request.Query.end())
    return answer(200, config::toJson(*Held));
  config::Revision After = 0;
  const std::string &Text = Asked->second;
  const auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), After);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size())
    return problem(400, {ResultCode::Usage, "after must be a revision"});
  if (After >= Held->Number)
    return {204, ""};
  return answer(200, configurationSince(*Held, After));
}

HttpResponse Runtime::memberList(const HttpRequest &) {
  json List = json::array();
  for (const membership::Member &Each : Core->members())
    List.push_back(membership::toJson(Each));
  return answer(200, {{"members", std::move(List)}});
}

HttpResponse Runtime::status(const HttpRequest &) {
  const membership::Member &Self = self();
  return answer(200, {{"id", Self.Id},
                      {"kind", membership::name(Self.Kind)},
                      {"zone", Self.Zone},
                      {"state", membership::name(Self.State)},
                      {"incarnation", Self.Incarnation},
                      {"revision", View->configuration().Number},
                      {"services", View->serviceCount()},
                      {"members", Core->liveCount()},
                      {"joined", Core->joined()},
                      {"watches_store", watchesStore()}});
}

HttpResponse Runtime::explain(const HttpRequest &Request) {
  const auto Asked = Request.Query.find("flow");
  if (Asked == Request.Query.end())
    return problem(400, {ResultCode::Usage, "flow=SRCIP:PORT-DSTIP:PORT is required"});
  const auto Key = common::capture([&] { return packet::parseFlowKey(Asked->second); });
  if (!Key)
    return problem(400, Key.Failure);
  const routing::ServiceRoute *Route = View->serviceAt(Key->Service);
  if (Route == nullptr)
    return problem(404, {ResultCode::PacketUnknownService,
                         "no service has the address " + common::toString(Key->Service)});
  const std::uint64_t Hash = packet::hash(*Key);
  const routing::Choice Chosen = Route->Table.choose(Hash);
  return answer(200, {{"flow", packet::toString(*Key)},
                      {"service", Route->Name},
                      {"selector", Route->Definition.Selector},
                      {"slot", Hash % routing::TableSlots},
                      {"home", choiceJson(*Route, Chosen.First)},
                      {"second", choiceJson(*Route, Chosen.Second)},
                      {"candidates", Route->Candidates.size()},
                      {"revision", View->configuration().Number}});
}

} // namespace galenarelay::node::impl
