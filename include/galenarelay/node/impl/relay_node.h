#ifndef GALENARELAY_NODE_IMPL_RELAY_NODE_H
#define GALENARELAY_NODE_IMPL_RELAY_NODE_H

#include "galenarelay/common/log.h"
#include "galenarelay/common/udp_socket.h"
#include "galenarelay/node/impl/relay_store.h"
#include "galenarelay/node/impl/zone_evacuations.h"
#include "galenarelay/node/relay_platform.h"
#include "galenarelay/node/relay_settings.h"
#include "galenarelay/relay/balancer_peers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace galenarelay::node::impl {

/// Interval of a node's timer, which repeats placements and sends messages that are due.
inline constexpr common::Duration RelayTickInterval = std::chrono::milliseconds(20);
/// A longer gap between two ticks means that the process was suspended or stalled.
inline constexpr common::Duration ProcessPauseThreshold = std::chrono::milliseconds(500);
/// Maximum number of log lines per second about single flows.
inline constexpr std::uint32_t FlowLogLimit = 50;
/// Maximum number of log lines per second about resets of open flows.
inline constexpr std::uint32_t ResetLogLimit = 50;
/// Maximum number of log lines per second about messages and calls that can't be parsed.
inline constexpr std::uint32_t RejectLogLimit = 5;
/// Key prefixes of node records in the store; a record's value is the node's IPv4 address.
inline constexpr const char *NodeRecordPrefix = "galenarelay/";
inline constexpr const char *BalancerRecordPrefix = "galenarelay/balancers/";
inline constexpr const char *AgentRecordPrefix = "galenarelay/agents/";

