#ifndef GALENARELAY_MEMBERSHIP_GOSSIP_H
#define GALENARELAY_MEMBERSHIP_GOSSIP_H

#include "galenarelay/common/random.h"
#include "galenarelay/common/time.h"
#include "galenarelay/membership/impl/broadcast_queue.h"
#include "galenarelay/membership/member.h"
#include "galenarelay/membership/store_freshness.h"

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

/// Interval between probes; each one targets the next member of a random order.
inline constexpr common::Duration ProbeInterval = std::chrono::seconds(1);
/// Time to wait for the ack of a direct probe before sending indirect probes.
inline constexpr common::Duration AckTimeout = std::chrono::milliseconds(500);
/// Number of peers asked to probe an unresponsive member on this node's behalf.
inline constexpr std::size_t IndirectProbeCount = 3;
/// A suspect that doesn't refute the suspicion within this time is declared dead.
inline constexpr common::Duration SuspicionTimeout = std::chrono::seconds(3);
/// Minimum time between two rounds of push messages.
inline constexpr common::Duration PushInterval = std::chrono::milliseconds(200);
/// Number of random peers that receive the push messages of one round.
inline constexpr std::size_t PushFanout = 3;
/// Rounds of push messages for each change. After one round with a fanout of three, about 5% of the
/// members learn of the change only from records piggybacked on probes; after two, about 0.3%.
inline constexpr std::uint32_t PushRoundsPerChange = 2;
/// A joining or leaving member is declared dead after this many consecutive failed probes. It isn't
/// marked suspect first: a suspect record of a joining member would make it eligible for routing
/// tables, and one of a leaving member would be superseded by its own leaving state.
inline constexpr std::uint32_t JoinLeaveProbeFailures = 3;
/// Maximum size of a control datagram, in bytes.
inline constexpr std::size_t MaxDatagramBytes = 1200;
/// Maximum size of a member record in a datagram, in CBOR bytes; residual services that don't fit
/// are omitted.
inline constexpr std::size_t MaxRecordBytes = 900;
/// Average rate limit for piggybacked records, in bytes per second. Sending and receiving at this
/// rate stays below 15 KB/s.
inline constexpr double GossipBytesPerSecond = 6000;
/// Burst limit for piggybacked records, in bytes: enough for the loss of an availability zone.
inline constexpr double GossipBurstBytes = 60000;
/// Records of dead members are kept for this time, which exceeds the usual partition. After a
/// longer partition, members find each other again through their seeds.
inline constexpr common::Duration DeadMemberRetention = std::chrono::minutes(30);
/// Interval between probes of a random dead member, so that it can refute its death after a
/// partition.
inline constexpr common::Duration DeadProbeInterval = std::chrono::seconds(5);
/// Once this node has joined and tried every contact address: interval between pings to a contact
/// address that isn't a live member's.
inline constexpr common::Duration SeedContactInterval = std::chrono::seconds(30);
/// Minimum time between two requests for a peer's member list.
inline constexpr common::Duration SyncInterval = std::chrono::seconds(10);
/// Average rate limit for member lists, in bytes per second; longer lists are requested less often.
inline constexpr double SyncBytesPerSecond = 5000;
/// A digest mismatch within this time after a local change is expected and needs no member list.
inline constexpr common::Duration DigestSettleTime = std::chrono::seconds(3);
/// Consecutive digest mismatches before a member list is requested, so that a single stale peer
/// doesn't trigger a request.
inline constexpr std::uint32_t SyncMismatchThreshold = 3;
/// Number of member lists, after the first one, that a node may request at ProbeInterval instead of
/// SyncInterval: when many nodes start together, the first list lacks those that started slightly
/// later.
inline constexpr std::uint32_t MaxEarlySyncs = 2;
/// Maximum number of members including this node, three times the design scale; records of further
/// members are rejected.
inline constexpr std::size_t MaxMembers = 20000;
/// The newer records of a member list are broadcast to peers if there are at most this many. With
/// more, peers request the list themselves.
inline constexpr std::size_t MaxForwardedRecords = 64;
/// Maximum number of unacknowledged probes on behalf of other members; further requests are
/// dropped.
inline constexpr std::size_t MaxRelayedProbes = 256;
/// Maximum number of contact addresses from settings and store; further ones are ignored.
inline constexpr std::size_t MaxContacts = 1024;
/// Number of members per availability zone that watch the store.
inline constexpr std::size_t WatchersPerZone = 3;
/// When a member reads the store because no member is known to have read it lately, in a system of
/// up to as many members as make MaxStoreReadsPerSecond if the store turns all of them away. With
/// more, the time between the bounds and the retry interval grow in proportion.
inline constexpr FreshnessBounds StoreReadBounds{std::chrono::seconds(3), std::chrono::seconds(6),
                                                 std::chrono::seconds(4)};
