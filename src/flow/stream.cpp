#include "galenarelay/flow/stream.h"

#include <algorithm>

namespace galenarelay::flow {

using common::Duration;
using common::TimePoint;
using packet::MaxPayloadBytes;
using packet::Packet;

namespace {

/// Largest payload of a segment (the maximum segment size of TCP).
constexpr std::uint32_t MaxSegmentBytes = MaxPayloadBytes;
/// Initial congestion window (RFC 6928).
constexpr std::uint32_t InitialCongestionWindow = 10 * MaxSegmentBytes;
/// Lower bound of the congestion window. The fabric sprays packets over balancers, so reordering is
/// common and often looks like loss; after a presumed loss the window must stay large enough for
/// duplicate acknowledgements to keep arriving.
constexpr std::uint32_t MinCongestionWindow = 8 * MaxSegmentBytes;
constexpr std::uint8_t FastRetransmitThreshold = 3;
/// Acknowledged bytes stay at the front of the send buffer until there are this many, and are then
/// erased at once.
constexpr std::uint32_t CompactionThreshold = 64 * 1024;
/// How far a valid acknowledgement number may lie behind the oldest byte in flight: twice the most
/// that can be in flight, to allow for reordering.
constexpr std::uint32_t MaxAcknowledgementAge = 2 * Stream::MaxBufferedBytes;

/// True if A precedes B in sequence number order, modulo 2^32 (RFC 9293, section 3.4).
bool before(std::uint32_t A, std::uint32_t B) noexcept {
  return static_cast<std::int32_t>(A - B) < 0;
}

/// Sequence numbers that a packet of an open stream occupies: its payload and FIN.
std::uint32_t sequenceLength(const Packet &Sent) noexcept {
  return static_cast<std::uint32_t>(Sent.Payload.size()) + (Sent.Bits.Fin ? 1 : 0);
}

} // namespace

Stream Stream::connect(packet::FlowKey Key, std::uint32_t InitialSequence, TimePoint Now) {
  Stream Created;
  Created.Key = Key;
  Created.InitialSend = InitialSequence;
  Created.SendUnacked = InitialSequence;
  Created.SendNext = InitialSequence + 1;
  Created.SendMax = InitialSequence + 1;
  Created.CongestionWindow = InitialCongestionWindow;
  Created.SlowStartThreshold = MaxBufferedBytes;
  Created.SynDue = true;
  Created.LastReceivedAt = Now;
  Created.UnansweredSince = Now;
  Created.SampleStart = Now;
  Created.SampleSequence = InitialSequence + 1;
  Created.SamplingRoundTrip = true;
  Created.TimerAt = Now + Created.RetransmissionTimeout;
  return Created;
}

Stream Stream::accept(const Packet &Syn, std::uint32_t InitialSequence, TimePoint Now) {
  Stream Created = connect(Syn.Key, InitialSequence, Now);
  Created.TowardsCaller = true;
  Created.InitialReceive = Syn.Sequence;
  Created.ReceiveNext = Syn.Sequence + 1;
  Created.PeerWindow = Syn.Window * packet::WindowUnitBytes;
  return Created;
}

Stream Stream::resume(const IdleStream &Saved, TimePoint Now) {
  Stream Resumed = connect(Saved.Key, Saved.InitialSend, Now);
  Resumed.State = StreamState::Established;
  Resumed.TowardsCaller = true;
  Resumed.SynDue = false;
  Resumed.SamplingRoundTrip = false;
  Resumed.SendUnacked = Saved.SendNext;
  Resumed.SendNext = Saved.SendNext;
  Resumed.SendMax = Saved.SendNext;
  Resumed.InitialReceive = Saved.InitialReceive;
  Resumed.ReceiveNext = Saved.ReceiveNext;
  Resumed.PeerWindow = Saved.PeerWindow;
  Resumed.InitialSendOutOfRange = Saved.InitialSendOutOfRange;
  Resumed.ReadBuffer = Saved.Unread;
  Resumed.AckDue = true;
  Resumed.restartTimer(Now);
  return Resumed;
}

StreamState Stream::state() const noexcept { return State; }

bool Stream::movable() const noexcept {
  return State == StreamState::Established && !FinQueued && !PeerFinKnown &&
         ReadBuffer.size() <= MaxTransferredUnreadBytes;
}

std::optional<IdleStream> Stream::idleState() const {
  // The transfer drops out-of-order segments; the caller retransmits them.
  if (!movable() || inFlight() > 0 || sendBuffered() > 0)
    return std::nullopt;
  return IdleStream{Key,        InitialSend,           SendNext,  InitialReceive, ReceiveNext,
                    PeerWindow, InitialSendOutOfRange, ReadBuffer};
}

bool Stream::sameInitialSequenceNumbers(const IdleStream &Other) const noexcept {
  return InitialSend == Other.InitialSend && InitialReceive == Other.InitialReceive;
}

const packet::FlowKey &Stream::key() const noexcept { return Key; }

bool Stream::peerFinished() const noexcept { return PeerFinReceived && ReadBuffer.empty(); }

bool Stream::discardable() const noexcept {
  return State == StreamState::Broken || (State == StreamState::Closed && TimeWaitElapsed);
}

bool Stream::matches(const packet::RouteView &Route) const noexcept {
  return matches(Route.Bits, Route.Sequence, Route.Acknowledgement);
}

bool Stream::matches(packet::Flags Bits, std::uint32_t Sequence,
                     std::uint32_t Acknowledgement) const noexcept {
  const bool AwaitsSynAck = State == StreamState::Opening && !TowardsCaller;
  if (Bits.Syn && !AwaitsSynAck)
    return Sequence == InitialReceive;
  if (Bits.Ack) {
    const std::uint32_t AgeLimit = inFlight() + MaxAcknowledgementAge;
    const std::uint32_t MaxAge =
        InitialSendOutOfRange ? AgeLimit : std::min(SendMax - (InitialSend + 1), AgeLimit);
    // The unsigned distance behind SendMax; numbers beyond SendMax wrap to large values and fail.
    return SendMax - Acknowledgement <= MaxAge;
  }
  return !AwaitsSynAck && Sequence - ReceiveNext + MaxBufferedBytes <= 2 * MaxBufferedBytes;
}

std::size_t Stream::writable() const noexcept {
  const bool Open = State == StreamState::Opening || State == StreamState::Established;
  return Open && !FinQueued ? MaxBufferedBytes - sendBuffered() : 0;
}

std::size_t Stream::unacknowledged() const noexcept { return sendBuffered(); }

std::size_t Stream::memoryBytes() const noexcept {
  std::size_t Total = SendBuffer.capacity() + ReadBuffer.capacity();
  Total += OutOfOrder.capacity() * sizeof(Segment);
  for (const Segment &Stored : OutOfOrder)
    Total += Stored.Bytes.capacity();
  return Total;
}

std::optional<TimePoint> Stream::nextTimer() const noexcept {
  if (discardable())
    return std::nullopt;
  return RecoveryArmed ? std::min(TimerAt, RecoveryAt) : TimerAt;
}

std::uint32_t Stream::sendBuffered() const noexcept {
  return static_cast<std::uint32_t>(SendBuffer.size()) - SendHead;
}

bool Stream::isOpen() const noexcept {
  return State == StreamState::Established || State == StreamState::Closing;
}

bool Stream::waitsForWindow() const noexcept {
  return isOpen() && PeerWindow == 0 && inFlight() == 0 && sendBuffered() > 0;
}

std::uint32_t Stream::receiveWindow() const noexcept {
  return static_cast<std::uint32_t>(MaxBufferedBytes - ReadBuffer.size());
}

TimePoint Stream::peerSilentSince() const noexcept {
  return std::max(LastReceivedAt, UnansweredSince);
}

void Stream::onPacket(const Packet &Received, TimePoint Now) {
  if (State == StreamState::Broken ||
      !matches(Received.Bits, Received.Sequence, Received.Acknowledgement))
    return;
  if (Received.Bits.Rst) {
    onReset(Received);
    return;
  }
  LastReceivedAt = Now;
  Probing = false;
  if (Received.Bits.Syn) {
    onSyn(Received, Now);
    return;
  }
  if (State == StreamState::Opening && !TowardsCaller)
    return; // Data that overtook the SYN-ACK; the service retransmits it.
  if (!Received.Bits.Ack)
    return;
  if (State == StreamState::Opening)
    State = StreamState::Established;
  onAcknowledgement(Received, Now);
  onPayload(Received);
  closeIfDone(Now);
  if (State != StreamState::Closed && !waitsForPeer())
    restartTimer(Now);
}

void Stream::onReset(const Packet &Received) {
  // A closed stream ignores a RST: all data has arrived on both sides, and a peer that has
  // discarded the stream may answer with a RST.
  if (State == StreamState::Closed)
    return;
  // A RST must be in the receive window (RFC 5961), so that an old one can't break a newer stream.
  const bool InWindow = Received.Sequence - ReceiveNext <= receiveWindow();
  const bool RefusesSyn = State == StreamState::Opening && !TowardsCaller && Received.Bits.Ack;
  if (RefusesSyn || InWindow)
    breakStream();
}

void Stream::onSyn(const Packet &Received, TimePoint Now) {
  if (State != StreamState::Opening) {
    AckDue = true;
    return;
  }
  if (TowardsCaller) {
    SynDue = true;
    return;
  }
  if (!Received.Bits.Ack)
    return;
  InitialReceive = Received.Sequence;
  ReceiveNext = Received.Sequence + 1;
  State = StreamState::Established;
  AckDue = true;
  onAcknowledgement(Received, Now);
  if (!waitsForPeer())
    restartTimer(Now);
}

void Stream::onAcknowledgement(const Packet &Received, TimePoint Now) {
  if (!Received.Bits.Ack || before(Received.Acknowledgement, SendUnacked))
    return;
  const std::uint32_t Window = Received.Window * packet::WindowUnitBytes;
  const std::uint32_t Acknowledged = Received.Acknowledgement - SendUnacked;
  const bool Duplicate = Acknowledged == 0 && inFlight() > 0 && Window == PeerWindow &&
                         Received.Payload.empty() && !Received.Bits.Fin;
  const bool WindowReopened = PeerWindow == 0 && Window > 0;
  PeerWindow = Window;
  if (WindowReopened) {
    updateRetransmissionTimeout();
    restartTimer(Now);
  }
  if (Acknowledged > 0)
    onNewlyAcknowledged(Acknowledged, Now);
  else if (Duplicate)
    onDuplicateAcknowledgement(Now);
}

void Stream::onNewlyAcknowledged(std::uint32_t Acknowledged, TimePoint Now) {
  const std::uint32_t AckNumber = SendUnacked + Acknowledged;
  if (SamplingRoundTrip && !before(AckNumber, SampleSequence)) {
    sampleRoundTrip(Now - SampleStart);
    SamplingRoundTrip = false;
  } else {
    updateRetransmissionTimeout(); // New acknowledgements end the exponential backoff.
  }
  discardAcknowledged(Acknowledged);
  DuplicateAcks = 0;
  RecoveryArmed = false;
  // An acknowledgement this early answers the original segment, which was delayed and not lost. The
  // recovery was spurious and is undone, in the manner of Eifel detection (RFC 3522).
  if (Recovering && Now - RecoveryAt < SmoothedRoundTrip / 2) {
    Recovering = false;
    CongestionWindow = SlowStartThreshold = WindowBeforeRecovery;
  }
  if (before(SendNext, SendUnacked))
    SendNext = SendUnacked;
  if (Recovering && before(AckNumber, RecoveryPoint)) {
    RetransmitDue = true; // A partial acknowledgement reveals the next loss (RFC 6582).
  } else {
    Recovering = false;
    const bool SlowStart = CongestionWindow < SlowStartThreshold;
    const std::uint64_t WindowGrowth =
        SlowStart ? Acknowledged : std::uint64_t{MaxSegmentBytes} * Acknowledged / CongestionWindow;
    CongestionWindow = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(CongestionWindow + WindowGrowth, MaxBufferedBytes));
  }
  UnansweredSince = Now;
  restartTimer(Now);
}

