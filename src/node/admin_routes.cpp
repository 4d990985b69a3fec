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

HttpResponse jsonResponse(unsigned Status, const json &Body) {
  return {Status, Body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
}

HttpResponse errorResponse(unsigned Status, const Error &Reason) {
  return jsonResponse(Status, {{"error", name(Reason.Code)}, {"detail", Reason.Detail}});
}

json slotMemberJson(const routing::ServiceRoute &Route, std::uint16_t Position) {
  if (Position == routing::NoMemberPosition)
    return nullptr;
  const membership::Member &Member = Route.Candidates[Position];
  return {{"id", Member.Id},
          {"data", common::toString(Member.Data)},
          {"state", membership::name(Member.State)}};
}

} // namespace

void Runtime::addRoute(const std::string &Method, const std::string &Path,
                       common::HttpHandler Handler) {
  AdminRoutes[{Method, Path}] = std::move(Handler);
}

// Adds a GET route unless the program has already added one for the path, such as an agent's
// /v1/explain.
void Runtime::addStandardRoute(const std::string &Path,
                               HttpResponse (Runtime::*Handler)(const HttpRequest &)) {
  AdminRoutes.try_emplace({"GET", Path},
                          [this, Handler](HttpRequest Request) -> awaitable<HttpResponse> {
                            co_return (this->*Handler)(Request);
                          });
}

void Runtime::addStandardRoutes() {
  addStandardRoute("/healthz", &Runtime::health);
  addStandardRoute("/metrics", &Runtime::metricsText);
  addStandardRoute("/v1/config", &Runtime::configuration);
  addStandardRoute("/v1/members", &Runtime::memberList);
  addStandardRoute("/v1/status", &Runtime::status);
  addStandardRoute("/v1/explain", &Runtime::explain);
}

awaitable<HttpResponse> Runtime::serve(HttpRequest Request) {
  const auto Alive = shared_from_this();
  const auto Entry = AdminRoutes.find({Request.Method, Request.Path});
  if (Entry == AdminRoutes.end())
    co_return errorResponse(404, {ResultCode::Usage, "no such endpoint"});
  const common::HttpHandler Handler = Entry->second;
  co_return co_await Handler(std::move(Request));
}

HttpResponse Runtime::health(const HttpRequest &) { return jsonResponse(200, {{"status", "ok"}}); }

HttpResponse Runtime::metricsText(const HttpRequest &) {
  return {200, Metrics.render(), "text/plain; version=0.0.4"};
}

HttpResponse Runtime::configuration(const HttpRequest &Request) {
  const auto Current = Tracker.current();
  if (!Current)
    return errorResponse(404, {ResultCode::RevisionUnknown, "no configuration yet"});
  const auto AfterParameter = Request.Query.find("after");
  if (AfterParameter == Request.Query.end())
    return jsonResponse(200, config::toJson(*Current));
  config::Revision After = 0;
  const std::string &Text = AfterParameter->second;
  const auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), After);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size())
    return errorResponse(400, {ResultCode::Usage, "after must be a revision"});
  if (After >= Current->RevisionNumber)
    return {204, ""};
  return jsonResponse(200, configurationSince(*Current, After));
}

HttpResponse Runtime::memberList(const HttpRequest &) {
  json Members = json::array();
  for (const membership::Member &Member : GossipCore->members())
    Members.push_back(membership::toJson(Member));
  return jsonResponse(200, {{"members", std::move(Members)}});
}

HttpResponse Runtime::status(const HttpRequest &) {
  const membership::Member &Self = self();
  return jsonResponse(200, {{"id", Self.Id},
                            {"kind", membership::name(Self.Kind)},
                            {"zone", Self.Zone},
                            {"state", membership::name(Self.State)},
                            {"incarnation", Self.Incarnation},
                            {"revision", View->configuration().RevisionNumber},
                            {"services", View->serviceAddressCount()},
                            {"members", GossipCore->liveCount()},
                            {"joined", GossipCore->joined()},
                            {"watches_store", watchesStore()}});
}

HttpResponse Runtime::explain(const HttpRequest &Request) {
  const auto FlowParameter = Request.Query.find("flow");
  if (FlowParameter == Request.Query.end())
    return errorResponse(400, {ResultCode::Usage, "flow=SRCIP:PORT-DSTIP:PORT is required"});
  const auto Key = common::capture([&] { return packet::parseFlowKey(FlowParameter->second); });
  if (!Key)
    return errorResponse(400, Key.Failure);
  const routing::ServiceRoute *Route = View->serviceAt(Key->Service);
  if (Route == nullptr)
    return errorResponse(404, {ResultCode::PacketUnknownService,
                               "no service has the address " + common::toString(Key->Service)});
  const std::uint64_t Hash = packet::hash(*Key);
  const routing::SlotMembers SlotMembers = Route->Table.choose(Hash);
  return jsonResponse(200, {{"flow", packet::toString(*Key)},
                            {"service", Route->Name},
                            {"selector", Route->Definition.Selector},
                            {"slot", Hash % routing::TableSlots},
                            {"home", slotMemberJson(*Route, SlotMembers.First)},
                            {"second", slotMemberJson(*Route, SlotMembers.Second)},
                            {"candidates", Route->Candidates.size()},
                            {"revision", View->configuration().RevisionNumber}});
}

} // namespace galenarelay::node::impl
