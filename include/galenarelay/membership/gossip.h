#ifndef GALENARELAY_MEMBERSHIP_GOSSIP_H
#define GALENARELAY_MEMBERSHIP_GOSSIP_H

#include "galenarelay/common/random.h"
#include "galenarelay/common/time.h"
#include "galenarelay/membership/impl/broadcast_queue.h"
#include "galenarelay/membership/member.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace galenarelay::membership {

/// One probe per interval.
inline constexpr common::Duration ProbeInterval = std::chrono::seconds(1);
/// A direct probe without an ack is followed by indirect ones after this time.
inline constexpr common::Duration AckTimeout = std::chrono::milliseconds(500);
/// Peers asked to probe on this node's behalf.
inline constexpr std::size_t IndirectProbes = 3;
/// Time that a suspect has to refute.
inline constexpr common::Duration SuspicionTimeout = std::chrono::seconds(3);
/// Least time between two rounds of pushes.
inline constexpr common::Duration PushInterval = std::chrono::milliseconds(200);
/// Peers per round of pushes.
inline constexpr std::size_t PushFanout = 3;
/// Rounds of pushes for each change. One round of three leaves about 5% of the members to the
/// piggybacked probes, two leave about 0.3%.
inline constexpr std::uint32_t PushRounds = 2;
/// A joining or leaving member is dead after this many failed probes in a row: a suspect record
/// would be replaced by its own state or would put it into tables.
inline constexpr std::uint32_t UnsettledProbes = 3;
/// Largest control datagram, in bytes.
inline constexpr std::size_t MaxDatagramBytes = 1200;
/// Largest member record in a datagram, in bytes; residual services beyond it are left out.
inline constexpr std::size_t MaxRecordBytes = 900;
/// Piggybacked bytes per second on average; with as much received it stays below 15 KB/s.
inline constexpr double GossipBytesPerSecond = 6000;
/// Piggybacked bytes that may be sent at once, enough for the loss of an availability zone.
inline constexpr double GossipBurstBytes = 60000;
/// Dead records are kept this long: longer than the usual partition, after which seeds help.
inline constexpr common::Duration DeadRetention = std::chrono::minutes(30);
/// A random dead member is probed this often, so that it can refute after a partition.
inline constexpr common::Duration DeadProbeInterval = std::chrono::seconds(5);
/// A random seed that is no live member is contacted this often.
inline constexpr common::Duration SeedInterval = std::chrono::seconds(30);
/// Least time between two requests for a peer's member list.
inline constexpr common::Duration SyncInterval = std::chrono::seconds(10);
/// Bytes per second that a member list may cost on average; a long list is asked for less often.
inline constexpr double SyncBytesPerSecond = 5000;
/// A digest that differs within this time of a local change is expected.
inline constexpr common::Duration SyncQuietTime = std::chrono::seconds(3);
/// Digests in a row that must differ before the list is asked for: one stale peer isn't a reason.
inline constexpr std::uint32_t SyncMismatches = 3;
/// Lists that a node may ask for soon after its first one, at the probe interval: when many nodes
/// start together, the first list lacks those that were a little later.
inline constexpr std::uint32_t MaxEarlySyncs = 2;
/// More members than this are refused: three times the design scale.
inline constexpr std::size_t MaxMembers = 20000;
/// Records of one list that are passed on; a longer list reaches the others by their own requests.
inline constexpr std::size_t MaxRelayedRecords = 64;
/// Probes on behalf of others that are waiting for an ack.
inline constexpr std::size_t MaxRelays = 256;
/// Contact addresses from settings and store.
inline constexpr std::size_t MaxContacts = 1024;
/// Members per availability zone that watch the store.
inline constexpr std::size_t WatchersPerZone = 3;

/// Send these bytes from the control socket.
struct SendDatagram {
  common::Endpoint To;
  std::vector<std::uint8_t> Bytes;

  friend bool operator==(const SendDatagram &, const SendDatagram &) = default;
};

/// At least one record changed.
struct ViewChanged {
  friend bool operator==(const ViewChanged &, const ViewChanged &) = default;
};

/// Ask this admin address for GET /v1/members and hand the list to onMembers.
struct FetchMembers {
  common::Endpoint Admin;

  friend bool operator==(const FetchMembers &, const FetchMembers &) = default;
};

/// The peer at this admin address has a newer configuration.
struct FetchConfiguration {
  common::Endpoint Admin;
  std::uint64_t Revision = 0;

  friend bool operator==(const FetchConfiguration &, const FetchConfiguration &) = default;
};

/// Count and log input that was dropped.
struct RejectInput {
  common::Error Reason;

  friend bool operator==(const RejectInput &, const RejectInput &) = default;
};

using GossipAction =
    std::variant<SendDatagram, ViewChanged, FetchMembers, FetchConfiguration, RejectInput>;
using GossipActions = std::vector<GossipAction>;

/// IDs of the members that watch the store for a zone: the highest rendezvous scores.
[[nodiscard]] std::vector<std::string> storeWatchers(const std::vector<Member> &Members,
                                                     const std::string &Zone);

/// Membership by SWIM gossip as a state machine of events, actions and a given time.
/// Example: `for (auto &Action : Core.onTimer(Now)) perform(Action);`
class Gossip {
public:
  /// Self needs its bound control and admin addresses.
  Gossip(Member Self, std::vector<common::Endpoint> Seeds, std::uint64_t Seed);

