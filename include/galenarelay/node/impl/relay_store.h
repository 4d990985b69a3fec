#ifndef GALENARELAY_NODE_IMPL_RELAY_STORE_H
#define GALENARELAY_NODE_IMPL_RELAY_STORE_H

#include "galenarelay/common/log.h"
#include "galenarelay/common/metrics.h"
#include "galenarelay/node/impl/call_pause.h"
#include "galenarelay/relay/store_call.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <string>
#include <utility>

namespace galenarelay::node::impl {

/// Wait for an answer of the store beyond the time that a call asks for: many times its usual few
/// milliseconds, and short enough to leave time within the 3 s of a configuration change.
inline constexpr common::Duration StoreCallTimeout = std::chrono::milliseconds(1000);
/// Longest wait of a watch: a connection that has gone silent is noticed after this time.
inline constexpr common::Duration StoreWatchWait = std::chrono::seconds(4);

/// Calls to the store in the form of a protocol. Every call has a timeout, and none is repeated.
template <relay::StoreProtocol Protocol> class RelayStore {
public:
  template <typename T> using Answer = boost::asio::awaitable<common::Outcome<T>>;

  RelayStore(common::Endpoint Address, common::Metrics &Metrics)
      : Address(Address), Metrics(Metrics) {}

  Answer<relay::StorePage> list(std::string Prefix) {
    return exchange("list", Protocol::list(Prefix), StoreCallTimeout, &Protocol::readPage);
  }
  Answer<relay::StorePage> listRecent(std::string Prefix) {
    return exchange("list_recent", Protocol::listRecent(Prefix), StoreCallTimeout,
                    &Protocol::readPage);
  }
  Answer<relay::StorePage> watch(std::string Prefix, std::uint64_t After) {
    return exchange("watch", Protocol::watch(Prefix, After, StoreWatchWait),
                    StoreWatchWait + StoreCallTimeout, &Protocol::readPage);
  }
  Answer<std::uint64_t> put(std::string Key, std::string Value, std::uint64_t Lease) {
    return exchange("put", Protocol::put(Key, Value, Lease), StoreCallTimeout,
                    &Protocol::readWritten);
  }
  Answer<std::uint64_t> remove(std::string Key) {
    return exchange("remove", Protocol::remove(Key), StoreCallTimeout, &Protocol::readWritten);
  }
  Answer<relay::StoreLease> grantLease(common::Duration TimeToLive) {
    return exchange("grant_lease", Protocol::grantLease(TimeToLive), StoreCallTimeout,
                    &Protocol::readLease);
  }
  Answer<relay::StoreLease> renewLease(std::uint64_t Lease) {
    return exchange("renew_lease", Protocol::renewLease(Lease), StoreCallTimeout,
                    &Protocol::readLease);
  }

private:
  template <typename T>
  Answer<T> exchange(const char *Kind, relay::StoreCall Call, common::Duration Timeout,
                     common::Outcome<T> (*Read)(const common::HttpResponse &)) {
    auto Raw = co_await common::httpCall(Address, std::move(Call.Method), std::move(Call.Target),
                                         std::move(Call.Body), Timeout);
    common::Outcome<T> Result =
        Raw ? Read(*Raw) : common::Outcome<T>{std::nullopt, std::move(Raw.Failure)};
    const std::string Code(common::name(Result ? common::ResultCode::Ok : Result.Failure.Code));
    Metrics.counter("store_calls_total", "Calls to the store", {{"kind", Kind}, {"result", Code}})
        .Increment();
    noteReachable(static_cast<bool>(Result) ||
                      Result.Failure.Code == common::ResultCode::StoreKeyNotFound ||
                      Result.Failure.Code == common::ResultCode::StoreHistoryGone,
                  Code);
    co_return Result;
  }

  void noteReachable(bool Answers, const std::string &Code) {
    if (std::exchange(Reachable, Answers) == Answers)
      return;
    if (Answers)
      common::log(common::LogLevel::Info, "store_regained");
    else
      common::log(common::LogLevel::Warning, "store_lost", {{"reason", Code}});
  }

  common::Endpoint Address;
  common::Metrics &Metrics;
  bool Reachable = true;
};

/// Pause after a failed call, doubled up to the maximum, with jitter.
inline constexpr common::Duration MinCallPause = std::chrono::milliseconds(100);
inline constexpr common::Duration MaxCallPause = std::chrono::milliseconds(1500);
/// Life of a node's record, and the interval of its renewals. After a power cut of everything the
/// records tell which nodes exist, so that they outlive a restart by far.
inline constexpr common::Duration RecordLease = std::chrono::seconds(30);
inline constexpr common::Duration RecordRenewal = std::chrono::seconds(10);
/// A record that was lost with the lease of a store that had been away is written again within two
/// seconds: renewals come at this interval until one has succeeded after a failure.
inline constexpr common::Duration RecordRetry = std::chrono::milliseconds(1000);
/// Pause after the first failure: a record is for nodes that start later, so that it is less urgent
/// than what a node needs itself.
inline constexpr common::Duration MinRecordRetry = std::chrono::milliseconds(500);

/// The record by which other nodes find this one: its key holds its address for as long as it runs.
template <relay::StoreProtocol Protocol> class StoreRecord {
public:
  StoreRecord(boost::asio::io_context &Io, RelayStore<Protocol> &Store, std::string Key,
              std::string Value)
      : Store(Store), Key(std::move(Key)), Value(std::move(Value)), Wake(Io) {}

  /// Keeps the record in the store while it is wanted, and removes it while it isn't.
  boost::asio::awaitable<void> keep(common::Engine &Random) {
    CallPause Pause(MinRecordRetry, RecordRetry, Random);
    while (true) {
      const bool Intended = Wanted;
      bool Done = false;
      // g++ 12 destroys temporaries of a co_await within a conditional expression twice.
      if (Intended)
        Done = co_await renew();
      else
        Done = co_await erase();
      if (Intended != Wanted)
        continue;
      if (Done)
        Pause.reset();
      Wake.expires_after(Done ? jittered(RecordRenewal, Random) : Pause.take());
      co_await Wake.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
  }

  /// Whether other nodes should find this one.
  void want(bool Is) {
    if (std::exchange(Wanted, Is) != Is)
      Wake.cancel();
  }

  /// Removes the record, which would otherwise last until its lease ends.
  boost::asio::awaitable<void> remove() {
    Wanted = false;
    co_await erase();
  }

private:
  /// True if the record is in the store.
  boost::asio::awaitable<bool> renew() {
    if (Lease != 0) {
      const auto Renewed = co_await Store.renewLease(Lease);
      if (Renewed || Renewed.Failure.Code != common::ResultCode::StoreKeyNotFound)
        co_return static_cast<bool>(Renewed);
      common::log(common::LogLevel::Warning, "record_lapsed", {{"key", Key}});
      Lease = 0;
    }
    const auto Granted = co_await Store.grantLease(RecordLease);
    if (!Granted)
      co_return false;
    Written = true;
    const auto Result = co_await Store.put(Key, Value, Granted->Id);
    if (Result)
      Lease = Granted->Id;
    co_return static_cast<bool>(Result);
  }

  /// True if the record isn't in the store.
  boost::asio::awaitable<bool> erase() {
    if (!Written)
      co_return true;
    Lease = 0;
    const auto Result = co_await Store.remove(Key);
    if (Result)
      Written = false;
    else
      common::log(common::LogLevel::Warning, "record_not_removed",
                  {{"key", Key}, {"detail", Result.Failure.Detail}});
    co_return static_cast<bool>(Result);
  }

  RelayStore<Protocol> &Store;
  std::string Key;
  std::string Value;
  boost::asio::steady_timer Wake;
  bool Wanted = true;
  bool Written = false; ///< The store may hold the record.
  std::uint64_t Lease = 0;
};

} // namespace galenarelay::node::impl

#endif // GALENARELAY_NODE_IMPL_RELAY_STORE_H
