#include "galenarelay/request/key_claims.h"

#include "galenarelay/common/hash.h"
#include "galenarelay/common/json_fields.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <exception>
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
/// A settle message is retransmitted until it is acknowledged, but for no longer than this. The
/// limit is below ClaimRetention.
constexpr common::Duration SettleTimeout = std::chrono::seconds(30);
constexpr common::Duration HandoverInterval =
    std::chrono::duration_cast<common::Duration>(std::chrono::seconds(1)) /
    static_cast<int>(MaxClaimHandoversPerSecond);

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
  Value.Fingerprint = common::readUnsigned<std::uint64_t>(Message.at("f"));
  Value.State = parseState(Message.at("st").get<std::string>()).value_or(ClaimState::Unknown);
  if (Message.contains("code"))
    Value.Status = common::readUnsigned<unsigned>(Message.at("code"));
  Value.ContentType = Message.value("ct", std::string());
  Value.Body = Message.value("b", std::string()).substr(0, MaxClaimBody);
  return Value;
}

/// Returns the agent ID of a claimant name, which has the form "agent#start#request".
std::string agentIdOf(const std::string &Claimant) {
  const auto Last = Claimant.rfind('#');
  const auto Middle = Last == std::string::npos || Last == 0 ? Last : Claimant.rfind('#', Last - 1);
  return Middle == std::string::npos ? Claimant : Claimant.substr(0, Middle);
}

} // namespace

KeyClaims::KeyClaims(std::string SelfId, std::uint64_t StartId)
    : SelfId(std::move(SelfId)), StartId(StartId) {}

std::optional<TimePoint> KeyClaims::nextTimer() const noexcept {
  std::optional<TimePoint> Next;
  const auto Consider = [&Next](TimePoint At) {
    if (!Next || At < *Next)
      Next = At;
  };
  for (const auto &Entry : PendingClaims)
    Consider(std::min(Entry.second.NextSend, Entry.second.Deadline));
  for (const auto &Entry : PendingSettles)
    Consider(std::min(Entry.second.NextSend, Entry.second.Deadline));
  if (!Handovers.empty())
    Consider(NextHandover);
  if (!Expiries.empty())
    Consider(Expiries.begin()->first);
  return Next;
}

std::string KeyClaims::claimantName(std::uint64_t Request) const {
  return SelfId + "#" + std::to_string(StartId) + "#" + std::to_string(Request);
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
  std::vector<Replica> Replicas;
  for (const auto &Entry : Ranked) {
    const Member &Candidate = Route->Candidates[Entry.second];
    Replicas.push_back({Candidate.Id, Candidate.Control});
  }
  return Replicas;
}

void KeyClaims::store(const ClaimKey &Key, const Claim &Value, TimePoint Now) {
  const bool Running = Value.State == ClaimState::Running;
  const TimePoint ExpiresAt = Now + (Running ? ClaimRunningLimit : ClaimRetention);
  erase(Key);
  StoredClaims.emplace(Key, StoredClaim{Value, ExpiresAt});
  Expiries.emplace(ExpiresAt, Key);
}

void KeyClaims::erase(const ClaimKey &Key) {
  const auto Stored = StoredClaims.find(Key);
  if (Stored == StoredClaims.end())
    return;
  Expiries.erase({Stored->second.ExpiresAt, Key});
  StoredClaims.erase(Stored);
}

std::optional<Claim> KeyClaims::storeUnlessClaimed(const ClaimKey &Key, const Claim &Value,
                                                   TimePoint Now) {
  const auto Stored = StoredClaims.find(Key);
  if (Stored != StoredClaims.end() && Stored->second.Value.Claimant != Value.Claimant)
    return Stored->second.Value;
  if (Stored != StoredClaims.end())
    return std::nullopt;
  if (StoredClaims.size() >= MaxClaims)
    return Claim{};
  store(Key, Value, Now);
  return std::nullopt;
}

std::vector<ClaimAction> KeyClaims::claim(std::uint64_t Request, ClaimKey Key,
                                          std::uint64_t Fingerprint, TimePoint Now) {
  std::vector<ClaimAction> Actions;
  PendingClaim Pending;
  Pending.Value = {claimantName(Request), Fingerprint, ClaimState::Running};
  Pending.Replicas = replicasOf(View.get(), Key);
  Pending.Key = std::move(Key);
  Pending.Deadline = Now + ClaimTimeout;
  Pending.NextSend = Now;
  if (Pending.Replicas.empty()) {
    Actions.emplace_back(ClaimFailed{Request});
    return Actions;
  }
  for (const Replica &Target : Pending.Replicas)
    Pending.Unanswered.emplace(Target.Id, Target);
  PendingClaims.emplace(Request, std::move(Pending));
  const auto Sent = onTimer(Now);
  Actions.insert(Actions.end(), Sent.begin(), Sent.end());
  return Actions;
}

