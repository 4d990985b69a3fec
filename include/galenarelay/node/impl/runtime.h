#ifndef GALENARELAY_NODE_IMPL_RUNTIME_H
#define GALENARELAY_NODE_IMPL_RUNTIME_H

#include "galenarelay/common/log.h"
#include "galenarelay/common/udp_socket.h"
#include "galenarelay/config/edit.h"
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

/// Maximum log lines per second about rejected control messages and failed peer calls.
inline constexpr std::uint32_t RejectLogLimit = 5;
/// Bounds of the exponential backoff between failed store calls; each pause is jittered.
inline constexpr common::Duration MinStoreBackoff = std::chrono::milliseconds(250);
inline constexpr common::Duration MaxStoreBackoff = std::chrono::seconds(10);
/// Pause before the next watch when the store has no configuration key; jittered. A missing key
/// doesn't increase the backoff.
inline constexpr common::Duration MissingKeyPause = std::chrono::milliseconds(500);
/// Time that a node has to join through its seeds; after it, the node reads members' addresses from
/// the store.
inline constexpr common::Duration SeedJoinTimeout = std::chrono::seconds(2);
/// Mean interval at which a node that isn't a store watcher checks whether it has become one.
inline constexpr common::Duration WatchRoleCheckInterval = std::chrono::milliseconds(500);
/// Timeout of an HTTP call to a peer's admin endpoint; member lists and configurations can have
/// 4 MB.
inline constexpr common::Duration PeerCallTimeout = std::chrono::seconds(5);
/// Delay from the first pending change to the next build of the routing view, so that the changes
/// of a burst share one build: BuildPauseFactor times the last build's duration, but at least
/// MinBuildPause.
inline constexpr common::Duration MinBuildPause = std::chrono::milliseconds(2);
inline constexpr int BuildPauseFactor = 10;
/// Maximum time that leave() waits until gossip has sent the announcement.
inline constexpr common::Duration LeaveAnnouncementTimeout = std::chrono::seconds(1);
/// Maximum attempts of leave() to delete the member's record from the store.
inline constexpr int MaxRemoveAttempts = 3;

/// Implementation of Node: runs gossip, configuration updates, store calls and the admin endpoints
/// on an io_context. Coroutines and timer handlers that it starts share its ownership.
class Runtime : public std::enable_shared_from_this<Runtime> {
public:
  Runtime(boost::asio::io_context &Io, NodeOptions Options, common::Metrics &Metrics);

  [[nodiscard]] const membership::Member &self() const noexcept;
  [[nodiscard]] std::shared_ptr<const routing::RoutingView> view() const noexcept { return View; }

  void onViewChange(std::function<void()> Callback) {
    ViewObservers.push_back(std::move(Callback));
  }
  void onControl(const std::string &Type, ControlHandler Handler);
  void sendControl(common::Endpoint To, const nlohmann::json &Message);
  void addRoute(const std::string &Method, const std::string &Path, common::HttpHandler Handler);
  void start();
  void announce(membership::MemberState State, std::vector<std::string> Residual);
  [[nodiscard]] boost::asio::awaitable<void> leave();
  void stop();

private:
  void addStandardRoutes();
  void addStandardRoute(const std::string &Path,
                        common::HttpResponse (Runtime::*Handler)(const common::HttpRequest &));
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
  void performAction(const membership::SendDatagram &Action);
  void performAction(const membership::NotifyViewChanged &Action);
  void performAction(const membership::FetchMembers &Action);
  void performAction(const membership::FetchConfiguration &Action);
  void performAction(const membership::CheckStore &Action);
  void performAction(const membership::ReadStore &Action);
  void performAction(const membership::RejectInput &Action);
  void armGossipTimer();
  void scheduleViewBuild();
  void buildView();
  void offerConfiguration(config::Configuration Offered, const char *Source);

  [[nodiscard]] bool watchesStore() const;
  [[nodiscard]] boost::asio::awaitable<void> registerInStore();
  void registerAgain();
  [[nodiscard]] boost::asio::awaitable<void> registerAfterPause();
  [[nodiscard]] boost::asio::awaitable<bool> takeFromStore(config::StoreVersion Version,
                                                           config::Configuration Stored);
  [[nodiscard]] boost::asio::awaitable<common::Outcome<config::StoreVersion>>
  writeBack(config::StoreVersion Expected, const config::EditedDocument &Edited);
  [[nodiscard]] std::vector<config::AnnouncedUpstream> announcedUpstreams() const;
  [[nodiscard]] boost::asio::awaitable<void> addStoreContacts();
  [[nodiscard]] boost::asio::awaitable<void> joinThroughStore();
  [[nodiscard]] boost::asio::awaitable<void> watchStore();
  [[nodiscard]] boost::asio::awaitable<void> readStore();
  [[nodiscard]] boost::asio::awaitable<common::ResultCode>
  readConfiguration(std::optional<config::StoreVersion> &Known, std::chrono::milliseconds Wait);
  void noteStoreRead(common::TimePoint AsOf);
  [[nodiscard]] boost::asio::awaitable<void> fetchMembers(common::Endpoint Admin);
  [[nodiscard]] boost::asio::awaitable<void> fetchConfiguration();
  [[nodiscard]] boost::asio::awaitable<common::Outcome<config::Configuration>>
  requestConfiguration(common::Endpoint Admin, config::Revision After);

  boost::asio::io_context &Io;
  NodeOptions Options;
  common::Metrics &Metrics;
  common::Engine Random;
  NodeStoreClient Store;
  config::RevisionTracker Tracker;
  std::optional<membership::Gossip> GossipCore;
  std::unique_ptr<common::UdpSocket> ControlSocket;
  std::unique_ptr<common::HttpServer> AdminServer;
  std::shared_ptr<const routing::RoutingView> View;
  std::vector<std::function<void()>> ViewObservers;
  std::map<std::string, ControlHandler> ControlHandlers;
  std::map<std::pair<std::string, std::string>, common::HttpHandler> AdminRoutes;
  boost::asio::steady_timer GossipTimer;
  boost::asio::steady_timer BuildTimer;
  common::TimePoint GossipTimerExpiry{};
  common::Duration BuildPause = MinBuildPause;
  bool ViewBuildPending = false;
  bool Stopped = false;
  bool FetchRunning = false;
  std::optional<membership::FetchConfiguration> PendingFetch;
  config::StoreVersion RecordVersion; ///< Of this member's store record; 0 while unwritten.
  std::uint64_t HeardStoreEra = 0;    ///< Named by a peer.
  /// Era of the store in which it last had all edits that this node knows; 0 before.
  std::uint64_t ConfigurationEra = 0;
  std::optional<config::StoreVersion> LastRead; ///< Version that readStore() has read.
  bool RegistrationRunning = false;
  bool RegistrationDoubted = false; ///< The store was restored while it ran.
  common::LogRateLimit RejectLog{RejectLogLimit};

  prometheus::Counter &ReceivedDatagrams;
  prometheus::Counter &ReceivedBytes;
  prometheus::Counter &SentDatagrams;
  prometheus::Counter &SentBytes;
  prometheus::Gauge &RevisionGauge;
  prometheus::Gauge &MemberGauge;
  prometheus::Counter &RefusedConfigurations;
};

} // namespace galenarelay::node::impl

#endif // GALENARELAY_NODE_IMPL_RUNTIME_H