  [[nodiscard]] const Member &self() const noexcept { return Own; }
  /// All records, also of dead members and of this node, sorted by ID.
  [[nodiscard]] std::vector<Member> members() const;
  /// The record of a peer or of this node; null if unknown.
  [[nodiscard]] const Member *member(const std::string &Id) const noexcept;
  /// Members that aren't dead, with this node.
  [[nodiscard]] std::size_t liveCount() const;
  /// True once a peer's list was taken or found equal to the own one.
  [[nodiscard]] bool joined() const noexcept { return Joined; }
  /// Hash of the live records; equal on nodes with equal views.
  [[nodiscard]] std::uint64_t digest() const noexcept { return Digest; }
  [[nodiscard]] std::uint64_t revision() const noexcept { return Revision; }
  /// True while a change waits for its pushes.
  [[nodiscard]] bool hasUnsentChanges() const noexcept;
  [[nodiscard]] common::TimePoint nextTimer() const;

  [[nodiscard]] GossipActions start(common::TimePoint Now);
  [[nodiscard]] GossipActions onTimer(common::TimePoint Now);
  /// Takes a decoded ping, ack, pingreq or push.
  [[nodiscard]] GossipActions onMessage(const nlohmann::json &Message, common::Endpoint From,
                                        common::TimePoint Now);
  /// Takes a peer's member list.
  [[nodiscard]] GossipActions onMembers(const std::vector<Member> &List, common::TimePoint Now);
  /// Adds control addresses to contact, from the store. They aren't members until they answer.
  void addContacts(const std::vector<common::Endpoint> &Addresses);
  /// Announces this node's state and residual services.
  [[nodiscard]] GossipActions announce(MemberState State, std::vector<std::string> Residual,
                                       common::TimePoint Now);
  /// Tells peers of the revision held here; a lower one is ignored.
  [[nodiscard]] GossipActions setRevision(std::uint64_t Held, common::TimePoint Now);

private:
  struct Peer {
    Member Record;
    std::uint32_t FailedProbes = 0;
    common::TimePoint DeadSince{};
  };
  struct Probe {
    std::string Id;
    std::uint64_t Number = 0;
    bool Asked = false; ///< Indirect probes were sent.
  };
  struct Relay {
    common::Endpoint To;
    std::uint64_t Number = 0;
    common::TimePoint Expires;
  };
  enum class Source : std::uint8_t { Datagram, List };

  GossipActions takeActions();
  void readMessage(const nlohmann::json &Message, common::Endpoint From, common::TimePoint Now);
  void readRecords(const nlohmann::json &Records, common::TimePoint Now);
  void noteDigest(const Peer &Sender, std::uint64_t Theirs, common::TimePoint Now);
  void onAck(std::uint64_t Number);
  void relayProbe(const nlohmann::json &Message, common::Endpoint From, common::TimePoint Now);

  bool apply(const Member &Offered, Source From, common::TimePoint Now);
  void applyShort(const nlohmann::json &Record, common::TimePoint Now);
  void store(Peer &Into, const Member &Offered, common::TimePoint Now);
  void refute(const Member &Offered, common::TimePoint Now);
  void changeState(Peer &Of, MemberState State, common::TimePoint Now);
  void broadcast(const Member &Record);
  void refreshOwnDigest(const Member &Before);

  void resumeAfterPause(common::TimePoint Now);
  void probeNext(common::TimePoint Now);
  std::optional<std::string> nextTarget();
  void endProbe(common::TimePoint Now);
  void askIndirect();
  void expireSuspicions(common::TimePoint Now);
  void forgetDead(common::TimePoint Now);
  void probeDead(common::TimePoint Now);
  void contactSeed(common::TimePoint Now);
  void pushChanges(common::TimePoint Now);
  [[nodiscard]] bool pushIsDue() const noexcept;

  [[nodiscard]] const std::vector<std::string> &liveIds() const;
  [[nodiscard]] std::uint32_t transmitLimit() const;
  [[nodiscard]] std::vector<std::string> randomPeers(std::size_t Count, const std::string &Except);
  void send(const std::string &Type, common::Endpoint To, const Peer *Receiver,
            nlohmann::json Fields);
  void refill(common::TimePoint Now);

  Member Own;
  std::vector<common::Endpoint> Contacts;
  common::Engine Random;
  std::map<std::string, Peer> Peers; ///< Without this node.
  std::set<std::pair<common::TimePoint, std::string>> Suspicions;
  std::set<std::string> Doubts; ///< Reported dead by others but believed alive here.
  impl::BroadcastQueue Queue;
  mutable std::vector<std::string> Live; ///< Peers that aren't dead.
  mutable bool LiveStale = true;
  std::vector<std::string> Round; ///< Peers still to probe in this round.
  std::optional<Probe> Current;
  std::map<std::uint64_t, Relay> Relays;
  GossipActions Out;

  std::uint64_t Digest = 0;
  std::uint64_t Revision = 0;
  std::uint32_t RevisionRounds = 0; ///< Rounds of pushes left for the revision.
  std::uint64_t NextNumber = 1;
  std::uint32_t Mismatches = 0;
  std::uint32_t EarlySyncs = MaxEarlySyncs;
  double Budget = GossipBurstBytes;
  bool Joined = false;
  bool Changed = false;
  std::size_t NextContact = 0;
  std::size_t UntriedContacts = 0; ///< Contacts to try once a probe interval, although joined.

  common::TimePoint BudgetAt{};
  common::TimePoint NextProbe{};
  common::TimePoint IndirectAt{};
  common::TimePoint NextPush{};
  common::TimePoint NextDeadProbe{};
  common::TimePoint NextSeedContact{};
  common::TimePoint NextSync{};
  common::TimePoint LastChange{};
};

} // namespace galenarelay::membership

#endif // GALENARELAY_MEMBERSHIP_GOSSIP_H