void KeyClaims::grant(std::uint64_t Request, std::vector<ClaimAction> &Actions) {
  auto Node = PendingClaims.extract(Request);
  PendingClaim &Pending = Node.mapped();
  ActiveClaims.emplace(Request, ActiveClaim{std::move(Pending.Key), std::move(Pending.Value),
                                            std::move(Pending.Replicas)});
  Actions.emplace_back(ClaimGranted{Request});
}

// A holder with an empty claimant means that a replica already stores MaxClaims claims.
void KeyClaims::deny(std::uint64_t Request, const Claim &Holder, TimePoint Now,
                     std::vector<ClaimAction> &Actions) {
  abandon(Request, Now, Actions);
  if (Holder.Claimant.empty())
    Actions.emplace_back(ClaimFailed{Request});
  else
    Actions.emplace_back(ClaimDenied{Request, Holder});
}

// Replicas that granted the key, or whose reply was lost, must release it.
void KeyClaims::abandon(std::uint64_t Request, TimePoint Now, std::vector<ClaimAction> &Actions) {
  auto Node = PendingClaims.extract(Request);
  PendingClaim &Pending = Node.mapped();
  const ActiveClaim Active{Pending.Key, Pending.Value, Pending.Replicas};
  json Message = toJson(Active.Key, Active.Value);
  Message["t"] = "settle";
  Message["free"] = true;
  beginSettle(Active, std::move(Message), Now, Actions);
}

void KeyClaims::beginSettle(const ActiveClaim &Active, json Message, TimePoint Now,
                            std::vector<ClaimAction> &Actions) {
  PendingSettle Pending;
  // Sent to the replicas at the time of the claim and to those that have become replicas since,
  // which received the claim by a handover.
  std::vector<Replica> Targets = replicasOf(View.get(), Active.Key);
  Targets.insert(Targets.end(), Active.Replicas.begin(), Active.Replicas.end());
  for (const Replica &Target : Targets)
    if (Target.Id != SelfId)
      Pending.Unanswered.emplace(Target.Id, Target);
  applySettle(Message, Now);
  if (Pending.Unanswered.empty())
    return;
  Pending.Message = std::move(Message);
  Pending.Deadline = Now + SettleTimeout;
  Pending.NextSend = Now + ClaimRetransmitInterval;
  for (const auto &Target : Pending.Unanswered)
    Actions.emplace_back(SendControl{Target.second.Control, Pending.Message});
  const auto Claimant = Pending.Message.at("c").get<std::string>();
  PendingSettles.emplace(common::hash64(Claimant), std::move(Pending));
}

std::vector<ClaimAction> KeyClaims::settle(std::uint64_t Request, ClaimState State, unsigned Status,
                                           std::string ContentType, std::string Body,
                                           TimePoint Now) {
  std::vector<ClaimAction> Actions;
  auto Node = ActiveClaims.extract(Request);
  if (Node.empty())
    return Actions;
  ActiveClaim &Active = Node.mapped();
  Active.Value.State = State;
  Active.Value.Status = Status;
  Active.Value.ContentType = std::move(ContentType);
  if (Body.size() <= MaxClaimBody)
    Active.Value.Body = std::move(Body);
  json Message = toJson(Active.Key, Active.Value);
  Message["t"] = "settle";
  beginSettle(Active, std::move(Message), Now, Actions);
  return Actions;
}

std::vector<ClaimAction> KeyClaims::release(std::uint64_t Request, TimePoint Now) {
  std::vector<ClaimAction> Actions;
  if (PendingClaims.count(Request) != 0) {
    abandon(Request, Now, Actions);
    return Actions;
  }
  auto Node = ActiveClaims.extract(Request);
  if (Node.empty())
    return Actions;
  json Message = toJson(Node.mapped().Key, Node.mapped().Value);
  Message["t"] = "settle";
  Message["free"] = true;
  beginSettle(Node.mapped(), std::move(Message), Now, Actions);
  return Actions;
}

// A released claimant is remembered for SettleTimeout: a claim message that was delayed in the
// network must not take the key for a request whose caller was already told "not run".
void KeyClaims::applySettle(const json &Message, TimePoint Now) {
  const ClaimKey Key = keyOf(Message);
  const Claim Value = claimOf(Message);
  const auto Stored = StoredClaims.find(Key);
  if (Stored != StoredClaims.end() && Stored->second.Value.Claimant != Value.Claimant)
    return;
  if (Message.value("free", false)) {
    ReleasedClaimants.emplace(Value.Claimant, Now + SettleTimeout);
    erase(Key);
    return;
  }
  store(Key, Value, Now);
}

