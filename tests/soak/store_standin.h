#ifndef GALENARELAY_TESTS_SOAK_STORE_STANDIN_H
#define GALENARELAY_TESTS_SOAK_STORE_STANDIN_H

#include "galenarelay/common/http.h"
#include "galenarelay/common/random.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace galenarelay::soak {

/// What the store does with calls.
enum class StoreFault : std::uint8_t {
  None,
  Refusing,    ///< 503 at once; nothing is done.
  Silent,      ///< No answer; nothing is done.
  LostAnswers, ///< Some writes are done and not answered.
  Slow         ///< Answers after a second or less.
};
inline constexpr std::size_t StoreFaults = 5;

/// The platform's key-value store, in memory: ranges, watches, transactions and leases.
class StoreStandin {
public:
  StoreStandin(boost::asio::io_context &Io, common::Endpoint Local, std::uint64_t Seed);

  [[nodiscard]] common::Endpoint local() const noexcept { return Server.local(); }

  void setFault(StoreFault Now) { Fault = Now; }
  /// Watches from older revisions get "gone" from now on.
  void dropHistory() { Data.History.clear(); }
  /// Comes back from a copy of this age: later changes and leases are gone, revisions and leases
  /// are given out anew, waiting watches are cut, and the era rises by one.
  void restore(common::Duration Age);
  /// The same from the copy with this revision, or the oldest one after it.
  void restoreTo(std::uint64_t Revision);
  /// The operator writes a key, or removes it.
  void put(const std::string &Key, const std::string &Value) { write(Key, Value, 0); }
  void erase(const std::string &Key) { remove(Key); }
  /// Maximum number of items in a page.
  void setPageSize(std::size_t Items) { PageSize = Items; }
  [[nodiscard]] bool contains(const std::string &Key);
  [[nodiscard]] std::uint64_t revision() const noexcept { return Data.Revision; }
  /// Calls so far whose path begins so.
  [[nodiscard]] std::size_t calls(const std::string &PathPrefix) const;

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Lease = 0;
  };
  struct Change {
    std::string Key;
    std::uint64_t Revision = 0;
    bool Removed = false;
  };
  struct Lease {
    std::chrono::steady_clock::time_point End;
    std::chrono::milliseconds Time{};
  };
  /// All that a copy of the store holds.
  struct State {
    std::uint64_t Revision = 1;
    std::uint64_t NextLease = 1;
    std::map<std::string, Item> Items;
    std::deque<Change> History;
    std::map<std::uint64_t, Lease> Leases;
  };
  /// The state until this time.
  struct Copy {
    std::chrono::steady_clock::time_point Until;
    State Kept;
  };
  using Answer = boost::asio::awaitable<common::HttpResponse>;

  Answer answer(common::HttpRequest Request);
  Answer answerWithoutEra(common::HttpRequest Request);
  common::HttpResponse serve(const common::HttpRequest &Request);
  Answer watch(common::HttpRequest Request);
  common::HttpResponse range(const std::string &Prefix, const std::string &After) const;
  common::HttpResponse transact(const std::string &Body);
  void write(const std::string &Key, const std::string &Value, std::uint64_t Lease);
  void remove(const std::string &Key);
  void expireLeases();
  /// Keeps a copy of the state before a change.
  void keepCopy();
  void restoreFrom(std::deque<Copy>::iterator Found);

  boost::asio::io_context &Io;
  common::Engine Random;
  StoreFault Fault = StoreFault::None;
  std::uint64_t Era = 1;
  std::size_t PageSize = 500;
  State Data;
  std::deque<Copy> Copies;
  std::map<std::string, std::size_t> CallsByPath;
  common::HttpServer Server;
};

/// Disturbances of the connections between nodes and the store.
enum class LinkFault : std::uint8_t { None, Delayed, OneWay, SilentLink, Reset };
inline constexpr std::size_t LinkFaults = 5;

/// A proxy in front of the store, through which all nodes reach it.
class StoreLink {
public:
  StoreLink(boost::asio::io_context &Io, common::Endpoint Local, common::Endpoint Store);

  /// Reset also ends the connections that are open.
  void setFault(LinkFault Now);

private:
  using Socket = boost::asio::ip::tcp::socket;

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(std::shared_ptr<Socket> Node);
  boost::asio::awaitable<void> copy(std::shared_ptr<Socket> From, std::shared_ptr<Socket> To,
                                    bool Answers);

  boost::asio::io_context &Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  common::Endpoint Store;
  LinkFault Fault = LinkFault::None;
  std::uint64_t Resets = 0; ///< Connections that began before the last reset end.
};

} // namespace galenarelay::soak

#endif // GALENARELAY_TESTS_SOAK_STORE_STANDIN_H
