#include "command.h"
#include "galenarelay/membership/member.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <set>
#include <thread>

namespace galenarelay::ctl {

namespace asio = boost::asio;
using common::capture;
using common::Endpoint;
using common::fail;
using common::Result;
using common::ResultCode;
using membership::Member;
using nlohmann::json;

namespace {

constexpr common::Duration CallTimeout = std::chrono::seconds(2);

/// Reads the code that a node names in its answer.
ResultCode codeOf(const json &Answer) {
  if (!Answer.is_object())
    return ResultCode::Internal;
  const std::string Name = Answer.value("error", std::string());
  for (const common::ResultCodeInfo &Row : common::resultCodes())
    if (Row.Name == Name)
      return Row.Code;
  return ResultCode::Internal;
}

Result<json> askNode(Endpoint Node, const std::string &Target) {
  const auto Answer = common::httpCallBlocking(Node, "GET", Target, "", CallTimeout);
  if (!Answer)
    return fail(ResultCode::PeerUnreachable, Answer.Failure.Detail);
  const json Document = json::parse(Answer->Body, nullptr, false);
  if (Document.is_discarded())
    return fail(ResultCode::MessageMalformed, "the node's answer isn't JSON");
  if (Answer->Status != 200)
    return fail(codeOf(Document),
                "the node answered " + std::to_string(Answer->Status) + ": " + Document.dump());
  return Document;
}

Result<std::vector<Member>> membersFrom(const json &Records) {
  std::vector<Member> Members;
  for (const json &Record : Records) {
    BOOST_LEAF_AUTO(Parsed, membership::memberFromJson(Record));
    Members.push_back(std::move(Parsed));
  }
  return Members;
}

Result<std::vector<Member>> membersOfNode(Endpoint Node) {
  BOOST_LEAF_AUTO(Document, askNode(Node, "/v1/members"));
  if (!Document.is_object() || !Document.contains("members"))
    return fail(ResultCode::MessageMalformed, "the node's answer has no members");
  return membersFrom(Document.at("members"));
}

Result<std::vector<Member>> membersOfStore(const Invocation &Given) {
  BOOST_LEAF_AUTO(Store, Given.store());
  const auto Values = Store.list("members/");
  if (!Values)
    return fail(Values.Failure.Code, Values.Failure.Detail);
  json Records = json::array();
  for (const config::StoredValue &Value : *Values)
    Records.push_back(json::parse(Value.Text, nullptr, false));
  return membersFrom(Records);
}

/// Lists what a node knows, or without a node what is registered in the store.
Result<Report> members(const Invocation &Given) {
  std::vector<Member> Known;
  if (Given.option("node").value_or("").empty()) {
    BOOST_LEAF_ASSIGN(Known, membersOfStore(Given));
  } else {
    BOOST_LEAF_AUTO(Node, Given.address("node"));
    BOOST_LEAF_ASSIGN(Known, membersOfNode(Node));
  }
  Report Printed;
  Printed.Document = json::array();
  Printed.Rows = {{"ID", "KIND", "ZONE", "STATE", "ADMIN"}};
  for (const Member &Each : Known) {
    Printed.Document.push_back(membership::toJson(Each));
    Printed.Rows.push_back({Each.Id, std::string(membership::name(Each.Kind)), Each.Zone,
                            std::string(membership::name(Each.State)),
                            common::toString(Each.Admin)});
  }
  return Printed;
}

Result<Report> explain(const Invocation &Given) {
  BOOST_LEAF_AUTO(Node, Given.address("node"));
  const std::string Target = "/v1/explain?flow=" + common::encodeQuery(Given.words()[0]);
  BOOST_LEAF_AUTO(Document, askNode(Node, Target));
  Report Printed;
  Printed.Rows = {{"FIELD", "VALUE"}};
  for (const auto &[Key, Value] : Document.items())
    Printed.Rows.push_back({Key, Value.is_string() ? Value.get<std::string>() : Value.dump()});
  Printed.Document = std::move(Document);
  return Printed;
}

/// Lists the evacuated zones that a balancer or agent of relayed flows knows.
Result<Report> zones(const Invocation &Given) {
  BOOST_LEAF_AUTO(Node, Given.address("node"));
  BOOST_LEAF_AUTO(Document, askNode(Node, "/v1/zones"));
  if (!Document.is_object() || !Document.contains("evacuated") ||
      !Document.at("evacuated").is_array())
    return fail(ResultCode::MessageMalformed, "the node's answer has no zones");
  const auto Text = [](const json &Row, const char *Field) {
    const auto Found = Row.find(Field);
    if (Found == Row.end())
      return std::string();
    return Found->is_string() ? Found->get<std::string>() : Found->dump();
  };
  Report Printed;
  Printed.Rows = {{"ZONE", "EVACUATED SINCE MS", "REVISION", "ERA", "SOURCE"}};
  for (const json &Row : Document.at("evacuated")) {
    if (!Row.is_object())
      return fail(ResultCode::MessageMalformed, "the node's answer has an odd zone");
    Printed.Rows.push_back({Text(Row, "zone"), Text(Row, "since_ms"), Text(Row, "revision"),
                            Text(Row, "era"), Text(Row, "source")});
  }
  Printed.Document = std::move(Document);
  return Printed;
}

/// Asks members for their revision, several at a time.
class Poll {
public:
  Poll(std::vector<Member> Members, std::uint64_t Wanted)
      : Waiting(std::move(Members)), Wanted(Wanted) {}

