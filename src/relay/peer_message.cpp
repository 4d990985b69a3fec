#include "galenarelay/relay/peer_message.h"

#include "galenarelay/common/json_fields.h"

#include <array>

namespace galenarelay::relay {

using common::Outcome;
using common::readUnsigned;
using common::ResultCode;
using nlohmann::json;

namespace {

/// Openings per second that a beacon may state for a cold upstream.
constexpr double MaxColdRate = 1e6;

/// Message type, the first element of each encoded array.
enum class MessageType : std::uint8_t {
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
  LossAnswer,
  HolderQuery,
  HolderAnswer,
  CallerTries
};

json loadToJson(const UpstreamLoad &Load) {
  json Fields = json::array({Load.Unanswered, Load.LongFlows});
  if (Load.Capacity != 0 || Load.AnswerTime != 0)
    Fields.push_back(Load.Capacity);
  if (Load.AnswerTime != 0)
    Fields.push_back(Load.AnswerTime);
  return Fields;
}

UpstreamLoad loadFromJson(const json &Document) {
  const auto Field = [&Document](std::size_t Index) {
    return Document.size() > Index ? readUnsigned<std::uint32_t>(Document.at(Index)) : 0;
  };
  return {readUnsigned<std::uint32_t>(Document.at(0)), readUnsigned<std::uint32_t>(Document.at(1)),
          Field(2), Field(3)};
}

json keyToJson(const packet::FlowKey &Key) {
  return json::array({Key.Caller.Address, Key.Caller.Port, Key.Service.Address, Key.Service.Port});
}

packet::FlowKey keyFromJson(const json &Document) {
  return {
      {readUnsigned<std::uint32_t>(Document.at(0)), readUnsigned<std::uint16_t>(Document.at(1))},
      {readUnsigned<std::uint32_t>(Document.at(2)), readUnsigned<std::uint16_t>(Document.at(3))}};
}

json toJson(const AgentReport &Report) {
  json Fields =
      json::array({MessageType::Report, Report.Id, Report.Zone, Report.Incarnation, Report.Sequence,
                   Report.Service, Report.State, Report.UpstreamIncarnation, Report.Slots,
                   loadToJson(Report.Load), Report.ColdFor.count()});
  if (Report.Damping != policy::DampingState{})
    Fields.push_back(json::array({Report.Damping.Which, Report.Damping.Penalty}));
  return Fields;
}

json toJson(const BalancerBeacon &Beacon) {
  json Fields = json::array({MessageType::Beacon, Beacon.Id, Beacon.Zone, Beacon.Incarnation,
                             Beacon.ConfigurationRevision, Beacon.Leaving, Beacon.Balancers,
                             Beacon.Agents, Beacon.Era});
  if (Beacon.EvacuatedZones.known()) {
    const auto AsOf = Beacon.EvacuatedZones.asOf();
    Fields.push_back(json::array(
        {AsOf.Era, AsOf.Number, Beacon.EvacuationsComplete, Beacon.EvacuatedZones.zones()}));
  }
  if (!Beacon.EvacuatedZones.known() && (Beacon.ColdRate || Beacon.StoreReadAge))
    Fields.push_back(nullptr);
  // Earlier versions read a number here, so that an empty rate before the age is 0.
  if (Beacon.ColdRate || Beacon.StoreReadAge)
    Fields.push_back(Beacon.ColdRate.value_or(0));
  if (Beacon.StoreReadAge)
    Fields.push_back(Beacon.StoreReadAge->count());
  return Fields;
}

json toJson(const FlowNotice &Notice) {
  return json::array({MessageType::Notice, keyToJson(Notice.Key), loadToJson(Notice.Load)});
}

json toJson(const ReturnedPacket &Returned) {
  return json::array({MessageType::Returned, Returned.Reason, loadToJson(Returned.Load),
                      json::binary(Returned.Packet)});
}

json toJson(const FlowAbsence &Absence) {
  return json::array({MessageType::Absence, keyToJson(Absence.Key)});
}

json toJson(const FlowQuery &Query) {
  json Rows = json::array();
  for (const auto &Row : Query.Rows)
    Rows.push_back(json::array({keyToJson(Row.Key), Row.Acknowledgement}));
  return json::array({MessageType::Query, Query.Id, std::move(Rows)});
}

json toJson(const FlowAnswer &Answer) {
  return json::array({MessageType::Answer, Answer.Id, Answer.Held, Answer.Unsure});
}

json toJson(const LoadQuery &Query) {
  json Fields = json::array({MessageType::LoadQuery});
  if (Query.Stamp != 0)
    Fields.push_back(Query.Stamp);
  return Fields;
}

json toJson(const LoadAnswer &Answer) {
  json Fields = json::array({MessageType::LoadAnswer, Answer.State, loadToJson(Answer.Load)});
  if (Answer.Stamp != 0)
    Fields.push_back(Answer.Stamp);
  return Fields;
}

json toJson(const LossQuery &Query) { return json::array({MessageType::LossQuery, Query.Agents}); }

json toJson(const LossAnswer &Answer) {
  return json::array({MessageType::LossAnswer, Answer.Silent});
}

json toJson(const HolderQuery &Query) {
  return json::array({MessageType::HolderQuery, Query.Id, Query.Digest});
}

json toJson(const HolderAnswer &Answer) {
  json Rows = json::array();
  for (const auto &Agent : Answer.Agents)
    Rows.push_back(json::array({Agent.Address, Agent.Incarnation, Agent.Sequence}));
  return json::array({MessageType::HolderAnswer, Answer.Id, Answer.Settled, Answer.Part,
                      Answer.Parts, std::move(Rows)});
}

json toJson(const CallerTries &Tries) {
  return json::array(
      {MessageType::CallerTries, Tries.Use, keyToJson(Tries.Key), Tries.Count, Tries.Age.count()});
}

/// Returns the stamp at an index, or 0 if the array ends before it.
std::uint16_t stampFromJson(const json &Fields, std::size_t Index) {
  return Fields.size() > Index ? readUnsigned<std::uint16_t>(Fields.at(Index)) : 0;
}

/// Returns an enumerator of at most Last; throws std::out_of_range for a larger value.
template <typename E> E enumFromJson(const json &Value, E Last) {
  const auto Number = readUnsigned<std::uint8_t>(Value);
  if (Number > static_cast<std::uint8_t>(Last))
    throw std::out_of_range("unknown enum value " + std::to_string(Number));
  return static_cast<E>(Number);
}

/// Returns the rows of a list of at most MaxEntries; throws std::out_of_range for a longer one.
const json::array_t &rowsOf(const json &Value, std::size_t MaxEntries) {
  const auto &Rows = Value.get_ref<const json::array_t &>();
  if (Rows.size() > MaxEntries)
    throw std::out_of_range("list is too long: " + std::to_string(Rows.size()) + " entries");
  return Rows;
}

template <typename T> std::vector<T> listFromJson(const json &Value, std::size_t MaxEntries) {
  std::vector<T> List;
  for (const json &Row : rowsOf(Value, MaxEntries))
    List.push_back(readUnsigned<T>(Row));
  return List;
}

AgentReport reportFromJson(const json &Fields) {
  AgentReport Report;
  Report.Id = Fields.at(1).get<std::string>();
  Report.Zone = Fields.at(2).get<std::string>();
  Report.Incarnation = readUnsigned<std::uint64_t>(Fields.at(3));
  Report.Sequence = readUnsigned<std::uint64_t>(Fields.at(4));
  Report.Service = Fields.at(5).get<std::string>();
  Report.State = enumFromJson(Fields.at(6), UpstreamState::Ended);
  Report.UpstreamIncarnation = readUnsigned<std::uint64_t>(Fields.at(7));
  Report.Slots = readUnsigned<std::uint32_t>(Fields.at(8));
  Report.Load = loadFromJson(Fields.at(9));
  Report.ColdFor = common::Duration(
      readUnsigned(Fields.at(10), static_cast<std::uint64_t>(common::MaxStatedTime.count())));
  if (Fields.size() > 11)
    Report.Damping = {enumFromJson(Fields.at(11).at(0), policy::Standing::Spared),
                      readUnsigned<std::uint32_t>(Fields.at(11).at(1))};
  return Report;
}

Evacuations evacuationsFromJson(const json &Fields) {
  std::set<std::string, std::less<>> Zones;
  for (const json &Row : rowsOf(Fields.at(3), MaxBeaconZones)) {
    auto Zone = Row.get<std::string>();
    if (!isZoneName(Zone))
      throw std::out_of_range("not a zone's name");
    Zones.insert(std::move(Zone));
  }
  return {{readUnsigned<StoreEra>(Fields.at(0)), readUnsigned<std::uint64_t>(Fields.at(1))},
          std::move(Zones)};
}

BalancerBeacon beaconFromJson(const json &Fields) {
  BalancerBeacon Beacon;
  Beacon.Id = Fields.at(1).get<std::string>();
  Beacon.Zone = Fields.at(2).get<std::string>();
  Beacon.Incarnation = readUnsigned<std::uint64_t>(Fields.at(3));
  Beacon.ConfigurationRevision = readUnsigned<std::uint64_t>(Fields.at(4));
  Beacon.Leaving = Fields.at(5).get<bool>();
  Beacon.Balancers = listFromJson<NodeAddress>(Fields.at(6), MaxBeaconAddresses);
  Beacon.Agents = listFromJson<NodeAddress>(Fields.at(7), MaxBeaconAddresses);
  // Earlier versions don't send it.
  if (Fields.size() > 8)
    Beacon.Era = readUnsigned<StoreEra>(Fields.at(8));
  if (Fields.size() > 9 && !Fields.at(9).is_null()) {
    Beacon.EvacuatedZones = evacuationsFromJson(Fields.at(9));
    Beacon.EvacuationsComplete = Fields.at(9).at(2).get<bool>();
  }
  if (Fields.size() > 10)
    Beacon.ColdRate = common::readNumber(Fields.at(10), 0, MaxColdRate);
  if (Fields.size() > 11) {
    Beacon.StoreReadAge = std::chrono::duration_cast<std::chrono::milliseconds>(
        common::readMilliseconds(Fields.at(11)));
    if (*Beacon.ColdRate == 0)
      Beacon.ColdRate.reset();
  }
  return Beacon;
}

FlowQuery queryFromJson(const json &Fields) {
  FlowQuery Query{readUnsigned<std::uint64_t>(Fields.at(1)), {}};
  for (const json &Row : rowsOf(Fields.at(2), MaxQueriedFlows))
    Query.Rows.push_back({keyFromJson(Row.at(0)), readUnsigned<std::uint32_t>(Row.at(1))});
  return Query;
}

HolderAnswer holderAnswerFromJson(const json &Fields) {
  HolderAnswer Answer{readUnsigned<std::uint64_t>(Fields.at(1)),
                      Fields.at(2).get<bool>(),
                      readUnsigned<std::uint16_t>(Fields.at(3)),
                      readUnsigned<std::uint16_t>(Fields.at(4)),
                      {}};
  if (Answer.Part >= Answer.Parts)
    throw std::out_of_range("part " + std::to_string(Answer.Part) + " of " +
                            std::to_string(Answer.Parts));
  for (const json &Row : rowsOf(Fields.at(5), MaxNamedHolders))
    Answer.Agents.push_back({readUnsigned<NodeAddress>(Row.at(0)),
                             readUnsigned<std::uint64_t>(Row.at(1)),
                             readUnsigned<std::uint64_t>(Row.at(2))});
  return Answer;
}

PeerMessage messageFromJson(const json &Fields) {
  switch (enumFromJson(Fields.at(0), MessageType::CallerTries)) {
  case MessageType::Report:
    return reportFromJson(Fields);
  case MessageType::Beacon:
    return beaconFromJson(Fields);
  case MessageType::Notice:
    return FlowNotice{keyFromJson(Fields.at(1)), loadFromJson(Fields.at(2))};
  case MessageType::Returned:
    return ReturnedPacket{enumFromJson(Fields.at(1), ReturnReason::Spared),
                          loadFromJson(Fields.at(2)), Fields.at(3).get_binary()};
  case MessageType::Absence:
    return FlowAbsence{keyFromJson(Fields.at(1))};
  case MessageType::Query:
    return queryFromJson(Fields);
  case MessageType::Answer:
    return FlowAnswer{readUnsigned<std::uint64_t>(Fields.at(1)),
                      listFromJson<std::uint8_t>(Fields.at(2), MaxQueriedFlows),
                      listFromJson<std::uint8_t>(Fields.at(3), MaxQueriedFlows)};
  case MessageType::LoadQuery:
    return LoadQuery{stampFromJson(Fields, 1)};
  case MessageType::LoadAnswer:
    return LoadAnswer{enumFromJson(Fields.at(1), UpstreamState::Ended), loadFromJson(Fields.at(2)),
                      stampFromJson(Fields, 3)};
  case MessageType::LossQuery:
    return LossQuery{listFromJson<NodeAddress>(Fields.at(1), MaxSuspectedAgents)};
  case MessageType::LossAnswer:
    return LossAnswer{listFromJson<NodeAddress>(Fields.at(1), MaxSuspectedAgents)};
  case MessageType::HolderQuery:
    return HolderQuery{readUnsigned<std::uint64_t>(Fields.at(1)),
                       readUnsigned<std::uint64_t>(Fields.at(2))};
  case MessageType::HolderAnswer:
    return holderAnswerFromJson(Fields);
  case MessageType::CallerTries:
    return CallerTries{enumFromJson(Fields.at(1), CallerTries::Purpose::Answer),
                       keyFromJson(Fields.at(2)), readUnsigned<std::uint32_t>(Fields.at(3)),
                       std::chrono::milliseconds(readUnsigned<std::uint32_t>(Fields.at(4)))};
  }
  throw std::out_of_range("unknown message type");
}

} // namespace

std::string_view name(UpstreamState State) noexcept {
  constexpr std::array<std::string_view, 6> Names{"unknown", "ready",    "draining",
                                                  "silent",  "stopping", "ended"};
  return Names[static_cast<std::size_t>(State)];
}

std::string_view name(ReturnReason Reason) noexcept {
  constexpr std::array<std::string_view, 8> Names{
      "busy", "full", "refused", "leaving", "unanswered", "wrong_service", "not_held", "spared"};
  return Names[static_cast<std::size_t>(Reason)];
}

Bytes encode(const PeerMessage &Message) {
  return json::to_cbor(std::visit([](const auto &Body) { return toJson(Body); }, Message));
}

Outcome<PeerMessage> decodeMessage(std::span<const std::uint8_t> Datagram) {
  if (Datagram.size() > MaxMessageBytes)
    return {std::nullopt, {ResultCode::MessageTooLong, std::to_string(Datagram.size()) + " bytes"}};
  try {
    return {messageFromJson(json::from_cbor(Datagram.begin(), Datagram.end())), {}};
  } catch (const std::exception &Error) {
    return {std::nullopt, {ResultCode::MessageMalformed, Error.what()}};
  }
}

} // namespace galenarelay::relay