// Packets sprayed over balancers are reordered all the time, so three duplicate acknowledgements
// alone do not prove a loss. As in RACK (RFC 8985), recovery waits for a reordering window, in
// which the late segment may still arrive.
void Stream::onDuplicateAcknowledgement(TimePoint Now) noexcept {
  if (Recovering || RecoveryArmed || ++DuplicateAcks < FastRetransmitThreshold)
    return;
  RecoveryArmed = true;
  RecoveryAt = Now + reorderWindow();
}

Duration Stream::reorderWindow() const noexcept {
  return std::min(std::max(SmoothedRoundTrip / 4, 4 * RoundTripVariance), RetransmissionTimeout);
}

void Stream::startRecovery(TimePoint Now) noexcept {
  RecoveryArmed = false;
  DuplicateAcks = 0;
  Recovering = true;
  RecoveryAt = Now;
  WindowBeforeRecovery = CongestionWindow;
  RecoveryPoint = SendMax;
  RetransmitDue = true;
  SamplingRoundTrip = false;
  SlowStartThreshold = std::max(CongestionWindow / 2, MinCongestionWindow);
  CongestionWindow = SlowStartThreshold;
}

void Stream::discardAcknowledged(std::uint32_t Count) {
  std::uint32_t DataBytes = Count;
  if (SendUnacked == InitialSend && DataBytes > 0)
    --DataBytes; // The SYN occupies one sequence number.
  if (FinSent && DataBytes > sendBuffered())
    FinAcknowledged = true;
  SendHead += std::min(DataBytes, sendBuffered());
  SendUnacked += Count;
  if (SendUnacked - InitialSend > MaxAcknowledgementAge)
    InitialSendOutOfRange = true;
  if (sendBuffered() == 0) {
    std::vector<std::uint8_t>().swap(SendBuffer); // An idle stream keeps no send buffer.
    SendHead = 0;
  } else if (SendHead >= CompactionThreshold) {
    SendBuffer.erase(SendBuffer.begin(), SendBuffer.begin() + SendHead);
    SendHead = 0;
  }
}

