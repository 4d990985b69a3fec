#ifndef GALENARELAY_NODE_IMPL_RELAY_STORE_H
#define GALENARELAY_NODE_IMPL_RELAY_STORE_H

#include "galenarelay/common/endpoint.h"
#include "galenarelay/common/log.h"
#include "galenarelay/common/metrics.h"
#include "galenarelay/node/impl/call_pause.h"
#include "galenarelay/node/impl/newest_era.h"
#include "galenarelay/relay/store_call.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace galenarelay::node::impl {

/// Timeout of a call to the store, in addition to the wait that the call itself requests. It is
/// many times the usual few milliseconds, and leaves time within the 3 s for a configuration
/// change.
inline constexpr common::Duration StoreCallTimeout = std::chrono::milliseconds(1000);
/// Wait that a watch requests from the store (long poll). With StoreCallTimeout it bounds the time
/// until a dead connection is noticed; changes that it misses meanwhile are found by
/// RelayBalancer::readStore().
inline constexpr common::Duration StoreWatchWait = std::chrono::seconds(4);

/// Client of the key-value store, whose requests and responses Protocol encodes and parses. Every
/// call has a timeout; none is retried here; callers that need the result retry with backoff.
template <relay::StoreProtocol Protocol> class RelayStore {
public:
  template <typename T> using Answer = boost::asio::awaitable<common::Outcome<T>>;

  RelayStore(common::Endpoint Address, common::Metrics &Metrics)
      : Address(Address), Metrics(Metrics),
        EraGauge(Metrics.gauge("store_era", "Era of the store's newest answer")) {}

  /// The newest era that an answer has named; 0 before the first answer.
  [[nodiscard]] relay::StoreEra era() const noexcept { return Newest.value(); }

  /// Callback is called with the era when an answer shows that the store has been restored.
  void onRestored(std::function<void(relay::StoreEra)> Callback) {
    OnRestored = std::move(Callback);
  }

  Answer<relay::StorePage> list(std::string Prefix) {
    return call("list", Protocol::list(Prefix), StoreCallTimeout, &Protocol::readPage);
  }
  /// All pages of a list, with the revision of the first: what changes while the others are read
  /// follows in a watch after it. Errors: also StoreEraEnded.
  Answer<relay::StorePage> listAll(std::string Prefix) {
    auto All = co_await list(Prefix);
    while (All && All->More) {
      const std::string LastKey = lastKeyOf(*All);
      auto Next =
          co_await callInEra(All->Revision.Era, "list", Protocol::listAfter(Prefix, LastKey),
                             StoreCallTimeout, &Protocol::readPage);
      if (!Next)
        co_return Next;
      // A page without a further key would be followed by itself.
      All->More = Next->More && lastKeyOf(*Next) > LastKey;
      All->Items.insert(All->Items.end(), Next->Items.begin(), Next->Items.end());
      All->UnreadableKeys.insert(All->UnreadableKeys.end(), Next->UnreadableKeys.begin(),
                                 Next->UnreadableKeys.end());
    }
    co_return All;
  }
  Answer<relay::StorePage> listRecent(std::string Prefix) {
    return call("list_recent", Protocol::listRecent(Prefix), StoreCallTimeout, &Protocol::readPage);
  }
  /// Waits for changes after a revision. Errors: also StoreEraEnded.
  Answer<relay::StorePage> watch(std::string Prefix, relay::StoreRevision After,
                                 common::Duration Wait) {
    return callInEra(After.Era, "watch", Protocol::watch(Prefix, After.Number, Wait),
                     Wait + StoreCallTimeout, &Protocol::readPage);
  }
  /// Errors: also StoreEraEnded.
  Answer<relay::StoreRevision> put(std::string Key, std::string Value, relay::StoreLease Lease) {
    return callInEra(Lease.Era, "put", Protocol::put(Key, Value, Lease.Id), StoreCallTimeout,
                     &Protocol::readWritten);
  }
  Answer<relay::StoreRevision> remove(std::string Key) {
    return call("remove", Protocol::remove(Key), StoreCallTimeout, &Protocol::readWritten);
  }
  Answer<relay::StoreLease> grantLease(common::Duration TimeToLive) {
    return call("grant_lease", Protocol::grantLease(TimeToLive), StoreCallTimeout,
                &Protocol::readLease);
  }
  /// Errors: also StoreEraEnded.
  Answer<relay::StoreLease> renewLease(relay::StoreLease Lease) {
    return callInEra(Lease.Era, "renew_lease", Protocol::renewLease(Lease.Id), StoreCallTimeout,
                     &Protocol::readLease);
  }

private:
  /// A call whose revision or lease means something else, or nothing, in any other era.
  template <typename T>
  Answer<T> callInEra(relay::StoreEra Era, const char *Kind, relay::StoreCall Request,
                      common::Duration Timeout,
                      common::Outcome<T> (*ReadResponse)(const common::HttpResponse &)) {
    if (Era != era())
      co_return eraEnded<T>();
    auto Result = co_await call(Kind, std::move(Request), Timeout, ReadResponse);
    if (Result && eraOf(*Result) != Era)
      co_return eraEnded<T>();
    co_return Result;
  }

  static std::string lastKeyOf(const relay::StorePage &Page) {
    std::string Last;
    for (const auto &Item : Page.Items)
      Last = std::max(Last, Item.Key);
    for (const auto &Key : Page.UnreadableKeys)
      Last = std::max(Last, Key);
    return Last;
  }

  template <typename T> static common::Outcome<T> eraEnded() {
    return {std::nullopt,
            {common::ResultCode::StoreEraEnded, "the store has been restored from a copy"}};
  }

  template <typename T>
  Answer<T> call(const char *Kind, relay::StoreCall Request, common::Duration Timeout,
                 common::Outcome<T> (*ReadResponse)(const common::HttpResponse &)) {
    auto Response =
        co_await common::httpCall(Address, std::move(Request.Method), std::move(Request.Target),
                                  std::move(Request.Body), Timeout);
    auto Result = Response ? read(*Response, ReadResponse)
                           : common::Outcome<T>{std::nullopt, std::move(Response.Failure)};
    const std::string Code(common::name(Result ? common::ResultCode::Ok : Result.Failure.Code));
    Metrics.counter("store_calls_total", "Calls to the store", {{"kind", Kind}, {"result", Code}})
        .Increment();
    logReachabilityChange(static_cast<bool>(Result) ||
                              Result.Failure.Code == common::ResultCode::StoreKeyNotFound ||
                              Result.Failure.Code == common::ResultCode::StoreHistoryGone ||
                              Result.Failure.Code == common::ResultCode::StoreEraEnded,
                          Code);
    co_return Result;
  }

  template <typename T>
  common::Outcome<T> read(const common::HttpResponse &Response,
                          common::Outcome<T> (*ReadResponse)(const common::HttpResponse &)) {
    const auto Named = Protocol::readEra(Response);
    if (!Named)
      return {std::nullopt, Named.Failure};
    const auto Found = Newest.note(*Named);
    if (Found == NewestEra::Finding::Ended)
      return eraEnded<T>();
    EraGauge.Set(static_cast<double>(era()));
    if (Found == NewestEra::Finding::Restored && OnRestored)
      OnRestored(era());
    auto Result = ReadResponse(Response);
    if (Result)
      eraOf(*Result) = era();
    return Result;
  }

  static relay::StoreEra &eraOf(relay::StorePage &Page) { return Page.Revision.Era; }
  static relay::StoreEra &eraOf(relay::StoreRevision &Revision) { return Revision.Era; }
  static relay::StoreEra &eraOf(relay::StoreLease &Lease) { return Lease.Era; }

  void logReachabilityChange(bool IsReachable, const std::string &Code) {
    if (std::exchange(Reachable, IsReachable) == IsReachable)
      return;
    if (IsReachable)
      common::log(common::LogLevel::Info, "store_regained");
    else
      common::log(common::LogLevel::Warning, "store_lost", {{"reason", Code}});
  }

  common::Endpoint Address;
  common::Metrics &Metrics;
  prometheus::Gauge &EraGauge;
  NewestEra Newest;
  std::function<void(relay::StoreEra)> OnRestored;
  bool Reachable = true;
};