void KeyClaims::onClaim(const json &Message, Endpoint From, TimePoint Now,
                        std::vector<ClaimAction> &Actions) {
  const ClaimKey Key = keyOf(Message);
  const Claim Value = claimOf(Message);
  if (ReleasedClaimants.count(Value.Claimant) != 0)
    return;
  const auto Holder = storeUnlessClaimed(Key, Value, Now);
  json Answer{{"t", "claimed"}, {"r", Message.at("r")}, {"i", SelfId}, {"ok", !Holder.has_value()}};
  if (Holder)
    Answer["h"] = toJson(Key, *Holder);
  Actions.emplace_back(SendControl{From, std::move(Answer)});
}

void KeyClaims::onClaimed(const json &Message, TimePoint Now, std::vector<ClaimAction> &Actions) {
  const auto Request = common::readUnsigned<std::uint64_t>(Message.at("r"));
  const auto Pending = PendingClaims.find(Request);
  if (Pending == PendingClaims.end())
    return;
  if (!Message.at("ok").get<bool>()) {
    deny(Request, claimOf(Message.at("h")), Now, Actions);
    return;
  }
  Pending->second.Grants += Pending->second.Unanswered.erase(Message.at("i").get<std::string>());
  if (Pending->second.Unanswered.empty())
    grant(Request, Actions);
}

void KeyClaims::onSettled(const json &Message) {
  const auto Pending = PendingSettles.find(common::hash64(Message.at("c").get<std::string>()));
  if (Pending == PendingSettles.end())
    return;
  Pending->second.Unanswered.erase(Message.at("i").get<std::string>());
  if (Pending->second.Unanswered.empty())
    PendingSettles.erase(Pending);
}

void KeyClaims::onHandover(const json &Message, TimePoint Now) {
  std::exception_ptr FirstProblem;
  for (const json &Item : Message.at("e")) {
    try {
      takeOver(keyOf(Item), claimOf(Item), Now);
    } catch (const json::exception &) {
      FirstProblem = FirstProblem ? FirstProblem : std::current_exception();
    }
  }
  if (FirstProblem)
    std::rethrow_exception(FirstProblem);
}

void KeyClaims::takeOver(const ClaimKey &Key, const Claim &Value, TimePoint Now) {
  const auto Stored = StoredClaims.find(Key);
  const bool KeepStored =
      Stored != StoredClaims.end() && (Stored->second.Value.Claimant != Value.Claimant ||
                                       Stored->second.Value.State != ClaimState::Running);
  if (!KeepStored && ReleasedClaimants.count(Value.Claimant) == 0 &&
      StoredClaims.size() < MaxClaims)
    store(Key, Value, Now);
}