/// A quarter of the reads that the store serves.
inline constexpr std::size_t MaxStoreReadsPerSecond = 500;

/// Action: send a datagram from the control socket.
struct SendDatagram {
  common::Endpoint To;
  std::vector<std::uint8_t> Bytes;

  friend bool operator==(const SendDatagram &, const SendDatagram &) = default;
};

/// Action: notify of at least one changed record.
struct NotifyViewChanged {
  friend bool operator==(const NotifyViewChanged &, const NotifyViewChanged &) = default;
};

/// Action: fetch GET /v1/members from an admin address and pass the list to Gossip::onMembers.
struct FetchMembers {
  common::Endpoint Admin;

  friend bool operator==(const FetchMembers &, const FetchMembers &) = default;
};

/// Action: fetch the newer configuration that the peer at an admin address has.
struct FetchConfiguration {
  common::Endpoint Admin;
  std::uint64_t Revision = 0;

  friend bool operator==(const FetchConfiguration &, const FetchConfiguration &) = default;
};

/// Action: call the store, since a peer has seen a newer era of it than this node.
struct CheckStore {
  std::uint64_t Era = 0;

  friend bool operator==(const CheckStore &, const CheckStore &) = default;
};

/// Action: read the configuration from the store, and pass the result to Gossip::noteStoreRead or
/// Gossip::noteStoreReadFailed.
struct ReadStore {
  friend bool operator==(const ReadStore &, const ReadStore &) = default;
};

/// Action: count and log a rejected input.
struct RejectInput {
  common::Error Reason;

  friend bool operator==(const RejectInput &, const RejectInput &) = default;
};

using GossipAction = std::variant<SendDatagram, NotifyViewChanged, FetchMembers, FetchConfiguration,
                                  CheckStore, ReadStore, RejectInput>;
using GossipActions = std::vector<GossipAction>;

/// IDs of the members that watch the store for a zone, selected by rendezvous hashing: the active
/// or suspect members with the WatchersPerZone highest scores, best first.
[[nodiscard]] std::vector<std::string> storeWatchers(const std::vector<Member> &Members,
                                                     const std::string &Zone);

/// SWIM membership protocol as a state machine without I/O: event handlers take the current time
/// and return the actions for the caller to perform.
///
/// Example: `for (auto &Action : Core.onTimer(Now)) perform(Action);`
class Gossip {
public:
  /// Self must hold the addresses that its control and admin sockets are bound to. Seeds
  /// are the first contact addresses; RandomSeed initializes the random engine.
  Gossip(Member Self, std::vector<common::Endpoint> Seeds, std::uint64_t RandomSeed);