void Stream::sampleRoundTrip(Duration Sample) noexcept {
  // Round-trip estimator of RFC 6298, section 2.
  if (SmoothedRoundTrip == Duration::zero()) {
    SmoothedRoundTrip = std::max(Sample, Duration(1));
    RoundTripVariance = Sample / 2;
  } else {
    const Duration Deviation = std::chrono::abs(SmoothedRoundTrip - Sample);
    RoundTripVariance = (RoundTripVariance * 3 + Deviation) / 4;
    SmoothedRoundTrip = std::max((SmoothedRoundTrip * 7 + Sample) / 8, Duration(1));
  }
  updateRetransmissionTimeout();
}

void Stream::updateRetransmissionTimeout() noexcept {
  const bool Sampled = SmoothedRoundTrip > Duration::zero();
  RetransmissionTimeout = Sampled ? std::clamp(SmoothedRoundTrip + 4 * RoundTripVariance,
                                               MinRetransmissionTimeout, MaxRetransmissionTimeout)
                                  : InitialRetransmissionTimeout;
}

void Stream::onPayload(const Packet &Received) {
  // A probe carries the sequence number before ReceiveNext and requires an acknowledgement.
  if (!Received.Payload.empty() || Received.Bits.Fin || Received.Sequence == ReceiveNext - 1)
    AckDue = true;
  const std::uint32_t WindowEnd = ReceiveNext + receiveWindow();
  if (PeerFinReceived || before(WindowEnd, Received.Sequence))
    return;
  const auto Size =
      std::min(static_cast<std::uint32_t>(Received.Payload.size()), WindowEnd - Received.Sequence);
  const auto Bytes = std::span(Received.Payload).first(Size);
  const std::uint32_t End = Received.Sequence + Size;
  if (Received.Bits.Fin && Size == Received.Payload.size() && !before(End, ReceiveNext)) {
    PeerFinKnown = true;
    PeerFinSequence = End;
  }
  if (before(ReceiveNext, Received.Sequence))
    storeSegment(Received.Sequence, Bytes);
  else
    appendInOrder(Received.Sequence, Bytes);
  drainOutOfOrder();
  if (PeerFinKnown && ReceiveNext == PeerFinSequence) {
    PeerFinReceived = true;
    ++ReceiveNext;
  }
}

