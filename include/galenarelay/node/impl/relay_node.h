#ifndef GALENARELAY_NODE_IMPL_RELAY_NODE_H
#define GALENARELAY_NODE_IMPL_RELAY_NODE_H

#include "galenarelay/common/log.h"
#include "galenarelay/common/udp_socket.h"
#include "galenarelay/node/impl/relay_store.h"
#include "galenarelay/node/relay_platform.h"
#include "galenarelay/node/relay_settings.h"
#include "galenarelay/relay/balancer_peers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace galenarelay::node::impl {

/// Interval of a node's timer, which repeats placements and sends what is due.
inline constexpr common::Duration RelayTick = std::chrono::milliseconds(20);
/// A gap of this length between two ticks means that the process stood still.
inline constexpr common::Duration PauseGap = std::chrono::milliseconds(500);
/// Log lines per second about single flows.
inline constexpr std::uint32_t FlowLogLimit = 50;
/// Log lines per second about messages and calls that can't be read.
inline constexpr std::uint32_t RejectLogLimit = 5;
/// Store keys below which nodes register; the value is the IPv4 address.
inline constexpr const char *NodeRecords = "galenarelay/";
inline constexpr const char *BalancerRecords = "galenarelay/balancers/";
inline constexpr const char *AgentRecords = "galenarelay/agents/";

/// What balancers and agents of relayed flows share: identity, balancers known, the record in the
/// store, sockets for messages and calls, the timer, and bounds of the log.
template <RelayPlatform Platform> class RelayNode {
public:
  RelayNode(const RelayNode &) = delete;
  RelayNode &operator=(const RelayNode &) = delete;

protected:
  template <typename T> using Awaitable = boost::asio::awaitable<T>;

  RelayNode(boost::asio::io_context &Io, RelayOptions Settings, common::Metrics &Metrics,
            const char *Records)
      : Io(Io), Options(std::move(Settings)), Metrics(Metrics), Random(Options.Seed),
        StartedAt(common::suspendAwareNow()),
        Incarnation(static_cast<std::uint64_t>(common::wallMilliseconds())),
        Peers(Options.Packets.Address), Store(Options.Store, Metrics),
        Record(Io, Store, Records + Options.Id, common::addressToString(Options.Packets.Address)),
        FlowGauge(Metrics.gauge("flows", "Flows in the table")),
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

  /// Binds the sockets for messages and calls, and registers in the store.
  void listen(common::UdpSocket::Receiver OnMessage, const common::HttpHandler &Serve) {
    PeerSocket = std::make_unique<common::UdpSocket>(Io, Options.Peers, std::move(OnMessage));
    for (const auto &Address : {Options.Readiness, Options.Admin, Options.Control})
      Servers.push_back(std::make_unique<common::HttpServer>(Io, Address, Serve));
    spawn(Record.keep(Random));
  }

  /// Calls OnTick(Now, Pause) at intervals; Pause is how long the process stood still, or zero.
  template <typename F> void startTimer(F OnTick) {
    Ticker.expires_after(RelayTick);
    Ticker.async_wait([this, OnTick](boost::system::error_code Failure) {
      if (Failure)
        return;
      const auto Now = common::suspendAwareNow();
      const auto Gap = Now - std::exchange(LastTick, Now);
      if (Gap > PauseGap)
        common::log(common::LogLevel::Warning, "resumed_after_pause",
                    {{"pause_ms", common::wholeMilliseconds(Gap)}});
      OnTick(Now, Gap > PauseGap ? Gap : common::Duration::zero());
      startTimer(OnTick);
    });
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

  /// Logs the start, with what a kind of node adds to it.
  void logStart(nlohmann::json Fields = nlohmann::json::object()) const {
    Fields["id"] = Options.Id;
    Fields["zone"] = Options.Zone;
    Fields["incarnation"] = Incarnation;
    Fields["version"] = GALENARELAY_VERSION;
    if (!Options.InUse.all())
      Fields["without"] = namesOff(Options.InUse);
    common::log(common::LogLevel::Info, "started", Fields);
  }

  /// Whether a line about a flow may be logged; counts it if it may not.
  bool mayLogFlow(common::TimePoint Now) {
    if (FlowLog.allow(Now))
      return true;
    SuppressedLines.Increment();
    return false;
  }

  /// Answers what every node is asked alike, and refuses other paths.
  common::HttpResponse answerCommon(const std::string &Path) const {
    if (Path == "/healthz")
      return {200, "{}"};
    if (Path == "/metrics")
      return {200, Metrics.render(), "text/plain"};
    return {404, R"({"error":"unknown path"})"};
  }

  /// The settings file has changed. Addresses are fixed for the life of the process, so that only
  /// the seeds are taken over.
  void takeSeeds(const RelayOptions &Fresh) {
    for (const auto &Seed : Fresh.Seeds)
      Peers.addSeed(Seed.Address);
    common::log(common::LogLevel::Info, "reloaded", {{"seeds", Fresh.Seeds.size()}});
  }

  /// Calls Take(Key, Address) for the records of nodes.
  template <typename F> static void readRecords(const relay::StorePage &Page, F &&Take) {
    for (const auto &Item : Page.Items) {
      const auto Parsed = common::capture([&] { return common::parseEndpoint(Item.Value + ":0"); });
      if (Parsed)
        Take(Item.Key, Parsed->Address);
      else
        common::log(common::LogLevel::Warning, "record_unreadable", {{"key", Item.Key}});
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
  StoreRecord<typename Platform::Store> Record;
  std::unique_ptr<common::UdpSocket> Packets;
  common::LogRateLimit RejectLog{RejectLogLimit};
  prometheus::Gauge &FlowGauge;
  prometheus::Counter &MalformedPackets;

private:
  common::LogRateLimit FlowLog{FlowLogLimit};
  prometheus::Counter &SuppressedLines;
  std::unique_ptr<common::UdpSocket> PeerSocket;
  std::vector<std::unique_ptr<common::HttpServer>> Servers;
  boost::asio::steady_timer Ticker;
  common::TimePoint LastTick;
};

} // namespace galenarelay::node::impl

#endif // GALENARELAY_NODE_IMPL_RELAY_NODE_H