/// Follows the keys of the store with a prefix: their values, then the changes. Reads the values
/// again where the changes since the last page can't be told: after the history has gone, and after
/// a restore.
template <relay::StoreProtocol Protocol> class KeyWatch {
public:
  KeyWatch(RelayStore<Protocol> &Store, std::string Prefix)
      : Store(Store), Prefix(std::move(Prefix)) {}

  /// Returns the next page; it may have no items. Waits for a change for up to LongestWait. Errors:
  /// those of RelayStore's calls. The caller pauses before the next call after an error, and while
  /// no key exists.
  boost::asio::awaitable<common::Outcome<relay::StorePage>>
  next(common::Duration LongestWait = StoreWatchWait) {
    // g++ 12 destroys temporaries of a co_await within a conditional expression twice.
    common::Outcome<relay::StorePage> Page;
    HasList = !Position;
    const auto SentAt = common::suspendAwareNow();
    // After a failure the store may have been restored. Without a wait, the answer tells at once.
    const auto Wait = AfterFailure || HasList ? common::Duration::zero() : LongestWait;
    if (Position)
      Page = co_await Store.watch(Prefix, *Position, Wait);
    else
      Page = co_await Store.listAll(Prefix);
    AfterFailure = !Page;
    // The store sends a change at once and the answer may be delayed, so that only an answer
    // without changes shows that the store has waited.
    AsOf = SentAt;
    if (Page && Page->Items.empty())
      AsOf = std::min(SentAt + Wait, common::suspendAwareNow());
    if (Page && (Position || !Page->Items.empty()))
      Position = Page->Revision;
    else if (Page.Failure.Code == common::ResultCode::StoreHistoryGone ||
             Page.Failure.Code == common::ResultCode::StoreEraEnded)
      Position.reset();
    co_return Page;
  }

  /// Reads the values again with the next page.
  void restart() { Position.reset(); }
  /// Whether the last page has all keys, and not only those that have changed.
  [[nodiscard]] bool hasList() const noexcept { return HasList; }
  /// A time at which the store had no later change than those of the last page.
  [[nodiscard]] common::TimePoint asOf() const noexcept { return AsOf; }
  /// False before a value has been read.
  [[nodiscard]] bool hasValue() const noexcept { return Position.has_value(); }

private:
  RelayStore<Protocol> &Store;
  std::string Prefix;
  std::optional<relay::StoreRevision> Position;
  common::TimePoint AsOf{};
  bool HasList = false;
  bool AfterFailure = false;
};