  /// Returns the IDs of the members that have the revision in force.
  std::vector<std::string> run() {
    const std::size_t Workers = std::min(MaxConcurrentCalls, Waiting.size());
    for (std::size_t I = 0; I < Workers; ++I)
      asio::co_spawn(Io, work(), asio::detached);
    Io.run();
    return InForce;
  }

private:
  /// Keeps a wait over 6,900 members within the file descriptors of an ordinary process.
  static constexpr std::size_t MaxConcurrentCalls = 64;

  asio::awaitable<void> work() {
    while (Next < Waiting.size()) {
      const Member &Asked = Waiting[Next++];
      const auto Answer =
          co_await common::httpCall(Asked.Admin, "GET", "/v1/status", "", CallTimeout);
      if (Answer && hasRevision(Answer->Body))
        InForce.push_back(Asked.Id);
    }
  }

  [[nodiscard]] bool hasRevision(const std::string &Body) const {
    const json Document = json::parse(Body, nullptr, false);
    if (!Document.is_object() || !Document.contains("revision"))
      return false;
    const json &Number = Document.at("revision");
    return Number.is_number_unsigned() && Number.get<std::uint64_t>() >= Wanted;
  }

  asio::io_context Io;
  std::vector<Member> Waiting;
  std::uint64_t Wanted;
  std::size_t Next = 0;
  std::vector<std::string> InForce;
};

/// Members that haven't reached the revision, by ID. The list is read again in each round, because
/// members join and leave meanwhile; the dead don't count.
class InForceCheck {
public:
  InForceCheck(Endpoint Node, std::uint64_t Wanted) : Node(Node), Wanted(Wanted) {}

  Result<std::vector<std::string>> missing() {
    BOOST_LEAF_AUTO(Known, membersOfNode(Node));
    std::erase_if(Known, [&](const Member &Each) {
      return Each.State == membership::MemberState::Dead || Reached.contains(Each.Id);
    });
    std::set<std::string> Missing;
    for (const Member &Each : Known)
      Missing.insert(Each.Id);
    for (const std::string &Id : Poll(std::move(Known), Wanted).run()) {
      Reached.insert(Id);
      Missing.erase(Id);
    }
    return std::vector<std::string>(Missing.begin(), Missing.end());
  }

  [[nodiscard]] std::size_t reached() const noexcept { return Reached.size(); }

private:
  Endpoint Node;
  std::uint64_t Wanted;
  std::set<std::string> Reached;
};

Report waitReport(std::uint64_t Wanted, std::size_t Reached,
                  const common::Outcome<std::vector<std::string>> &Missing) {
  const bool Everywhere = Missing && Missing->empty() && Reached > 0;
  Report Printed;
  Printed.Document = {{"revision", Wanted}, {"in_force", Reached}, {"everywhere", Everywhere}};
  Printed.Rows = {{"REVISION", "IN FORCE ON", "MISSING"},
                  {std::to_string(Wanted), std::to_string(Reached),
                   Missing ? std::to_string(Missing->size()) : "unknown"}};
  if (Missing) {
    Printed.Document["missing"] = *Missing;
    for (const std::string &Id : *Missing)
      Printed.Rows.push_back({"", "", Id});
  }
  if (!Everywhere)
    Printed.Failure = Missing ? common::Error{ResultCode::NotInForce,
                                              "the revision isn't in force on every member"}
                              : Missing.Failure;
  return Printed;
}

Result<Report> wait(const Invocation &Given) {
  constexpr std::uint64_t DefaultTimeoutMs = 10'000;
  constexpr auto Pause = std::chrono::milliseconds(100);
  BOOST_LEAF_AUTO(Wanted, parseNumber("REVISION", Given.words()[0]));
  BOOST_LEAF_AUTO(TimeoutMs, Given.numberOr("timeout-ms", DefaultTimeoutMs));
  BOOST_LEAF_AUTO(Node, Given.address("node"));
  const auto Deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(TimeoutMs);
  InForceCheck Check(Node, Wanted);
  while (true) {
    const auto Missing = capture([&] { return Check.missing(); });
    const bool Everywhere = Missing && Missing->empty() && Check.reached() > 0;
    if (Everywhere || std::chrono::steady_clock::now() >= Deadline)
      return waitReport(Wanted, Check.reached(), Missing);
    std::this_thread::sleep_for(Pause);
  }
}

} // namespace

std::vector<Command> nodeCommands() {
  return {
      {"members", "", "List members, as a node or else the store knows them", 0, 0, {}, members},
      {"explain", "SRCIP:PORT-DSTIP:PORT", "Show why a flow goes where it goes", 1, 1, {}, explain},
      {"zones",
       "",
       "List the evacuated zones, as a node of relayed flows knows them",
       0,
       0,
       {},
       zones},
      {"wait",
       "REVISION [--timeout-ms N]",
       "Wait until a revision is in force on every member",
       1,
       1,
       {"timeout-ms"},
       wait},
  };
}

} // namespace galenarelay::ctl