void Stream::appendInOrder(std::uint32_t Sequence, std::span<const std::uint8_t> Bytes) {
  const std::uint32_t AlreadyReceived = ReceiveNext - Sequence;
  if (AlreadyReceived >= Bytes.size())
    return;
  const auto NewBytes = Bytes.subspan(AlreadyReceived);
  ReadBuffer.insert(ReadBuffer.end(), NewBytes.begin(), NewBytes.end());
  ReceiveNext += static_cast<std::uint32_t>(NewBytes.size());
}

void Stream::storeSegment(std::uint32_t Sequence, std::span<const std::uint8_t> Bytes) {
  if (Bytes.empty())
    return;
  const bool HasRoom = OutOfOrder.size() < MaxOutOfOrderSegments &&
                       OutOfOrderBytes + Bytes.size() <= MaxBufferedBytes;
  const auto Position =
      std::find_if(OutOfOrder.begin(), OutOfOrder.end(),
                   [&](const Segment &Other) { return !before(Other.Sequence, Sequence); });
  const bool AlreadyStored = Position != OutOfOrder.end() && Position->Sequence == Sequence &&
                             Position->Bytes.size() >= Bytes.size();
  if (!HasRoom || AlreadyStored)
    return;
  OutOfOrderBytes += static_cast<std::uint32_t>(Bytes.size());
  OutOfOrder.insert(Position, Segment{Sequence, {Bytes.begin(), Bytes.end()}});
}

