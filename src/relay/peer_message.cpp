#include "galenarelay/relay/peer_message.h"

#include <nlohmann/json.hpp>

#include <array>

namespace galenarelay::relay {

using common::Outcome;
using common::ResultCode;
using nlohmann::json;

namespace {

// Types of messages, the first element of each array.
enum class Type : std::uint8_t {
  Report,
  Beacon,
  Notice,
  Returned,
  Absence,
  Query,
  Answer,
  LoadQuery,
  LoadAnswer,
  LossQuery,
  LossAnswer
};

json loadJson(const UpstreamLoad &Load) { return json::array({Load.Unanswered, Load.LongFlows}); }

UpstreamLoad loadOf(const json &Document) {
  return {Document.at(0).get<std::uint32_t>(), Document.at(1).get<std::uint32_t>()};
}

json keyJson(const packet::FlowKey &Key) {
  return json::array({Key.Caller.Address, Key.Caller.Port, Key.Service.Address, Key.Service.Port});
}

packet::FlowKey keyOf(const json &Document) {
  return {{Document.at(0).get<std::uint32_t>(), Document.at(1).get<std::uint16_t>()},
          {Document.at(2).get<std::uint32_t>(), Document.at(3).get<std::uint16_t>()}};
}

json toJson(const AgentReport &Report) {
  return json::array({Type::Report, Report.Id, Report.Zone, Report.Incarnation, Report.Number,
                      Report.Service, Report.State, Report.UpstreamIncarnation, Report.Slots,
                      loadJson(Report.Load), Report.ColdFor.count()});
}

json toJson(const BalancerBeacon &Beacon) {
  return json::array({Type::Beacon, Beacon.Id, Beacon.Zone, Beacon.Incarnation, Beacon.Held,
                      Beacon.Leaving, Beacon.Balancers, Beacon.Agents});
}

json toJson(const FlowNotice &Notice) {
  return json::array({Type::Notice, keyJson(Notice.Key), loadJson(Notice.Load)});
}

json toJson(const ReturnedPacket &Returned) {
  return json::array(
      {Type::Returned, Returned.Reason, loadJson(Returned.Load), json::binary(Returned.Packet)});
}

json toJson(const FlowAbsence &Absence) {
  return json::array({Type::Absence, keyJson(Absence.Key)});
}

json toJson(const FlowQuery &Query) {
  json Rows = json::array();
  for (const auto &Row : Query.Rows)
    Rows.push_back(json::array({keyJson(Row.Key), Row.Acknowledgement}));
  return json::array({Type::Query, Query.Number, std::move(Rows)});
}

json toJson(const FlowAnswer &Answer) {
  return json::array({Type::Answer, Answer.Number, Answer.Held, Answer.Unsure});
}

json toJson(const LoadQuery &Question) {
  json Fields = json::array({Type::LoadQuery});
  if (Question.Stamp != 0)
    Fields.push_back(Question.Stamp);
  return Fields;
}

json toJson(const LoadAnswer &Answer) {
  json Fields = json::array({Type::LoadAnswer, Answer.State, loadJson(Answer.Load)});
  if (Answer.Stamp != 0)
    Fields.push_back(Answer.Stamp);
  return Fields;
}

json toJson(const LossQuery &Question) { return json::array({Type::LossQuery, Question.Agents}); }

json toJson(const LossAnswer &Answer) { return json::array({Type::LossAnswer, Answer.Silent}); }

/// The stamp at a position, or 0 without one.
std::uint16_t stampOf(const json &Fields, std::size_t Position) {
  return Fields.size() > Position ? Fields.at(Position).get<std::uint16_t>() : 0;
}

template <typename E> E enumOf(const json &Value, E Last) {
  const auto Number = Value.get<std::uint8_t>();
  if (Number > static_cast<std::uint8_t>(Last))
    throw std::out_of_range("unknown value " + std::to_string(Number));
  return static_cast<E>(Number);
}

/// A list of at most Most entries.
template <typename T> std::vector<T> listOf(const json &Value, std::size_t Most) {
  if (Value.size() > Most)
    throw std::out_of_range("list of " + std::to_string(Value.size()) + " entries");
  return Value.get<std::vector<T>>();
}

AgentReport reportOf(const json &Fields) {
  AgentReport Read;
  Read.Id = Fields.at(1).get<std::string>();
  Read.Zone = Fields.at(2).get<std::string>();
  Read.Incarnation = Fields.at(3).get<std::uint64_t>();
  Read.Number = Fields.at(4).get<std::uint64_t>();
  Read.Service = Fields.at(5).get<std::string>();
  Read.State = enumOf(Fields.at(6), UpstreamState::Ended);
  Read.UpstreamIncarnation = Fields.at(7).get<std::uint64_t>();
  Read.Slots = Fields.at(8).get<std::uint32_t>();
  Read.Load = loadOf(Fields.at(9));
  Read.ColdFor = common::Duration(Fields.at(10).get<std::int64_t>());
  return Read;
}

BalancerBeacon beaconOf(const json &Fields) {
  BalancerBeacon Read;
  Read.Id = Fields.at(1).get<std::string>();
  Read.Zone = Fields.at(2).get<std::string>();
  Read.Incarnation = Fields.at(3).get<std::uint64_t>();
  Read.Held = Fields.at(4).get<std::uint64_t>();
  Read.Leaving = Fields.at(5).get<bool>();
  Read.Balancers = listOf<NodeAddress>(Fields.at(6), MaxBeaconAddresses);
  Read.Agents = listOf<NodeAddress>(Fields.at(7), MaxBeaconAddresses);
  return Read;
}

FlowQuery queryOf(const json &Fields) {
  FlowQuery Read{Fields.at(1).get<std::uint64_t>(), {}};
  if (Fields.at(2).size() > MaxQueriedFlows)
    throw std::out_of_range("question for " + std::to_string(Fields.at(2).size()) + " flows");
  for (const json &Row : Fields.at(2))
    Read.Rows.push_back({keyOf(Row.at(0)), Row.at(1).get<std::uint32_t>()});
  return Read;
}

PeerMessage messageOf(const json &Fields) {
  switch (enumOf(Fields.at(0), Type::LossAnswer)) {
  case Type::Report:
    return reportOf(Fields);
  case Type::Beacon:
    return beaconOf(Fields);
  case Type::Notice:
    return FlowNotice{keyOf(Fields.at(1)), loadOf(Fields.at(2))};
  case Type::Returned:
    return ReturnedPacket{enumOf(Fields.at(1), ReturnReason::NotHeld), loadOf(Fields.at(2)),
                          Fields.at(3).get_binary()};
  case Type::Absence:
    return FlowAbsence{keyOf(Fields.at(1))};
  case Type::Query:
    return queryOf(Fields);
  case Type::Answer:
    return FlowAnswer{Fields.at(1).get<std::uint64_t>(),
                      listOf<std::uint8_t>(Fields.at(2), MaxQueriedFlows),
                      listOf<std::uint8_t>(Fields.at(3), MaxQueriedFlows)};
  case Type::LoadQuery:
    return LoadQuery{stampOf(Fields, 1)};
  case Type::LoadAnswer:
    return LoadAnswer{enumOf(Fields.at(1), UpstreamState::Ended), loadOf(Fields.at(2)),
                      stampOf(Fields, 3)};
  case Type::LossQuery:
    return LossQuery{listOf<NodeAddress>(Fields.at(1), MaxDoubtedAgents)};
  case Type::LossAnswer:
    return LossAnswer{listOf<NodeAddress>(Fields.at(1), MaxDoubtedAgents)};
  }
  throw std::out_of_range("unknown type");
}

} // namespace

std::string_view name(UpstreamState State) noexcept {
  constexpr std::array<std::string_view, 6> Names{"unknown", "ready",    "draining",
                                                  "silent",  "stopping", "ended"};
  return Names[static_cast<std::size_t>(State)];
}

std::string_view name(ReturnReason Reason) noexcept {
  constexpr std::array<std::string_view, 7> Names{
      "busy", "full", "refused", "leaving", "unanswered", "wrong_service", "not_held"};
  return Names[static_cast<std::size_t>(Reason)];
}

Bytes encode(const PeerMessage &Message) {
  return json::to_cbor(std::visit([](const auto &Each) { return toJson(Each); }, Message));
}

Outcome<PeerMessage> decodeMessage(std::span<const std::uint8_t> Datagram) {
  try {
    return {messageOf(json::from_cbor(Datagram.begin(), Datagram.end())), {}};
  } catch (const std::exception &Problem) {
    return {std::nullopt, {ResultCode::MessageMalformed, Problem.what()}};
  }
}

} // namespace galenarelay::relay
