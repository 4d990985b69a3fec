#include "galenarelay/request/key_claims.h"

#include "galenarelay/common/hash.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>

namespace galenarelay::request {

using common::Endpoint;
using common::TimePoint;
using flow::SendControl;
using membership::Member;
using membership::MemberState;
using nlohmann::json;

namespace {

constexpr std::array<std::string_view, 3> StateNames{"running", "answered", "unknown"};
/// The end of a claim is sent again until acknowledged, but not for longer than the retention.
constexpr common::Duration SettleTimeout = std::chrono::seconds(30);
constexpr common::Duration HandoverPause =
    std::chrono::duration_cast<common::Duration>(std::chrono::seconds(1)) /
    static_cast<int>(ClaimHandoversPerSecond);

std::optional<ClaimState> parseState(std::string_view Text) {
  for (std::size_t I = 0; I < StateNames.size(); ++I)
    if (StateNames[I] == Text)
      return static_cast<ClaimState>(I);
  return std::nullopt;
}

json toJson(const ClaimKey &Key, const Claim &Value) {
  json Document{{"s", Key.first},
                {"k", Key.second},
                {"c", Value.Claimant},
                {"f", Value.Fingerprint},
                {"st", StateNames[static_cast<std::size_t>(Value.State)]}};
  if (Value.State == ClaimState::Answered) {
    Document["code"] = Value.Status;
    Document["ct"] = Value.ContentType;
    Document["b"] = Value.Body;
  }
  return Document;
}

ClaimKey keyOf(const json &Message) {
  return {Message.at("s").get<std::string>(), Message.at("k").get<std::string>()};
}

Claim claimOf(const json &Message) {
  Claim Value;
  Value.Claimant = Message.at("c").get<std::string>();
  Value.Fingerprint = Message.at("f").get<std::uint64_t>();
  Value.State = parseState(Message.at("st").get<std::string>()).value_or(ClaimState::Unknown);
  Value.Status = Message.value("code", 0U);
  Value.ContentType = Message.value("ct", std::string());
  Value.Body = Message.value("b", std::string()).substr(0, MaxClaimBody);
  return Value;
}

/// The agent ID in a claimant's name, which ends with "#life#request".
std::string agentOf(const std::string &Claimant) {
  const auto Last = Claimant.rfind('#');
  const auto Middle = Last == std::string::npos || Last == 0 ? Last : Claimant.rfind('#', Last - 1);
  return Middle == std::string::npos ? Claimant : Claimant.substr(0, Middle);
}

} // namespace

KeyClaims::KeyClaims(std::string SelfId, std::uint64_t Life)
    : SelfId(std::move(SelfId)), Life(Life) {}

std::optional<TimePoint> KeyClaims::nextTimer() const noexcept {
  std::optional<TimePoint> Next;
  const auto Consider = [&Next](TimePoint At) {
    if (!Next || At < *Next)
      Next = At;
  };
  for (const auto &Entry : Waiting)
    Consider(std::min(Entry.second.NextSend, Entry.second.Deadline));
  for (const auto &Entry : Settling)
    Consider(std::min(Entry.second.NextSend, Entry.second.Deadline));
  if (!Handovers.empty())
    Consider(NextHandover);
  if (!Expiries.empty())
    Consider(Expiries.begin()->first);
  return Next;
}

std::string KeyClaims::claimantName(std::uint64_t Request) const {
  return SelfId + "#" + std::to_string(Life) + "#" + std::to_string(Request);
}

std::vector<KeyClaims::Replica> KeyClaims::replicasOf(const routing::RoutingView *View,
                                                      const ClaimKey &Key) {
  const auto *Route = View != nullptr ? View->service(Key.first) : nullptr;
  if (Route == nullptr)
    return {};
  std::vector<std::pair<std::uint64_t, std::size_t>> Ranked;
  const std::uint64_t Seed = common::hash64(Key.first + "\n" + Key.second);
  for (std::size_t I = 0; I < Route->Candidates.size(); ++I)
    Ranked.emplace_back(common::hash64(Route->Candidates[I].Id, Seed), I);
  std::sort(Ranked.begin(), Ranked.end(), std::greater<>());
  Ranked.resize(std::min(Ranked.size(), ClaimReplicas));
  std::vector<Replica> Chosen;
  for (const auto &Entry : Ranked) {
    const Member &Candidate = Route->Candidates[Entry.second];
    Chosen.push_back({Candidate.Id, Candidate.Control});
  }
  return Chosen;
}

void KeyClaims::store(const ClaimKey &Key, const Claim &Value, TimePoint Now) {
  const bool Running = Value.State == ClaimState::Running;
  const TimePoint Ends = Now + (Running ? ClaimRunningLimit : ClaimRetention);
  erase(Key);
  Kept.emplace(Key, KeptClaim{Value, Ends});
  Expiries.emplace(Ends, Key);
}

void KeyClaims::erase(const ClaimKey &Key) {
  const auto Known = Kept.find(Key);
  if (Known == Kept.end())
    return;
  Expiries.erase({Known->second.Ends, Key});
  Kept.erase(Known);
}

std::optional<Claim> KeyClaims::keep(const ClaimKey &Key, const Claim &Value, TimePoint Now) {
  const auto Found = Kept.find(Key);
  if (Found != Kept.end() && Found->second.Value.Claimant != Value.Claimant)
    return Found->second.Value;
  if (Found != Kept.end())
    return std::nullopt;
  if (Kept.size() >= MaxClaims)
    return Claim{};
  store(Key, Value, Now);
  return std::nullopt;
}

std::vector<ClaimAction> KeyClaims::claim(std::uint64_t Request, ClaimKey Key,
                                          std::uint64_t Fingerprint, TimePoint Now) {
  std::vector<ClaimAction> Actions;
  WaitingClaim Entry;
  Entry.Value = {claimantName(Request), Fingerprint, ClaimState::Running};
  Entry.Asked = replicasOf(View.get(), Key);
  Entry.Key = std::move(Key);
  Entry.Deadline = Now + ClaimTimeout;
  Entry.NextSend = Now;
  if (Entry.Asked.empty()) {
    Actions.emplace_back(ClaimFailed{Request});
    return Actions;
  }
  for (const Replica &Asked : Entry.Asked)
    Entry.Unanswered.emplace(Asked.Id, Asked);
  Waiting.emplace(Request, std::move(Entry));
  const auto Sent = onTimer(Now);
  Actions.insert(Actions.end(), Sent.begin(), Sent.end());
  return Actions;
}

void KeyClaims::grant(std::uint64_t Request, std::vector<ClaimAction> &Actions) {
  auto Node = Waiting.extract(Request);
  WaitingClaim &Entry = Node.mapped();
  Held.emplace(Request,
               HeldClaim{std::move(Entry.Key), std::move(Entry.Value), std::move(Entry.Asked)});
  Actions.emplace_back(ClaimGranted{Request});
}

// A holder without a claimant stands for a replica whose table is full.
void KeyClaims::deny(std::uint64_t Request, const Claim &Holder, TimePoint Now,
                     std::vector<ClaimAction> &Actions) {
  abandon(Request, Now, Actions);
  if (Holder.Claimant.empty())
    Actions.emplace_back(ClaimFailed{Request});
  else
    Actions.emplace_back(ClaimDenied{Request, Holder});
}

// Replicas that granted the key, or whose answer was lost, must free it again.
void KeyClaims::abandon(std::uint64_t Request, TimePoint Now, std::vector<ClaimAction> &Actions) {
  auto Node = Waiting.extract(Request);
  WaitingClaim &Entry = Node.mapped();
  const HeldClaim Taken{Entry.Key, Entry.Value, Entry.Asked};
  json Message = toJson(Taken.Key, Taken.Value);
  Message["t"] = "settle";
  Message["free"] = true;
  beginSettle(Taken, std::move(Message), Now, Actions);
}

void KeyClaims::beginSettle(const HeldClaim &Taken, json Message, TimePoint Now,
                            std::vector<ClaimAction> &Actions) {
  SettlingClaim Entry;
  // Replicas at the time of the claim, and those that became replicas since by a handover.
  std::vector<Replica> Targets = replicasOf(View.get(), Taken.Key);
  Targets.insert(Targets.end(), Taken.Asked.begin(), Taken.Asked.end());
  for (const Replica &Target : Targets)
    if (Target.Id != SelfId)
      Entry.Unanswered.emplace(Target.Id, Target);
  applySettle(Message, Now);
  if (Entry.Unanswered.empty())
    return;
  Entry.Message = std::move(Message);
  Entry.Deadline = Now + SettleTimeout;
  Entry.NextSend = Now + ClaimResend;
  for (const auto &Target : Entry.Unanswered)
    Actions.emplace_back(SendControl{Target.second.Control, Entry.Message});
  const auto Claimant = Entry.Message.at("c").get<std::string>();
  Settling.emplace(common::hash64(Claimant), std::move(Entry));
}

std::vector<ClaimAction> KeyClaims::settle(std::uint64_t Request, ClaimState State, unsigned Status,
                                           std::string ContentType, std::string Body,
                                           TimePoint Now) {
  std::vector<ClaimAction> Actions;
  auto Node = Held.extract(Request);
  if (Node.empty())
    return Actions;
  HeldClaim &Taken = Node.mapped();
  Taken.Value.State = State;
  Taken.Value.Status = Status;
  Taken.Value.ContentType = std::move(ContentType);
  if (Body.size() <= MaxClaimBody)
    Taken.Value.Body = std::move(Body);
  json Message = toJson(Taken.Key, Taken.Value);
  Message["t"] = "settle";
  beginSettle(Taken, std::move(Message), Now, Actions);
  return Actions;
}

std::vector<ClaimAction> KeyClaims::release(std::uint64_t Request, TimePoint Now) {
  std::vector<ClaimAction> Actions;
  if (Waiting.count(Request) != 0) {
    abandon(Request, Now, Actions);
    return Actions;
  }
  auto Node = Held.extract(Request);
  if (Node.empty())
    return Actions;
  json Message = toJson(Node.mapped().Key, Node.mapped().Value);
  Message["t"] = "settle";
  Message["free"] = true;
  beginSettle(Node.mapped(), std::move(Message), Now, Actions);
  return Actions;
}

// A freed claimant is remembered for SettleTimeout: a claim message that was delayed in the
// network must not take the key for a request that has already been told "not run".
void KeyClaims::applySettle(const json &Message, TimePoint Now) {
  const ClaimKey Key = keyOf(Message);
  const Claim Value = claimOf(Message);
  const auto Found = Kept.find(Key);
  if (Found != Kept.end() && Found->second.Value.Claimant != Value.Claimant)
    return;
  if (Message.value("free", false)) {
    Freed.emplace(Value.Claimant, Now + SettleTimeout);
    erase(Key);
    return;
  }
  store(Key, Value, Now);
}

void KeyClaims::onClaim(const json &Message, Endpoint From, TimePoint Now,
                        std::vector<ClaimAction> &Actions) {
  const ClaimKey Key = keyOf(Message);
  const Claim Value = claimOf(Message);
  if (Freed.count(Value.Claimant) != 0)
    return;
  const auto Other = keep(Key, Value, Now);
  json Answer{{"t", "claimed"}, {"r", Message.at("r")}, {"i", SelfId}, {"ok", !Other.has_value()}};
  if (Other)
    Answer["h"] = toJson(Key, *Other);
  Actions.emplace_back(SendControl{From, std::move(Answer)});
}

void KeyClaims::onClaimed(const json &Message, TimePoint Now, std::vector<ClaimAction> &Actions) {
  const auto Request = Message.at("r").get<std::uint64_t>();
  const auto Found = Waiting.find(Request);
  if (Found == Waiting.end())
    return;
  if (!Message.at("ok").get<bool>()) {
    deny(Request, claimOf(Message.at("h")), Now, Actions);
    return;
  }
  Found->second.Grants += Found->second.Unanswered.erase(Message.at("i").get<std::string>());
  if (Found->second.Unanswered.empty())
    grant(Request, Actions);
}

void KeyClaims::onSettled(const json &Message) {
  const auto Found = Settling.find(common::hash64(Message.at("c").get<std::string>()));
  if (Found == Settling.end())
    return;
  Found->second.Unanswered.erase(Message.at("i").get<std::string>());
  if (Found->second.Unanswered.empty())
    Settling.erase(Found);
}

void KeyClaims::onHandover(const json &Message, TimePoint Now) {
  for (const json &Item : Message.at("e")) {
    const ClaimKey Key = keyOf(Item);
    const Claim Value = claimOf(Item);
    const auto Found = Kept.find(Key);
    const bool Known = Found != Kept.end() && (Found->second.Value.Claimant != Value.Claimant ||
                                               Found->second.Value.State != ClaimState::Running);
    if (!Known && Freed.count(Value.Claimant) == 0 && Kept.size() < MaxClaims)
      store(Key, Value, Now);
  }
}

std::vector<ClaimAction> KeyClaims::dispatchControl(const json &Message, Endpoint From,
                                                    TimePoint Now) {
  std::vector<ClaimAction> Actions;
  const auto Type = Message.at("t").get<std::string>();
  if (Type == "claim") {
    onClaim(Message, From, Now, Actions);
  } else if (Type == "claimed") {
    onClaimed(Message, Now, Actions);
  } else if (Type == "settle") {
    applySettle(Message, Now);
    Actions.emplace_back(
        SendControl{From, json{{"t", "settled"}, {"c", Message.at("c")}, {"i", SelfId}}});
  } else if (Type == "settled") {
    onSettled(Message);
  } else if (Type == "claims") {
    onHandover(Message, Now);
  }
  return Actions;
}

std::vector<ClaimAction> KeyClaims::onControl(const json &Message, Endpoint From, TimePoint Now) {
  try {
    return dispatchControl(Message, From, Now);
  } catch (const json::exception &) {
    return {}; // The caller counts malformed messages by the empty result of a known type.
  }
}

std::vector<ClaimAction> KeyClaims::onViewChange(std::shared_ptr<const routing::RoutingView> Next,
                                                 TimePoint Now) {
  const auto Previous = std::exchange(View, std::move(Next));
  std::vector<ClaimKey> Unknown;
  for (const auto &Entry : Kept) {
    const Claim &Value = Entry.second.Value;
    const Member *Claimant = View->member(agentOf(Value.Claimant));
    const bool Gone = Claimant != nullptr && Claimant->State == MemberState::Dead;
    if (Value.State == ClaimState::Running && Gone)
      Unknown.push_back(Entry.first);
    planHandover(Previous.get(), Entry.first);
  }
  // A dead claimant can't tell how its request ended. If it was only unreachable, its settle
  // message corrects the state.
  for (const ClaimKey &Key : Unknown) {
    Claim Value = Kept.at(Key).Value;
    Value.State = ClaimState::Unknown;
    store(Key, Value, Now);
  }
  std::vector<ClaimAction> Actions;
  forgetDeadReplicas(Actions);
  return Actions;
}

// Views share the routes of services that did not change, so that a change elsewhere in the fleet
// costs one pointer comparison per claim.
void KeyClaims::planHandover(const routing::RoutingView *Previous, const ClaimKey &Key) {
  if (Previous == nullptr || Previous->service(Key.first) == View->service(Key.first))
    return;
  const std::vector<Replica> Before = replicasOf(Previous, Key);
  Handover Planned{Key, {}};
  for (const Replica &Target : replicasOf(View.get(), Key)) {
    const bool Had = std::any_of(Before.begin(), Before.end(),
                                 [&](const Replica &Old) { return Old.Id == Target.Id; });
    if (!Had && Target.Id != SelfId)
      Planned.Targets.push_back(Target);
  }
  if (!Planned.Targets.empty())
    Handovers.push_back(std::move(Planned));
}

// A dead replica is not waited for once another one has granted the key.
void KeyClaims::forgetDeadReplicas(std::vector<ClaimAction> &Actions) {
  std::vector<std::uint64_t> Complete;
  for (auto &Entry : Waiting) {
    auto &Unanswered = Entry.second.Unanswered;
    for (auto Item = Unanswered.begin(); Item != Unanswered.end();) {
      const Member *Asked = View->member(Item->first);
      const bool Gone = Asked == nullptr || Asked->State == MemberState::Dead;
      Item = Gone && Entry.second.Grants > 0 ? Unanswered.erase(Item) : std::next(Item);
    }
    if (Unanswered.empty())
      Complete.push_back(Entry.first);
  }
  for (const std::uint64_t Request : Complete)
    grant(Request, Actions);
}

void KeyClaims::expire(TimePoint Now) {
  while (!Expiries.empty() && Expiries.begin()->first <= Now) {
    const ClaimKey Key = Expiries.begin()->second;
    Claim Value = Kept.at(Key).Value;
    erase(Key);
    if (Value.State != ClaimState::Running)
      continue;
    Value.State = ClaimState::Unknown;
    store(Key, Value, Now);
  }
  for (auto Item = Freed.begin(); Item != Freed.end();)
    Item = Item->second <= Now ? Freed.erase(Item) : std::next(Item);
}

// New replicas receive claims at a bounded rate, so that a change of members can't exceed the
// control budget of a node.
void KeyClaims::handOver(TimePoint Now, std::vector<ClaimAction> &Actions) {
  while (!Handovers.empty() && NextHandover <= Now) {
    const Handover Planned = std::move(Handovers.front());
    Handovers.pop_front();
    const auto Found = Kept.find(Planned.Key);
    if (Found == Kept.end())
      continue;
    const json Message{{"t", "claims"},
                       {"e", json::array({toJson(Planned.Key, Found->second.Value)})}};
    for (const Replica &Target : Planned.Targets)
      Actions.emplace_back(SendControl{Target.Control, Message});
    NextHandover = std::max(NextHandover, Now) + HandoverPause;
  }
}

std::vector<ClaimAction> KeyClaims::onTimer(TimePoint Now) {
  std::vector<ClaimAction> Actions;
  expire(Now);
  std::vector<std::uint64_t> Due;
  for (const auto &Entry : Waiting)
    if (Entry.second.NextSend <= Now || Entry.second.Deadline <= Now)
      Due.push_back(Entry.first);
  for (const std::uint64_t Request : Due)
    sendClaim(Request, Now, Actions);
  for (auto Item = Settling.begin(); Item != Settling.end();) {
    SettlingClaim &Entry = Item->second;
    if (Entry.Deadline <= Now) {
      Item = Settling.erase(Item);
      continue;
    }
    if (Entry.NextSend <= Now) {
      Entry.NextSend = Now + ClaimResend;
      for (const auto &Target : Entry.Unanswered)
        Actions.emplace_back(SendControl{Target.second.Control, Entry.Message});
    }
    ++Item;
  }
  handOver(Now, Actions);
  return Actions;
}

void KeyClaims::sendClaim(std::uint64_t Request, TimePoint Now, std::vector<ClaimAction> &Actions) {
  WaitingClaim &Entry = Waiting.at(Request);
  if (Entry.Deadline <= Now) {
    abandon(Request, Now, Actions);
    Actions.emplace_back(ClaimFailed{Request});
    return;
  }
  Entry.NextSend = Now + ClaimResend;
  if (Entry.Unanswered.count(SelfId) != 0) {
    if (const auto Other = keep(Entry.Key, Entry.Value, Now)) {
      deny(Request, *Other, Now, Actions);
      return;
    }
    Entry.Grants += Entry.Unanswered.erase(SelfId);
  }
  json Message = toJson(Entry.Key, Entry.Value);
  Message["t"] = "claim";
  Message["r"] = Request;
  for (const auto &Target : Entry.Unanswered)
    Actions.emplace_back(SendControl{Target.second.Control, Message});
  if (Entry.Unanswered.empty())
    grant(Request, Actions);
}

} // namespace galenarelay::request