void Stream::drainOutOfOrder() {
  std::size_t Drained = 0;
  while (Drained < OutOfOrder.size() && !before(ReceiveNext, OutOfOrder[Drained].Sequence)) {
    const Segment &Next = OutOfOrder[Drained++];
    OutOfOrderBytes -= static_cast<std::uint32_t>(Next.Bytes.size());
    appendInOrder(Next.Sequence, Next.Bytes);
  }
  OutOfOrder.erase(OutOfOrder.begin(), OutOfOrder.begin() + static_cast<std::ptrdiff_t>(Drained));
  if (OutOfOrder.empty())
    std::vector<Segment>().swap(OutOfOrder);
}

void Stream::onTimer(TimePoint Now) {
  if (RecoveryArmed && RecoveryAt <= Now)
    startRecovery(Now);
  if (discardable() || Now < TimerAt)
    return;
  if (State == StreamState::Closed) {
    TimeWaitElapsed = true;
    return;
  }
  if (waitsForPeer()) {
    onRetransmissionTimeout(Now);
    return;
  }
  if (!Probing) {
    Probing = true;
    UnansweredSince = Now;
  } else if (Now - peerSilentSince() >= DeadPeerTimeout) {
    reset();
    return;
  }
  ProbeDue = true;
  TimerAt = Now + ProbeRetryInterval;
}

void Stream::onRetransmissionTimeout(TimePoint Now) {
  if (Now - peerSilentSince() >= DeadPeerTimeout) {
    // A stream that never opened may be a duplicate of one that another agent serves, so it ends
    // without a RST.
    if (State == StreamState::Opening)
      breakStream();
    else
      reset();
    return;
  }
  RetransmissionTimeout = std::min(RetransmissionTimeout * 2, MaxRetransmissionTimeout);
  TimerAt = Now + RetransmissionTimeout;
  SamplingRoundTrip = false;
  Recovering = false;
  RecoveryArmed = false;
  DuplicateAcks = 0;
  if (State == StreamState::Opening) {
    SynDue = true;
  } else if (inFlight() == 0) {
    ProbeDue = true; // A window probe.
  } else {
    SlowStartThreshold = std::max(CongestionWindow / 2, MinCongestionWindow);
    CongestionWindow = MinCongestionWindow;
    SendNext = SendUnacked;
    RetransmitDue = true; // Sends at least one segment, even into a zero window.
  }
}

std::size_t Stream::write(std::span<const std::uint8_t> Bytes) {
  const std::size_t Accepted = std::min(Bytes.size(), writable());
  SendBuffer.insert(SendBuffer.end(), Bytes.begin(),
                    Bytes.begin() + static_cast<std::ptrdiff_t>(Accepted));
  return Accepted;
}

std::vector<std::uint8_t> Stream::read() {
  std::vector<std::uint8_t> Unread;
  Unread.swap(ReadBuffer);
  // Sends a window update only after half the buffer was read, to keep the number of updates small.
  if (isOpen() && receiveWindow() >= AdvertisedWindow + MaxBufferedBytes / 2)
    AckDue = true;
  return Unread;
}

void Stream::finish() {
  if (State != StreamState::Broken && State != StreamState::Closed)
    FinQueued = true;
}

void Stream::reset() {
  if (State == StreamState::Broken || State == StreamState::Closed)
    return;
  breakStream();
  ResetDue = true;
}

void Stream::breakStream() noexcept {
  State = StreamState::Broken;
  AckDue = SynDue = RetransmitDue = ProbeDue = RecoveryArmed = false;
  std::vector<std::uint8_t>().swap(SendBuffer);
  SendHead = 0;
  std::vector<Segment>().swap(OutOfOrder);
  OutOfOrderBytes = 0;
}

