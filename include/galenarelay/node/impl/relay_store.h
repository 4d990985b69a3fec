#ifndef GALENARELAY_NODE_IMPL_RELAY_STORE_H
#define GALENARELAY_NODE_IMPL_RELAY_STORE_H

#include "galenarelay/common/log.h"
#include "galenarelay/common/metrics.h"
#include "galenarelay/relay/store_call.h"

#include <boost/asio/awaitable.hpp>

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
    const std::string Code(
        common::name(Result ? common::ResultCode::Ok : Result.Failure.Code));
    Metrics
        .counter("store_calls_total", "Calls to the store", {{"kind", Kind}, {"result", Code}})
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

} // namespace galenarelay::node::impl

#endif // GALENARELAY_NODE_IMPL_RELAY_STORE_H