std::vector<ClaimAction> KeyClaims::onControl(const json &Message, Endpoint From, TimePoint Now) {
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

std::vector<ClaimAction> KeyClaims::onViewChange(std::shared_ptr<const routing::RoutingView> Next,
                                                 TimePoint Now) {
  const auto Previous = std::exchange(View, std::move(Next));
  std::vector<ClaimKey> OrphanedKeys;
  for (const auto &Entry : StoredClaims) {
    const Claim &Value = Entry.second.Value;
    const Member *Claimant = View->member(agentIdOf(Value.Claimant));
    const bool ClaimantDead = Claimant != nullptr && Claimant->State == MemberState::Dead;
    if (Value.State == ClaimState::Running && ClaimantDead)
      OrphanedKeys.push_back(Entry.first);
    planHandover(Previous.get(), Entry.first);
  }
  // A dead claimant can't report how its request ended, so the outcome is unknown. If the claimant
  // was only unreachable, its settle message corrects the state.
  for (const ClaimKey &Key : OrphanedKeys) {
    Claim Value = StoredClaims.at(Key).Value;
    Value.State = ClaimState::Unknown;
    store(Key, Value, Now);
  }
  std::vector<ClaimAction> Actions;
  dropDeadReplicas(Actions);
  return Actions;
}

// Routing views share the routes of services that did not change, so a membership change that does
// not concern the service costs one pointer comparison per claim.
void KeyClaims::planHandover(const routing::RoutingView *Previous, const ClaimKey &Key) {
  if (Previous == nullptr || Previous->service(Key.first) == View->service(Key.first))
    return;
  const std::vector<Replica> Before = replicasOf(Previous, Key);
  Handover Planned{Key, {}};
  for (const Replica &Target : replicasOf(View.get(), Key)) {
    const bool WasReplica = std::any_of(Before.begin(), Before.end(), [&](const Replica &Former) {
      return Former.Id == Target.Id;
    });
    if (!WasReplica && Target.Id != SelfId)
      Planned.Targets.push_back(Target);
  }
  if (!Planned.Targets.empty())
    Handovers.push_back(std::move(Planned));
}

// Stops waiting for a dead replica if another replica has granted the key.
void KeyClaims::dropDeadReplicas(std::vector<ClaimAction> &Actions) {
  std::vector<std::uint64_t> Complete;
  for (auto &Entry : PendingClaims) {
    auto &Unanswered = Entry.second.Unanswered;
    for (auto Item = Unanswered.begin(); Item != Unanswered.end();) {
      const Member *Target = View->member(Item->first);
      const bool ReplicaGone = Target == nullptr || Target->State == MemberState::Dead;
      Item = ReplicaGone && Entry.second.Grants > 0 ? Unanswered.erase(Item) : std::next(Item);
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
    Claim Value = StoredClaims.at(Key).Value;
    erase(Key);
    if (Value.State != ClaimState::Running)
      continue;
    Value.State = ClaimState::Unknown;
    store(Key, Value, Now);
  }
  for (auto Item = ReleasedClaimants.begin(); Item != ReleasedClaimants.end();)
    Item = Item->second <= Now ? ReleasedClaimants.erase(Item) : std::next(Item);
}

// Sends claims to new replicas at a limited rate, so that a membership change can't exceed the
// control traffic budget of a node.
void KeyClaims::sendHandovers(TimePoint Now, std::vector<ClaimAction> &Actions) {
  while (!Handovers.empty() && NextHandover <= Now) {
    const Handover Planned = std::move(Handovers.front());
    Handovers.pop_front();
    const auto Stored = StoredClaims.find(Planned.Key);
    if (Stored == StoredClaims.end())
      continue;
    const json Message{{"t", "claims"},
                       {"e", json::array({toJson(Planned.Key, Stored->second.Value)})}};
    for (const Replica &Target : Planned.Targets)
      Actions.emplace_back(SendControl{Target.Control, Message});
    NextHandover = std::max(NextHandover, Now) + HandoverInterval;
  }
}

std::vector<ClaimAction> KeyClaims::onTimer(TimePoint Now) {
  std::vector<ClaimAction> Actions;
  expire(Now);
  std::vector<std::uint64_t> DueRequests;
  for (const auto &Entry : PendingClaims)
    if (Entry.second.NextSend <= Now || Entry.second.Deadline <= Now)
      DueRequests.push_back(Entry.first);
  for (const std::uint64_t Request : DueRequests)
    sendClaim(Request, Now, Actions);
  for (auto Item = PendingSettles.begin(); Item != PendingSettles.end();) {
    PendingSettle &Pending = Item->second;
    if (Pending.Deadline <= Now) {
      Item = PendingSettles.erase(Item);
      continue;
    }
    if (Pending.NextSend <= Now) {
      Pending.NextSend = Now + ClaimRetransmitInterval;
      for (const auto &Target : Pending.Unanswered)
        Actions.emplace_back(SendControl{Target.second.Control, Pending.Message});
    }
    ++Item;
  }
  sendHandovers(Now, Actions);
  return Actions;
}

void KeyClaims::sendClaim(std::uint64_t Request, TimePoint Now, std::vector<ClaimAction> &Actions) {
  PendingClaim &Pending = PendingClaims.at(Request);
  if (Pending.Deadline <= Now) {
    abandon(Request, Now, Actions);
    Actions.emplace_back(ClaimFailed{Request});
    return;
  }
  Pending.NextSend = Now + ClaimRetransmitInterval;
  if (Pending.Unanswered.count(SelfId) != 0) {
    if (const auto Holder = storeUnlessClaimed(Pending.Key, Pending.Value, Now)) {
      deny(Request, *Holder, Now, Actions);
      return;
    }
    Pending.Grants += Pending.Unanswered.erase(SelfId);
  }
  json Message = toJson(Pending.Key, Pending.Value);
  Message["t"] = "claim";
  Message["r"] = Request;
  for (const auto &Target : Pending.Unanswered)
    Actions.emplace_back(SendControl{Target.second.Control, Message});
  if (Pending.Unanswered.empty())
    grant(Request, Actions);
}

} // namespace galenarelay::request