void Stream::closeIfDone(TimePoint Now) noexcept {
  if (State == StreamState::Closed || !FinAcknowledged || !PeerFinReceived)
    return;
  State = StreamState::Closed;
  TimerAt = Now + TimeWaitDuration;
}

bool Stream::waitsForPeer() const noexcept { return inFlight() > 0 || waitsForWindow(); }

void Stream::restartTimer(TimePoint Now) noexcept {
  RetransmissionTimerRunning = waitsForPeer();
  TimerAt = Now + (RetransmissionTimerRunning ? RetransmissionTimeout : KeepaliveInterval);
}

Packet Stream::makePacket(std::uint32_t Sequence) const {
  Packet Outgoing;
  Outgoing.Key = Key;
  Outgoing.TowardsCaller = TowardsCaller;
  Outgoing.Bits.Ack = true;
  Outgoing.Sequence = Sequence;
  Outgoing.Acknowledgement = ReceiveNext;
  Outgoing.Window = receiveWindow() / packet::WindowUnitBytes;
  return Outgoing;
}

Packet Stream::makeSegment(std::uint32_t Sequence, std::size_t Limit) {
  Packet Outgoing = makePacket(Sequence);
  const std::uint32_t Offset = std::min(Sequence - SendUnacked, sendBuffered());
  const std::size_t Size = std::min<std::size_t>({sendBuffered() - Offset, MaxSegmentBytes, Limit});
  const auto Start = SendBuffer.begin() + SendHead + Offset;
  Outgoing.Payload.assign(Start, Start + static_cast<std::ptrdiff_t>(Size));
  if (FinQueued && !FinAcknowledged && Offset + Size == sendBuffered()) {
    Outgoing.Bits.Fin = true;
    FinSent = true;
    State = StreamState::Closing;
  }
  return Outgoing;
}

std::vector<Packet> Stream::takeOutput(TimePoint Now) {
  std::vector<Packet> Output;
  if (ResetDue) {
    ResetDue = false;
    Output.push_back(makePacket(SendMax));
    Output.back().Bits.Rst = true;
    return Output;
  }
  if (SynDue)
    Output.push_back(makeSyn());
  if (isOpen()) {
    if (RetransmitDue && inFlight() > 0)
      retransmitFirstUnacknowledged(Output);
    sendNewData(Output, Now);
    if (waitsForPeer() && !RetransmissionTimerRunning) {
      UnansweredSince = Now;
      restartTimer(Now);
    }
  }
  if (ProbeDue)
    Output.push_back(makePacket(SendNext - 1));
  if (AckDue && Output.empty())
    Output.push_back(makePacket(SendNext));
  AckDue = SynDue = RetransmitDue = ProbeDue = false;
  AdvertisedWindow = receiveWindow();
  return Output;
}

Packet Stream::makeSyn() const {
  Packet Syn = makePacket(InitialSend);
  Syn.Bits = {.Syn = true, .Ack = TowardsCaller};
  return Syn;
}

void Stream::retransmitFirstUnacknowledged(std::vector<Packet> &Output) {
  // Only sequence numbers already in flight are known to be in the peer's window.
  Output.push_back(makeSegment(SendUnacked, inFlight()));
  const std::uint32_t End = SendUnacked + sequenceLength(Output.back());
  if (before(SendNext, End))
    SendNext = End;
}

void Stream::sendNewData(std::vector<Packet> &Output, TimePoint Now) {
  const std::uint32_t SendWindow = std::min(PeerWindow, CongestionWindow);
  while (true) {
    const std::uint32_t Outstanding = SendNext - SendUnacked;
    const std::uint32_t Unsent = sendBuffered() - std::min(Outstanding, sendBuffered());
    const std::uint32_t WindowLeft = SendWindow - std::min(Outstanding, SendWindow);
    const bool DataDue = Unsent > 0 && WindowLeft > 0;
    const bool FinDue = FinQueued && !FinAcknowledged && Outstanding == sendBuffered();
    if (!DataDue && !FinDue)
      return;
    Output.push_back(makeSegment(SendNext, WindowLeft));
    SendNext += sequenceLength(Output.back());
    if (!before(SendMax, SendNext))
      continue;
    SendMax = SendNext;
    if (!SamplingRoundTrip) {
      SamplingRoundTrip = true;
      SampleStart = Now;
      SampleSequence = SendNext;
    }
  }
}

} // namespace galenarelay::flow
