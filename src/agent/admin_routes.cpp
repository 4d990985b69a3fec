#include "galenarelay/agent/admin_routes.h"

namespace galenarelay::agent {

using common::HttpRequest;
using common::HttpResponse;

namespace {

HttpResponse jsonResponse(unsigned Status, const nlohmann::json &Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  return Response;
}

HttpResponse errorResponse(unsigned Status, const std::string &Text) {
  return jsonResponse(Status, {{"error", Text}});
}

std::string queryValue(const HttpRequest &Request, const std::string &Name) {
  const auto Parameter = Request.Query.find(Name);
  return Parameter == Request.Query.end() ? std::string() : Parameter->second;
}

HttpResponse requestsById(const Dispatcher &RequestDispatcher, const HttpRequest &Request) {
  const auto Records = RequestDispatcher.ledger().find(queryValue(Request, "id"));
  if (Records.empty())
    return errorResponse(404, "no request with this ID is known here");
  nlohmann::json List = nlohmann::json::array();
  for (const request::RequestRecord &Record : Records)
    List.push_back(toJson(Record));
  return jsonResponse(200, {{"requests", List}});
}

HttpResponse explainFlow(const PacketPath &Packets, const HttpRequest &Request) {
  const auto Key =
      common::capture([&] { return packet::parseFlowKey(queryValue(Request, "flow")); });
  if (!Key)
    return errorResponse(400, Key.Failure.Detail);
  return jsonResponse(200, Packets.explainRoute(*Key));
}

/// Wraps a synchronous function as an HTTP handler.
template <typename Function> common::HttpHandler handler(Function Handle) {
  return [Handle](HttpRequest Request) -> boost::asio::awaitable<HttpResponse> {
    co_return Handle(Request);
  };
}

} // namespace

nlohmann::json toJson(const request::RequestRecord &Record) {
  nlohmann::json Document{
      {"id", Record.Facts.TextId},       {"flow", Record.Facts.Flow},
      {"service", Record.Facts.Service}, {"method", Record.Facts.Method},
      {"target", Record.Facts.Target},   {"state", request::name(Record.State)},
      {"dispatches", Record.Dispatches}, {"may_have_run", Record.MayHaveRun},
      {"status", Record.Status},         {"reason", common::name(Record.Reason)},
      {"detail", Record.Detail},         {"arrived_us", Record.Arrived.time_since_epoch().count()}};
  if (Record.Ended != common::TimePoint{})
    Document["ended_us"] = Record.Ended.time_since_epoch().count();
  return Document;
}

void addAdminRoutes(node::Node &Node, const Dispatcher &RequestDispatcher,
                    const PacketPath &Packets, Lifecycle &UpstreamLifecycle) {
  Node.addRoute("GET", "/v1/requests", handler([&RequestDispatcher](const HttpRequest &Request) {
                  return requestsById(RequestDispatcher, Request);
                }));
  Node.addRoute("GET", "/v1/flows", handler([&Packets](const HttpRequest &) {
                  return jsonResponse(200, Packets.describeFlows(MaxListedFlows));
                }));
  Node.addRoute("GET", "/v1/explain", handler([&Packets](const HttpRequest &Request) {
                  return explainFlow(Packets, Request);
                }));
  Node.addRoute("POST", "/v1/drain", handler([&UpstreamLifecycle, &Packets](const HttpRequest &) {
                  UpstreamLifecycle.drain();
                  return jsonResponse(200, {{"draining", true}, {"flows", Packets.servedFlows()}});
                }));
}

} // namespace galenarelay::agent
