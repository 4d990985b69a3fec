#include "store_standin.h"

#include "galenarelay/common/base64.h"
#include "galenarelay/node/impl/relay_store.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace galenarelay::soak {

using boost::asio::ip::tcp;
using common::HttpRequest;
using common::HttpResponse;
using nlohmann::json;
using node::impl::sleepFor;

namespace {

constexpr auto AnswerTime = std::chrono::milliseconds(4);
constexpr auto SlowAnswerTime = std::chrono::milliseconds(800);
constexpr auto SilentTime = std::chrono::seconds(5);
constexpr auto WatchStep = std::chrono::milliseconds(5);
constexpr double LostShare = 0.3;
constexpr auto LinkDelay = std::chrono::milliseconds(150);
constexpr std::size_t MaxCopies = 2000;

std::uint64_t numberIn(const HttpRequest &Request, const char *Name) {
  const auto Found = Request.Query.find(Name);
  return Found == Request.Query.end() ? 0 : std::stoull(Found->second);
}

constexpr auto Token = boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace

StoreStandin::StoreStandin(boost::asio::io_context &Io, common::Endpoint Local, std::uint64_t Seed)
    : Io(Io), Random(Seed),
      Server(Io, Local, [this](HttpRequest Request) { return answer(std::move(Request)); }) {}

StoreStandin::Answer StoreStandin::answer(HttpRequest Request) {
  ++CallsByPath[Request.Path];
  auto Made = co_await answerWithoutEra(std::move(Request));
  Made.Headers.emplace_back("Store-Era", std::to_string(Era));
  co_return Made;
}

StoreStandin::Answer StoreStandin::answerWithoutEra(HttpRequest Request) {
  const StoreFault During = Fault;
  if (During == StoreFault::Silent) {
    co_await sleepFor(SilentTime);
    co_return HttpResponse{common::NoAnswer, ""};
  }
  co_await sleepFor(During == StoreFault::Slow ? common::Duration(SlowAnswerTime)
                                               : common::Duration(AnswerTime));
  if (During == StoreFault::Refusing)
    co_return HttpResponse{503, "{}"};
  expireLeases();
  if (Request.Path == "/-/kv-watch")
    co_return co_await watch(std::move(Request));
  auto Made = serve(Request);
  const bool Lost = During == StoreFault::LostAnswers && Request.Method == "POST" &&
                    common::uniformUnit(Random) < LostShare;
  if (Lost)
    co_return HttpResponse{common::NoAnswer, ""};
  co_return Made;
}

HttpResponse StoreStandin::serve(const HttpRequest &Request) {
  constexpr std::string_view Keep = "/-/kv-keep/";
  if (Request.Path == "/-/kv-range")
    return range(Request.Query.at("prefix"),
                 Request.Query.contains("after") ? Request.Query.at("after") : "");
  if (Request.Path == "/-/kv-txn")
    return transact(Request.Body);
  if (Request.Path == "/-/kv-lease") {
    const std::chrono::milliseconds Time(json::parse(Request.Body).at("ttlMs").get<std::int64_t>());
    keepCopy();
    const auto Id = Data.NextLease++;
    Data.Leases[Id] = {std::chrono::steady_clock::now() + Time, Time};
    return {200, json{{"lease", Id}, {"ttlMs", Time.count()}}.dump()};
  }
  if (Request.Path.starts_with(Keep)) {
    const auto Found = Data.Leases.find(std::stoull(Request.Path.substr(Keep.size())));
    if (Found == Data.Leases.end())
      return {404, "{}"};
    Found->second.End = std::chrono::steady_clock::now() + Found->second.Time;
    return {200, json{{"ttlMs", Found->second.Time.count()}}.dump()};
  }
  return {404, "{}"};
}

StoreStandin::Answer StoreStandin::watch(HttpRequest Request) {
  const std::string Prefix = Request.Query.at("prefix");
  const auto After = numberIn(Request, "after");
  const auto Began = Era;
  const auto End =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(numberIn(Request, "waitMs"));
  while (true) {
    if (Era != Began)
      co_return HttpResponse{common::NoAnswer, ""};
    // Without the change that follows After, what happened since can't be told.
    const std::uint64_t Oldest =
        Data.History.empty() ? Data.Revision + 1 : Data.History.front().Revision;
    if (After > Data.Revision || (After < Data.Revision && Oldest > After + 1))
      co_return HttpResponse{410, "{}"};
    json Events = json::array();
    for (const auto &Each : Data.History) {
      if (Each.Revision <= After || !Each.Key.starts_with(Prefix))
        continue;
      const auto Held = Data.Items.find(Each.Key);
      if (Each.Removed || Held == Data.Items.end())
        Events.push_back({{"key", Each.Key}, {"revision", Each.Revision}, {"tombstone", true}});
      else
        Events.push_back({{"key", Each.Key},
                          {"value", common::encodeBase64(Held->second.Value)},
                          {"revision", Each.Revision},
                          {"lease", Held->second.Lease}});
    }
    if (!Events.empty() || std::chrono::steady_clock::now() >= End)
      co_return HttpResponse{200, json{{"events", Events}, {"currentRev", Data.Revision}}.dump()};
    if (Fault == StoreFault::Refusing || Fault == StoreFault::Silent)
      co_return HttpResponse{common::NoAnswer, ""};
    co_await sleepFor(WatchStep);
    expireLeases();
  }
}

HttpResponse StoreStandin::range(const std::string &Prefix, const std::string &After) const {
  json Rows = json::array();
  bool HasMore = false;
  for (const auto &[Key, Held] : Data.Items) {
    if (!Key.starts_with(Prefix) || Key <= After)
      continue;
    HasMore = Rows.size() >= PageSize;
    if (HasMore)
      break;
    Rows.push_back({{"key", Key},
                    {"value", common::encodeBase64(Held.Value)},
                    {"revision", Held.Revision},
                    {"lease", Held.Lease}});
  }
  return {200, json{{"items", Rows}, {"hasMore", HasMore}, {"currentRev", Data.Revision}}.dump()};
}

HttpResponse StoreStandin::transact(const std::string &Body) {
  const json Document = json::parse(Body);
  for (const auto &Put : Document.at("puts"))
    if (const auto Id = Put.at("lease").get<std::uint64_t>(); Id != 0 && !Data.Leases.contains(Id))
      return {404, "{}"};
  for (const auto &Put : Document.at("puts"))
    write(Put.at("key").get<std::string>(),
          common::decodeBase64(Put.at("value").get<std::string>()).value(),
          Put.at("lease").get<std::uint64_t>());
  for (const auto &Key : Document.at("delete"))
    remove(Key.get<std::string>());
  return {200, json{{"revision", Data.Revision}}.dump()};
}

void StoreStandin::write(const std::string &Key, const std::string &Value, std::uint64_t Lease) {
  keepCopy();
  Data.Items[Key] = {Value, ++Data.Revision, Lease};
  Data.History.push_back({Key, Data.Revision, false});
}

void StoreStandin::remove(const std::string &Key) {
  keepCopy();
  if (Data.Items.erase(Key) > 0)
    Data.History.push_back({Key, ++Data.Revision, true});
}

void StoreStandin::keepCopy() {
  Copies.push_back({std::chrono::steady_clock::now(), Data});
  if (Copies.size() > MaxCopies)
    Copies.pop_front();
}

void StoreStandin::restore(common::Duration Age) {
  const auto Of = std::chrono::steady_clock::now() - Age;
  restoreFrom(std::find_if(Copies.begin(), Copies.end(),
                           [Of](const Copy &Each) { return Each.Until > Of; }));
}

void StoreStandin::restoreTo(std::uint64_t Revision) {
  restoreFrom(std::find_if(Copies.begin(), Copies.end(), [Revision](const Copy &Each) {
    return Each.Kept.Revision >= Revision;
  }));
}

void StoreStandin::restoreFrom(std::deque<Copy>::iterator Found) {
  if (Found != Copies.end())
    Data = Found->Kept;
  // Copies of the ended era would bring its changes back.
  Copies.erase(Found, Copies.end());
  ++Era;
}

bool StoreStandin::contains(const std::string &Key) {
  expireLeases();
  return Data.Items.contains(Key);
}

std::size_t StoreStandin::calls(const std::string &PathPrefix) const {
  std::size_t Count = 0;
  for (const auto &[Path, Calls] : CallsByPath)
    if (Path.starts_with(PathPrefix))
      Count += Calls;
  return Count;
}

void StoreStandin::expireLeases() {
  const auto Now = std::chrono::steady_clock::now();
  for (auto At = Data.Leases.begin(); At != Data.Leases.end();) {
    if (At->second.End > Now) {
      ++At;
      continue;
    }
    std::vector<std::string> Keys;
    for (const auto &[Key, Held] : Data.Items)
      if (Held.Lease == At->first)
        Keys.push_back(Key);
    for (const auto &Key : Keys)
      remove(Key);
    At = Data.Leases.erase(At);
  }
}

StoreLink::StoreLink(boost::asio::io_context &Io, common::Endpoint Local, common::Endpoint Store)
    : Io(Io), Acceptor(Io, {boost::asio::ip::address_v4(Local.Address), Local.Port}), Store(Store) {
  boost::asio::co_spawn(Io, accept(), boost::asio::detached);
}

void StoreLink::setFault(LinkFault Now) {
  Fault = Now;
  if (Now == LinkFault::Reset)
    ++Resets;
}

boost::asio::awaitable<void> StoreLink::accept() {
  while (true) {
    auto Node = std::make_shared<Socket>(Io);
    const auto [Failure] = co_await Acceptor.async_accept(*Node, Token);
    if (!Failure)
      boost::asio::co_spawn(Io, serve(std::move(Node)), boost::asio::detached);
  }
}

boost::asio::awaitable<void> StoreLink::serve(std::shared_ptr<Socket> Node) {
  auto Behind = std::make_shared<Socket>(Io);
  const tcp::endpoint To(boost::asio::ip::address_v4(Store.Address), Store.Port);
  const auto [Failure] = co_await Behind->async_connect(To, Token);
  if (Failure || Fault == LinkFault::Reset)
    co_return;
  boost::asio::co_spawn(Io, copy(Behind, Node, true), boost::asio::detached);
  co_await copy(Node, Behind, false);
}

boost::asio::awaitable<void> StoreLink::copy(std::shared_ptr<Socket> From,
                                             std::shared_ptr<Socket> To, bool Answers) {
  std::array<char, 8192> Buffer{};
  const auto Began = Resets;
  while (true) {
    const auto [Failure, Size] = co_await From->async_read_some(boost::asio::buffer(Buffer), Token);
    if (Failure || Began != Resets)
      break;
    if (Fault == LinkFault::Delayed)
      co_await sleepFor(LinkDelay);
    // Bytes that meet a cut stay away; the connection looks alive.
    if (Fault == LinkFault::SilentLink || (Fault == LinkFault::OneWay && Answers))
      continue;
    const auto [WriteFailure, Written] =
        co_await boost::asio::async_write(*To, boost::asio::buffer(Buffer.data(), Size), Token);
    if (WriteFailure)
      break;
  }
  boost::system::error_code Ignored;
  From->close(Ignored);
  To->close(Ignored);
}

} // namespace galenarelay::soak
