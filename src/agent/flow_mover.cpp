#include "galenarelay/agent/flow_mover.h"

#include "galenarelay/common/json_fields.h"

#include <algorithm>

namespace galenarelay::agent {

using common::ResultCode;
using common::TimePoint;
using membership::MemberState;
using nlohmann::json;
using packet::FlowKey;

namespace {

/// Moves that may begin in one burst.
constexpr double MoveBurst = MovesPerSecond / 10;

common::Result<FlowOffer> readOffer(const json &Message) {
  FlowOffer Offer;
  Offer.Service = Message.at("service").get<std::string>();
  flow::IdleStream &Stream = Offer.Stream;
  BOOST_LEAF_ASSIGN(Stream.Key, packet::parseFlowKey(Message.at("flow").get<std::string>()));
  std::vector<std::uint32_t> Numbers;
  for (const json &Number : Message.at("numbers"))
    Numbers.push_back(common::readUnsigned<std::uint32_t>(Number));
  constexpr std::size_t NumberCount = 5;
  if (Numbers.size() != NumberCount)
    return common::fail(ResultCode::MessageMalformed,
                        "the \"numbers\" of a flow offer must have 5 elements");
  Stream.InitialSend = Numbers[0];
  Stream.SendNext = Numbers[1];
  Stream.InitialReceive = Numbers[2];
  Stream.ReceiveNext = Numbers[3];
  Stream.PeerWindow = Numbers[4];
  Stream.InitialSendOutOfRange = Message.at("long_lived").get<bool>();
  Stream.Unread = Message.at("unread").get_binary();
  if (Stream.Unread.size() > flow::Stream::MaxTransferredUnreadBytes)
    return common::fail(ResultCode::MessageTooLong,
                        "a flow offer has more unread bytes than may move with a stream");
  return Offer;
}

} // namespace

json toMessage(const FlowOffer &Offer) {
  const flow::IdleStream &Stream = Offer.Stream;
  return {{"t", "adopt"},
          {"service", Offer.Service},
          {"flow", packet::toString(Stream.Key)},
          {"numbers",
           {Stream.InitialSend, Stream.SendNext, Stream.InitialReceive, Stream.ReceiveNext,
            Stream.PeerWindow}},
          {"long_lived", Stream.InitialSendOutOfRange},
          {"unread", json::binary(Stream.Unread)}};
}

common::Result<FlowOffer> offerFromMessage(const json &Message) {
  try {
    return readOffer(Message);
  } catch (const json::exception &Error) {
    return common::fail(ResultCode::MessageMalformed, Error.what());
  }
}

json offerAnswer(const FlowKey &Key, const std::string &SelfId, bool Adopted) {
  return {
      {"t", Adopted ? "adopted" : "declined"}, {"flow", packet::toString(Key)}, {"owner", SelfId}};
}

std::optional<TimePoint> FlowMover::nextTimer() const noexcept {
  std::optional<TimePoint> Next;
  const auto Consider = [&Next](TimePoint At) {
    if (!Next || At < *Next)
      Next = At;
  };
  for (const auto &Entry : Moves)
    Consider(Entry.second.NextSend);
  for (const auto &Entry : Postponed)
    Consider(Entry.second);
  return Next;
}

bool FlowMover::takeMoveToken(const FlowKey &Key, TimePoint Now) {
  if (moving(Key) || Postponed.contains(Key))
    return false;
  const std::chrono::duration<double> Passed = Now - TokensUpdated;
  Tokens = std::min(MoveBurst, Tokens + Passed.count() * MovesPerSecond);
  TokensUpdated = Now;
  if (Tokens < 1) {
    // Flows that wait for the rate limit get retry times spread over the time that the limit needs
    // for all of them.
    const double WaitSeconds = static_cast<double>(Postponed.size() + 1) / MovesPerSecond;
    Postponed[Key] = Now + std::chrono::duration_cast<common::Duration>(
                               std::chrono::duration<double>(WaitSeconds));
    return false;
  }
  Tokens -= 1;
  return true;
}

flow::SendControl FlowMover::beginMove(FlowOffer Offer, const membership::Member &Target,
                                       TimePoint Now) {
  const FlowKey Key = Offer.Stream.Key;
  flow::SendControl Message{Target.Control, toMessage(Offer)};
  Moves.insert_or_assign(Key, Move{Target.Id, Message, Now + MoveResendInterval});
  return Message;
}

bool FlowMover::endMove(const FlowKey &Key, const std::string &Owner) {
  const auto Pending = Moves.find(Key);
  if (Pending == Moves.end() || Pending->second.TargetId != Owner)
    return false;
  Moves.erase(Pending);
  return true;
}

void FlowMover::postpone(const FlowKey &Key, TimePoint Now) {
  Postponed[Key] = Now + MoveRetryDelay;
}

std::vector<FlowKey> FlowMover::takeAbandonedMoves(const routing::RoutingView &View) {
  std::vector<FlowKey> Abandoned;
  for (const auto &Entry : Moves) {
    const membership::Member *Target = View.member(Entry.second.TargetId);
    if (Target == nullptr || Target->State == MemberState::Dead)
      Abandoned.push_back(Entry.first);
  }
  for (const FlowKey &Key : Abandoned)
    Moves.erase(Key);
  return Abandoned;
}

std::vector<flow::SendControl> FlowMover::onTimer(TimePoint Now) {
  std::vector<flow::SendControl> Messages;
  for (auto &Entry : Moves) {
    if (Entry.second.NextSend > Now)
      continue;
    Entry.second.NextSend = Now + MoveResendInterval;
    Messages.push_back(Entry.second.Offer);
  }
  return Messages;
}

std::vector<FlowKey> FlowMover::takeRetriesDue(TimePoint Now) {
  std::vector<FlowKey> Due;
  for (const auto &Entry : Postponed)
    if (Entry.second <= Now)
      Due.push_back(Entry.first);
  for (const FlowKey &Key : Due)
    Postponed.erase(Key);
  return Due;
}

} // namespace galenarelay::agent