  [[nodiscard]] const Member &self() const noexcept { return OwnRecord; }
  /// All records sorted by ID, including those of dead members and of this node.
  [[nodiscard]] std::vector<Member> members() const;
  /// The record of a peer or of this node; null if the ID is unknown.
  [[nodiscard]] const Member *member(const std::string &Id) const noexcept;
  /// Number of members that aren't dead, including this node.
  [[nodiscard]] std::size_t liveCount() const;
  /// True once this node has processed a peer's member list or seen a peer with an equal digest.
  [[nodiscard]] bool joined() const noexcept { return Joined; }
  /// Hash over the records of live members; equal on nodes with equal views.
  [[nodiscard]] std::uint64_t digest() const noexcept { return Digest; }
  [[nodiscard]] std::uint64_t revision() const noexcept { return Revision; }
  [[nodiscard]] std::uint64_t storeEra() const noexcept { return StoreEra; }
  /// True while a changed record or revision has rounds of push messages left.
  [[nodiscard]] bool hasPushRoundsLeft() const noexcept;
  [[nodiscard]] common::TimePoint nextTimer() const;

  [[nodiscard]] GossipActions start(common::TimePoint Now);
  [[nodiscard]] GossipActions onTimer(common::TimePoint Now);
  /// Handles a decoded ping, ack, pingreq or push message.
  [[nodiscard]] GossipActions onMessage(const nlohmann::json &Message, common::Endpoint From,
                                        common::TimePoint Now);
  /// Merges a peer's member list into the view.
  [[nodiscard]] GossipActions onMembers(const std::vector<Member> &List, common::TimePoint Now);
  /// Adds control addresses from the store to the contacts. A contact becomes a member only when it
  /// answers.
  void addContacts(const std::vector<common::Endpoint> &Addresses);
  /// Sets this node's state and residual services and broadcasts them with a higher incarnation.
  [[nodiscard]] GossipActions announce(MemberState State, std::vector<std::string> Residual,
                                       common::TimePoint Now);
  /// Sets this node's configuration revision and pushes it to peers; a lower or equal revision is
  /// ignored.
  [[nodiscard]] GossipActions setRevision(std::uint64_t NewRevision, common::TimePoint Now);
  /// Sets the store's era that this node has seen and pushes it to peers; a lower or equal era is
  /// ignored.
  [[nodiscard]] GossipActions setStoreEra(std::uint64_t NewEra, common::TimePoint Now);
  /// This node has read the store, which had no later configuration at AsOf. If no member was known
  /// to have read it lately, pushes this to peers.
  [[nodiscard]] GossipActions noteStoreRead(common::TimePoint AsOf, common::TimePoint Now);
  /// The read that ReadStore asked for has failed.
  void noteStoreReadFailed(common::TimePoint Now);
  /// Time since the store was last known to have no later configuration than this node's; empty
  /// before the first read is known.
  [[nodiscard]] std::optional<common::Duration> storeReadAge(common::TimePoint Now) const noexcept {
    return Freshness.age(Now);
  }

private:
  struct Peer {
    Member Record;
    std::uint32_t FailedProbes = 0;
    common::TimePoint DeadSince{};
  };
  struct Probe {
    std::string Id;
    std::uint64_t Sequence = 0;
    bool IndirectSent = false; ///< True once indirect probes were requested.
  };
  struct RelayedProbe {
    common::Endpoint Requester;
    std::uint64_t Sequence = 0;
    common::TimePoint Expires;
  };
  enum class RecordSource : std::uint8_t { Datagram, List };

  GossipActions takeActions();
  void handleMessage(const nlohmann::json &Message, common::Endpoint From, common::TimePoint Now);
  void applyRecords(const nlohmann::json &Records, common::TimePoint Now);
  /// Takes over what the sender of a message knows of reads of the store.
  void hearStoreRead(const nlohmann::json &Message, common::TimePoint Now);
  void readStoreIfDue(common::TimePoint Now);
  /// Sends the age of the last known read of the store to PushFanout random peers.
  void pushStoreReadAge(common::TimePoint Now);
  void compareDigest(const Peer &Sender, std::uint64_t SenderDigest, common::TimePoint Now);
  void onAck(std::uint64_t Sequence, common::TimePoint Now);
  void relayProbe(const nlohmann::json &Message, common::Endpoint From, common::TimePoint Now);