/// Reads the value of a node's record: an IPv4 address that one machine can have.
/// Errors: MessageMalformed.
[[nodiscard]] inline common::Outcome<std::uint32_t> readNodeRecord(const std::string &Value) {
  constexpr std::uint32_t FirstMulticast = 0xe0000000;
  const auto Parsed = common::capture([&] { return common::parseEndpoint(Value + ":0"); });
  if (!Parsed || Parsed->Address == 0 || Parsed->Address >= FirstMulticast)
    return {std::nullopt,
            {common::ResultCode::MessageMalformed, "'" + Value + "' isn't a node's address"}};
  return {Parsed->Address, {}};
}

/// Bounds of the exponential backoff after failed calls.
inline constexpr common::Duration MinCallBackoff = std::chrono::milliseconds(100);
inline constexpr common::Duration MaxCallBackoff = std::chrono::milliseconds(1500);
/// Lease time of a node's record, and the interval of its renewals. After all processes have failed
/// together, as in a power cut, the records tell which nodes exist, so the lease is far longer than
/// a restart.
inline constexpr common::Duration RecordLeaseTime = std::chrono::seconds(30);
inline constexpr common::Duration RecordRenewalInterval = std::chrono::seconds(10);
/// Maximum backoff after a failed renewal or removal of the record. With it, a record whose lease
/// expired during an outage of the store is written again within two seconds after the outage.
inline constexpr common::Duration MaxRecordRetryDelay = std::chrono::milliseconds(1000);
/// Initial backoff for the record, above MinCallBackoff: only nodes that start later need the
/// record, so it is less urgent than the calls that this node depends on.
inline constexpr common::Duration MinRecordRetryDelay = std::chrono::milliseconds(500);

