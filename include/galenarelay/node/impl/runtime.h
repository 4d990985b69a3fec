#ifndef GALENARELAY_NODE_IMPL_RUNTIME_H
#define GALENARELAY_NODE_IMPL_RUNTIME_H

#include "galenarelay/common/log.h"
#include "galenarelay/common/udp_socket.h"
#include "galenarelay/config/revision_tracker.h"
#include "galenarelay/membership/gossip.h"
#include "galenarelay/node/impl/store_link.h"
#include "galenarelay/node/node.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace galenarelay::node::impl {

/// Log lines per second about input that was dropped.
inline constexpr std::uint32_t RejectLogLimit = 5;
/// Pause after a failed store call; doubled after each up to the maximum, with jitter.
inline constexpr common::Duration MinStorePause = std::chrono::milliseconds(250);
inline constexpr common::Duration MaxStorePause = std::chrono::seconds(10);
/// Pause before the configuration key is asked for again while the store doesn't have it.
inline constexpr common::Duration MaxAbsentPause = std::chrono::milliseconds(500);
/// A node that hasn't joined through its seeds within this time asks the store for members.
inline constexpr common::Duration SeedPatience = std::chrono::seconds(2);
/// How often a node that doesn't watch the store checks whether it should.
inline constexpr common::Duration WatchRoleInterval = std::chrono::milliseconds(500);
/// Limit for a call to a peer's admin endpoint; a list or document may have 4 MB.
inline constexpr common::Duration PeerCallTimeout = std::chrono::seconds(5);
/// Least time between two builds of the routing view, and its multiple of a build's duration:
/// changes that arrive in a burst share a build.
inline constexpr common::Duration MinBuildPause = std::chrono::milliseconds(2);
inline constexpr int BuildPauseFactor = 10;
/// Longest time that leave() waits for its announcement to be sent.
inline constexpr common::Duration LeaveLimit = std::chrono::seconds(1);
/// Attempts to delete the store record when leaving.
inline constexpr int RemoveAttempts = 3;

/// Drives gossip, configuration and the admin endpoints of one node on an io_context.
class Runtime : public std::enable_shared_from_this<Runtime> {
public:
  Runtime(boost::asio::io_context &Io, NodeOptions Options, common::Metrics &Metrics);

  [[nodiscard]] const membership::Member &self() const noexcept;
  [[nodiscard]] std::shared_ptr<const routing::RoutingView> view() const noexcept { return View; }

  void onViewChange(std::function<void()> Callback) { Observers.push_back(std::move(Callback)); }
  void onControl(const std::string &Type, ControlHandler Handler);
  void sendControl(common::Endpoint To, const nlohmann::json &Message);
  void addRoute(const std::string &Method, const std::string &Path, common::HttpHandler Handler);
  void start();
  void announce(membership::MemberState State, std::vector<std::string> Residual);
  [[nodiscard]] boost::asio::awaitable<void> leave();
  void stop();

private:
  void addStandardRoutes();
  void addRouteFor(const std::string &Path,
                   common::HttpResponse (Runtime::*Answer)(const common::HttpRequest &));
  [[nodiscard]] boost::asio::awaitable<common::HttpResponse> serve(common::HttpRequest Request);
  [[nodiscard]] common::HttpResponse health(const common::HttpRequest &Request);
  [[nodiscard]] common::HttpResponse metricsText(const common::HttpRequest &Request);
  [[nodiscard]] common::HttpResponse configuration(const common::HttpRequest &Request);
  [[nodiscard]] common::HttpResponse memberList(const common::HttpRequest &Request);
  [[nodiscard]] common::HttpResponse status(const common::HttpRequest &Request);
  [[nodiscard]] common::HttpResponse explain(const common::HttpRequest &Request);

  void receiveControl(std::span<const std::uint8_t> Bytes, common::Endpoint From);
  void dispatchControl(const nlohmann::json &Message, common::Endpoint From);
  void reject(const common::Error &Reason, common::Endpoint From);
  void perform(const membership::GossipActions &Actions);
  void performOne(const membership::SendDatagram &Action);
  void performOne(const membership::ViewChanged &Action);
  void performOne(const membership::FetchMembers &Action);
  void performOne(const membership::FetchConfiguration &Action);
  void performOne(const membership::RejectInput &Action);
  void armGossipTimer();
  void scheduleBuild();
  void buildView();
  void offer(config::Configuration Offered, const char *Source);

  [[nodiscard]] bool watchesStore() const;
  [[nodiscard]] boost::asio::awaitable<void> registerInStore();
  [[nodiscard]] boost::asio::awaitable<void> readContacts();
  [[nodiscard]] boost::asio::awaitable<void> findContacts();
  [[nodiscard]] boost::asio::awaitable<void> watchStore();
  [[nodiscard]] boost::asio::awaitable<void> fetchMembers(common::Endpoint Admin);
  [[nodiscard]] boost::asio::awaitable<void> fetchConfiguration();
  [[nodiscard]] boost::asio::awaitable<common::Outcome<config::Configuration>>
  askConfiguration(common::Endpoint Admin, config::Revision After);

  boost::asio::io_context &Io;
  NodeOptions Options;
  common::Metrics &Metrics;
  common::Engine Random;
  StoreLink Store;
  config::RevisionTracker Tracker;
  std::optional<membership::Gossip> Core;
  std::unique_ptr<common::UdpSocket> Control;
  std::unique_ptr<common::HttpServer> Admin;
  std::shared_ptr<const routing::RoutingView> View;
  std::vector<std::function<void()>> Observers;
  std::map<std::string, ControlHandler> Handlers;
  std::map<std::pair<std::string, std::string>, common::HttpHandler> Routes;
  boost::asio::steady_timer GossipTimer;
  boost::asio::steady_timer BuildTimer;
  common::TimePoint GossipAt{};
  common::Duration BuildPause = MinBuildPause;
  bool BuildPending = false;
  bool Stopped = false;
  bool Fetching = false;
  std::optional<membership::FetchConfiguration> Wanted;
  std::uint64_t StoreVersion = 0; ///< Of the member record; 0 while it isn't written.
  common::LogRateLimit RejectLog{RejectLogLimit};

  prometheus::Counter &ReceivedDatagrams;
  prometheus::Counter &ReceivedBytes;
  prometheus::Counter &SentDatagrams;
  prometheus::Counter &SentBytes;
  prometheus::Gauge &RevisionGauge;
  prometheus::Gauge &MemberGauge;
  prometheus::Counter &Refusals;
};

} // namespace galenarelay::node::impl

#endif // GALENARELAY_NODE_IMPL_RUNTIME_H