  bool applyRecord(const Member &Incoming, RecordSource Source, common::TimePoint Now);
  void applyShortRecord(const nlohmann::json &Record, common::TimePoint Now);
  void storeRecord(Peer &Target, const Member &Incoming, common::TimePoint Now);
  void refute(const Member &Incoming, common::TimePoint Now);
  void changeState(Peer &Target, MemberState State, common::TimePoint Now);
  void broadcast(const Member &Record);
  void updateOwnDigest(const Member &Previous);

  void resumeAfterPause(common::TimePoint Now);
  void probeNext(common::TimePoint Now);
  std::optional<std::string> nextProbeTarget();
  void failUnansweredProbe(common::TimePoint Now);
  void sendIndirectProbes(common::TimePoint Now);
  void expireSuspicions(common::TimePoint Now);
  void removeExpiredDeadMembers(common::TimePoint Now);
  void probeDeadMember(common::TimePoint Now);
  void contactSeed(common::TimePoint Now);
  void pushChanges(common::TimePoint Now);
  [[nodiscard]] bool hasPendingPush() const noexcept;

  [[nodiscard]] const std::vector<std::string> &liveIds() const;
  [[nodiscard]] std::uint32_t transmitLimit() const;
  [[nodiscard]] std::vector<std::string> randomPeers(std::size_t Count,
                                                     const std::string &ExcludedId);
  void send(const std::string &Type, common::Endpoint To, const Peer *Receiver,
            nlohmann::json Fields, common::TimePoint Now);
  void refillByteBudget(common::TimePoint Now);
  /// Replaces a number that all messages carry by a higher one and pushes it to peers.
  void pushIfNewer(std::uint64_t &Current, std::uint64_t Offered, common::TimePoint Now);

  Member OwnRecord;
  std::vector<common::Endpoint> Contacts;
  common::Engine Random;
  std::map<std::string, Peer> Peers; ///< By ID, without this node.
  std::set<std::pair<common::TimePoint, std::string>> Suspicions;
  std::set<std::string> UnconfirmedDeaths; ///< Reported dead by others, live in this view.
  impl::BroadcastQueue Broadcasts;
  mutable std::vector<std::string> CachedLiveIds; ///< IDs of the peers that aren't dead.
  mutable bool LiveIdsStale = true;
  std::vector<std::string> ProbeQueue; ///< Peers left to probe in this round.
  std::optional<Probe> PendingProbe;
  std::map<std::uint64_t, RelayedProbe> RelayedProbes;
  GossipActions Actions;

  std::uint64_t Digest = 0;
  std::uint64_t Revision = 0;
  std::uint64_t StoreEra = 0;
  std::uint32_t ChangePushRoundsLeft = 0; ///< Rounds of push messages left for these two.
  StoreFreshness Freshness;
  bool ReadingStore = false; ///< The result of a ReadStore is awaited.
  std::uint64_t NextSequence = 1;
  std::uint32_t DigestMismatches = 0;
  std::uint32_t EarlySyncsLeft = MaxEarlySyncs;
  double ByteBudget = GossipBurstBytes;
  bool Joined = false;
  bool ViewChangePending = false;
  std::size_t NextContact = 0;
  std::size_t UntriedContacts = 0; ///< Tried one per probe interval, even if joined.

  common::TimePoint BudgetRefilledAt{};
  common::TimePoint NextProbeAt{};
  common::TimePoint IndirectProbesAt{};
  common::TimePoint NextPushAt{};
  common::TimePoint NextDeadProbeAt{};
  common::TimePoint NextSeedContactAt{};
  common::TimePoint NextSyncAt{};
  common::TimePoint LastChangeAt{};
};

} // namespace galenarelay::membership

#endif // GALENARELAY_MEMBERSHIP_GOSSIP_H