/// The node's record in the store, by which other nodes find it: the key holds the node's address,
/// under a lease that is renewed while the node runs.
template <relay::StoreProtocol Protocol> class NodeRecord {
public:
  NodeRecord(boost::asio::io_context &Io, RelayStore<Protocol> &Store, std::string Key,
             std::string Value)
      : Store(Store), Key(std::move(Key)), Value(std::move(Value)), RenewalTimer(Io) {}

  /// Runs forever: keeps the record in the store while it is wanted, and removes it when it isn't.
  boost::asio::awaitable<void> keep(common::Engine &Random) {
    Backoff Backoff(MinRecordRetryDelay, MaxRecordRetryDelay, Random);
    while (true) {
      if (std::exchange(Doubted, false))
        co_await sleepFor(jittered(MinRecordRetryDelay, Random));
      const bool WantedBefore = Wanted;
      bool Succeeded = false;
      // g++ 12 destroys temporaries of a co_await within a conditional expression twice.
      if (WantedBefore)
        Succeeded = co_await writeOrRenew();
      else
        Succeeded = co_await removeFromStore();
      if (WantedBefore != Wanted || Doubted)
        continue;
      if (Succeeded)
        Backoff.reset();
      RenewalTimer.expires_after(Succeeded ? jittered(RecordRenewalInterval, Random)
                                           : Backoff.nextDelay());
      co_await RenewalTimer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
  }

  /// Sets whether the record should be in the store; a change wakes keep() at once.
  void setWanted(bool NowWanted) {
    if (std::exchange(Wanted, NowWanted) != NowWanted)
      RenewalTimer.cancel();
  }

  /// The store has been restored, so that a record may be missing, and a removed one back: wakes
  /// keep(), which looks after a random delay, as all nodes do so.
  void onStoreRestored() {
    Doubted = true;
    MayBeStored = true;
    RenewalTimer.cancel();
  }

  /// Removes the record for good. Without that it would stay until its lease expires.
  boost::asio::awaitable<void> remove() {
    Wanted = false;
    co_await removeFromStore();
  }

private:
  /// Renews the lease, or writes the record under a new lease. Returns true if the record is in the
  /// store.
  boost::asio::awaitable<bool> writeOrRenew() {
    // remove() may reset the member during the call.
    if (const auto Held = Lease) {
      const auto Renewed = co_await Store.renewLease(*Held);
      if (Renewed)
        co_return true;
      if (Renewed.Failure.Code == common::ResultCode::StoreEraEnded)
        co_return co_await lookUpAfterRestore(*Held);
      if (Renewed.Failure.Code != common::ResultCode::StoreKeyNotFound)
        co_return false;
      common::log(common::LogLevel::Warning, "record_lapsed", {{"key", Key}});
      Lease.reset();
    }
    const auto Granted = co_await Store.grantLease(RecordLeaseTime);
    if (!Granted)
      co_return false;
    MayBeStored = true;
    const auto Result = co_await Store.put(Key, Value, *Granted);
    if (Result)
      Lease = *Granted;
    co_return static_cast<bool>(Result);
  }

  /// Keeps the lease if the copy has the record under it, since it has the lease then too. Without
  /// the record, a lease of this number is another node's.
  boost::asio::awaitable<bool> lookUpAfterRestore(relay::StoreLease Known) {
    const auto Page = co_await Store.list(Key);
    if (!Page)
      co_return false;
    const bool Present =
        std::any_of(Page->Items.begin(), Page->Items.end(), [&](const relay::StoreItem &Item) {
          return Item.Key == Key && Item.Value == Value && Item.Lease == Known.Id;
        });
    common::log(common::LogLevel::Info, "record_looked_up",
                {{"key", Key}, {"era", Page->Revision.Era}, {"present", Present}});
    if (!Wanted)
      co_return false;
    Lease.reset();
    if (Present)
      Lease = relay::StoreLease{Page->Revision.Era, Known.Id, Known.TimeToLive};
    co_return co_await writeOrRenew();
  }

  /// Returns true if the record is known not to be in the store.
  boost::asio::awaitable<bool> removeFromStore() {
    if (!MayBeStored)
      co_return true;
    Lease.reset();
    const auto Result = co_await Store.remove(Key);
    // The answer may be of before a restore that a balancer has named meanwhile.
    if (Result)
      MayBeStored = Doubted;
    else
      common::log(common::LogLevel::Warning, "record_not_removed",
                  {{"key", Key}, {"detail", Result.Failure.Detail}});
    co_return static_cast<bool>(Result);
  }

  RelayStore<Protocol> &Store;
  std::string Key;
  std::string Value;
  boost::asio::steady_timer RenewalTimer;
  bool Wanted = true;
  bool MayBeStored = false; ///< Set before the write, whose response may be lost.
  bool Doubted = false;     ///< The store has been restored since the last call.
  std::optional<relay::StoreLease> Lease;
};

} // namespace galenarelay::node::impl

#endif // GALENARELAY_NODE_IMPL_RELAY_STORE_H