/// Common base of balancers and agents of relayed flows: identity, known balancers, the node's
/// record in the store, sockets for messages and HTTP calls, the timer, and log rate limits.
template <RelayPlatform Platform> class RelayNode {
public:
  RelayNode(const RelayNode &) = delete;
  RelayNode &operator=(const RelayNode &) = delete;

protected:
  template <typename T> using Awaitable = boost::asio::awaitable<T>;

  RelayNode(boost::asio::io_context &Io, RelayOptions Settings, common::Metrics &Metrics,
            const char *RecordPrefix)
      : Io(Io), Options(std::move(Settings)), Metrics(Metrics), Random(Options.RandomSeed),
        StartedAt(common::suspendAwareNow()),
        Incarnation(static_cast<std::uint64_t>(common::wallMilliseconds())),
        Peers(Options.Packets.Address), Store(Options.Store, Metrics),
        Record(Io, Store, RecordPrefix + Options.Id,
               common::addressToString(Options.Packets.Address)),
        Zones(Metrics), FlowGauge(Metrics.gauge("flows", "Flows in the table")),
        MalformedPackets(Metrics.counter("malformed_datagrams_total", "Datagrams dropped")),
        SuppressedLines(
            Metrics.counter("log_lines_suppressed_total", "Log lines above the limit per second")),
        Ticker(Io), LastTick(StartedAt) {
    for (const auto &Seed : Options.Seeds)
      Peers.addSeed(Seed.Address);
  }
  ~RelayNode() = default;

  void spawn(Awaitable<void> Task) {
    boost::asio::co_spawn(Io, std::move(Task), boost::asio::detached);
  }

  /// Binds the sockets for messages and HTTP calls, and registers the node in the store.
  void listen(common::UdpSocket::Receiver OnMessage, const common::HttpHandler &Serve) {
    PeerSocket = std::make_unique<common::UdpSocket>(Io, Options.Peers, std::move(OnMessage));
    for (const auto &Address : {Options.Readiness, Options.Admin, Options.Control})
      Servers.push_back(std::make_unique<common::HttpServer>(Io, Address, Serve));
    Store.onRestored([this](relay::StoreEra Era) {
      if (Era > HeardEra)
        noteStoreRestored();
    });
    spawn(Record.keep(Random));
  }

  /// The newest era of the store that this node has seen or heard of.
  [[nodiscard]] relay::StoreEra newestStoreEra() const noexcept {
    return std::max(HeardEra, Store.era());
  }

  /// A balancer names an era of the store. Only the store's own answers are relied on: an era that
  /// is new here makes the node call the store.
  void hearStoreEra(relay::StoreEra Era) {
    if (Era <= newestStoreEra())
      return;
    HeardEra = Era;
    noteStoreRestored();
  }

  /// Callback is called when this node learns that the store has been restored.
  void onStoreRestored(std::function<void()> Callback) { OnStoreRestored = std::move(Callback); }

  /// Calls OnTick(Now, PausedFor) every RelayTickInterval. PausedFor is the time since the last
  /// tick if it is above ProcessPauseThreshold, and zero otherwise.
  template <typename F> void startTimer(F OnTick) {
    Ticker.expires_after(RelayTickInterval);
    Ticker.async_wait([this, OnTick](boost::system::error_code Failure) {
      if (Failure)
        return;
      const auto Now = common::suspendAwareNow();
      const auto Gap = Now - std::exchange(LastTick, Now);
      if (Gap > ProcessPauseThreshold)
        common::log(common::LogLevel::Warning, "resumed_after_pause",
                    {{"pause_ms", common::wholeMilliseconds(Gap)}});
      OnTick(Now, Gap > ProcessPauseThreshold ? Gap : common::Duration::zero());
      startTimer(OnTick);
    });
  }

  /// Time for which a datagram that is read at Now may have waited in its socket.
  [[nodiscard]] common::Duration sinceLastTick(common::TimePoint Now) const noexcept {
    return std::max(Now - LastTick, common::Duration::zero());
  }

  void sendTo(relay::NodeAddress To, const relay::PeerMessage &Message) {
    if (To != 0)
      PeerSocket->send(relay::encode(Message), {To, Options.Peers.Port});
  }
  void sendToAll(const std::vector<relay::NodeAddress> &Nodes, const relay::PeerMessage &Message) {
    if (Nodes.empty())
      return;
    const auto Raw = relay::encode(Message);
    for (const auto To : Nodes)
      if (To != 0)
        PeerSocket->send(Raw, {To, Options.Peers.Port});
  }

  /// Logs the start with the common fields and the caller's Fields.
  void logStart(nlohmann::json Fields = nlohmann::json::object()) const {
    Fields["id"] = Options.Id;
    Fields["zone"] = Options.Zone;
    Fields["incarnation"] = Incarnation;
    Fields["version"] = GALENARELAY_VERSION;
    if (!Options.EnabledMechanisms.areDefault())
      Fields["policy_changes"] = changedNames(Options.EnabledMechanisms);
    common::log(common::LogLevel::Info, "started", Fields);
  }

  /// Whether the rate limit permits a log line about a flow; counts the line as suppressed if not.
  bool mayLogFlow(common::TimePoint Now) { return mayLog(FlowLogLimiter, Now); }
  /// The same for a line about the reset of an open flow. These lines have a limit of their own, so
  /// that lines about other flows don't displace them.
  bool mayLogReset(common::TimePoint Now) { return mayLog(ResetLogLimiter, Now); }

  /// Serves the paths that all nodes have, /healthz, /metrics and /v1/zones; 404 for any other.
  common::HttpResponse serveCommonPath(const std::string &Path) const {
    if (Path == "/healthz")
      return {200, "{}"};
    if (Path == "/metrics")
      return {200, Metrics.render(), "text/plain"};
    if (Path == "/v1/zones")
      return {200, Zones.toJson(Options.Zone).dump()};
    return {404, R"({"error":"unknown path"})"};
  }

  /// Applies changed settings: adds the new seeds. All other settings stay, as addresses are fixed
  /// for the life of the process.
  void addSeeds(const RelayOptions &NewOptions) {
    for (const auto &Seed : NewOptions.Seeds)
      Peers.addSeed(Seed.Address);
    common::log(common::LogLevel::Info, "reloaded", {{"seeds", NewOptions.Seeds.size()}});
  }

  /// Counts and logs a message of another node that can't be decoded.
  void rejectMessage(const common::Error &Reason, relay::NodeAddress From, common::TimePoint Now) {
    MalformedPackets.Increment();
    if (RejectLogLimiter.allow(Now))
      common::log(common::LogLevel::Warning, "peer_message_rejected",
                  {{"peer", common::addressToString(From)}, {"detail", Reason.Detail}});
  }

  /// Calls OnRecord(Key, Address) for each node record in Page; logs records that can't be parsed.
  template <typename F> static void forEachRecord(const relay::StorePage &Page, F &&OnRecord) {
    for (const auto &Item : Page.Items) {
      const auto Address = readNodeRecord(Item.Value);
      if (Address)
        OnRecord(Item.Key, *Address);
      else
        common::log(common::LogLevel::Warning, "record_unreadable",
                    {{"key", Item.Key}, {"detail", Address.Failure.Detail}});
    }
  }

  boost::asio::io_context &Io;
  RelayOptions Options;
  common::Metrics &Metrics;
  common::Engine Random;
  common::TimePoint StartedAt;
  std::uint64_t Incarnation;
  relay::BalancerPeers Peers;
  RelayStore<typename Platform::Store> Store;
  NodeRecord<typename Platform::Store> Record;
  ZoneEvacuations Zones;
  std::unique_ptr<common::UdpSocket> PacketSocket;
  common::LogRateLimit RejectLogLimiter{RejectLogLimit};
  prometheus::Gauge &FlowGauge;
  prometheus::Counter &MalformedPackets;

private:
  void noteStoreRestored() {
    Record.onStoreRestored();
    if (OnStoreRestored)
      OnStoreRestored();
  }

  bool mayLog(common::LogRateLimit &Limiter, common::TimePoint Now) {
    if (Limiter.allow(Now))
      return true;
    SuppressedLines.Increment();
    return false;
  }

  relay::StoreEra HeardEra = 0; ///< Named by a balancer.
  std::function<void()> OnStoreRestored;
  common::LogRateLimit FlowLogLimiter{FlowLogLimit};
  common::LogRateLimit ResetLogLimiter{ResetLogLimit};
  prometheus::Counter &SuppressedLines;
  std::unique_ptr<common::UdpSocket> PeerSocket;
  std::vector<std::unique_ptr<common::HttpServer>> Servers;
  boost::asio::steady_timer Ticker;
  common::TimePoint LastTick;
};

} // namespace galenarelay::node::impl

#endif // GALENARELAY_NODE_IMPL_RELAY_NODE_H
