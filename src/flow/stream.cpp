#include "galenarelay/flow/stream.h"

#include <algorithm>

namespace galenarelay::flow {

using common::Duration;
using common::TimePoint;
using packet::MaxPayloadBytes;
using packet::Packet;

namespace {

constexpr std::uint32_t SegmentBytes = MaxPayloadBytes;
/// Initial congestion window (RFC 6928).
constexpr std::uint32_t InitialCongestionWindow = 10 * SegmentBytes;
/// The fabric sprays packets over balancers, so reordering is common and often looks like a loss.
/// The window after a presumed loss stays large enough to keep duplicate acknowledgements coming.
constexpr std::uint32_t MinCongestionWindow = 8 * SegmentBytes;
constexpr std::uint8_t FastRetransmitThreshold = 3;
/// Acknowledged bytes to erase from the front of the send buffer at once.
constexpr std::uint32_t CompactBytes = 64 * 1024;
/// Old acknowledgements that still fit: the most that can be in flight, twice for reordering.
constexpr std::uint32_t MaxAcknowledgementAge = 2 * Stream::MaxBufferedBytes;

/// Compares sequence numbers modulo 2^32 (RFC 9293, section 3.4).
bool before(std::uint32_t A, std::uint32_t B) noexcept {
  return static_cast<std::int32_t>(A - B) < 0;
}

/// Sequence numbers that a packet of an open stream takes.
std::uint32_t sequenceLength(const Packet &Sent) noexcept {
  return static_cast<std::uint32_t>(Sent.Payload.size()) + (Sent.Bits.Fin ? 1 : 0);
}

} // namespace

Stream Stream::connect(packet::FlowKey Key, std::uint32_t InitialSequence, TimePoint Now) {
  Stream Opened;
  Opened.Key = Key;
  Opened.InitialSend = InitialSequence;
  Opened.SendUnacked = InitialSequence;
  Opened.SendNext = InitialSequence + 1;
  Opened.SendMax = InitialSequence + 1;
  Opened.CongestionWindow = InitialCongestionWindow;
  Opened.SlowStartLimit = MaxBufferedBytes;
  Opened.SynDue = true;
  Opened.LastHeard = Now;
  Opened.WaitStart = Now;
  Opened.SampleStart = Now;
  Opened.SampleSequence = InitialSequence + 1;
  Opened.Sampling = true;
  Opened.TimerAt = Now + Opened.Timeout;
  return Opened;
}

Stream Stream::accept(const Packet &Syn, std::uint32_t InitialSequence, TimePoint Now) {
  Stream Opened = connect(Syn.Key, InitialSequence, Now);
  Opened.TowardsCaller = true;
  Opened.InitialReceive = Syn.Sequence;
  Opened.ReceiveNext = Syn.Sequence + 1;
  Opened.PeerWindow = Syn.Window * packet::WindowUnitBytes;
  return Opened;
}

Stream Stream::resume(const IdleStream &Moved, TimePoint Now) {
  Stream Resumed = connect(Moved.Key, Moved.InitialSend, Now);
  Resumed.State = StreamState::Established;
  Resumed.TowardsCaller = true;
  Resumed.SynDue = false;
  Resumed.Sampling = false;
  Resumed.SendUnacked = Moved.SendNext;
  Resumed.SendNext = Moved.SendNext;
  Resumed.SendMax = Moved.SendNext;
  Resumed.InitialReceive = Moved.InitialReceive;
  Resumed.ReceiveNext = Moved.ReceiveNext;
  Resumed.PeerWindow = Moved.PeerWindow;
  Resumed.LongLived = Moved.LongLived;
  Resumed.ReadBuffer = Moved.Unread;
  Resumed.AckDue = true;
  Resumed.restartTimer(Now);
  return Resumed;
}

StreamState Stream::state() const noexcept { return State; }

bool Stream::movable() const noexcept {
  return State == StreamState::Established && !FinQueued && !PeerFinKnown &&
         ReadBuffer.size() <= MaxMovedBytes;
}

std::optional<IdleStream> Stream::idle() const {
  // Segments that wait for an earlier one are dropped by the move; the caller retransmits them.
  if (!movable() || inFlight() > 0 || buffered() > 0)
    return std::nullopt;
  return IdleStream{Key,         InitialSend, SendNext,  InitialReceive,
                    ReceiveNext, PeerWindow,  LongLived, ReadBuffer};
}

bool Stream::sameOrigin(const IdleStream &Other) const noexcept {
  return InitialSend == Other.InitialSend && InitialReceive == Other.InitialReceive;
}

const packet::FlowKey &Stream::key() const noexcept { return Key; }

bool Stream::peerFinished() const noexcept { return PeerFinReceived && ReadBuffer.empty(); }

bool Stream::finished() const noexcept {
  return State == StreamState::Broken || (State == StreamState::Closed && Lingered);
}

bool Stream::fits(const packet::RouteView &Route) const noexcept {
  return fits(Route.Bits, Route.Sequence, Route.Acknowledgement);
}

bool Stream::fits(packet::Flags Bits, std::uint32_t Sequence,
                  std::uint32_t Acknowledgement) const noexcept {
  const bool AwaitsSynAck = State == StreamState::Opening && !TowardsCaller;
  if (Bits.Syn && !AwaitsSynAck)
    return Sequence == InitialReceive;
  if (Bits.Ack) {
    const std::uint32_t Oldest = inFlight() + MaxAcknowledgementAge;
    const std::uint32_t Age = LongLived ? Oldest : std::min(SendMax - (InitialSend + 1), Oldest);
    // Unsigned distance back from the newest number; numbers from the future wrap to large values.
    return SendMax - Acknowledgement <= Age;
  }
  return !AwaitsSynAck && Sequence - ReceiveNext + MaxBufferedBytes <= 2 * MaxBufferedBytes;
}

std::size_t Stream::writable() const noexcept {
  const bool Open = State == StreamState::Opening || State == StreamState::Established;
  return Open && !FinQueued ? MaxBufferedBytes - buffered() : 0;
}

std::size_t Stream::unacknowledged() const noexcept { return buffered(); }

std::size_t Stream::memoryBytes() const noexcept {
  std::size_t Total = SendBuffer.capacity() + ReadBuffer.capacity();
  Total += Reordered.capacity() * sizeof(Segment);
  for (const Segment &Waiting : Reordered)
    Total += Waiting.Bytes.capacity();
  return Total;
}

std::optional<TimePoint> Stream::nextTimer() const noexcept {
  if (finished())
    return std::nullopt;
  return RecoveryArmed ? std::min(TimerAt, RecoveryAt) : TimerAt;
}

std::uint32_t Stream::buffered() const noexcept {
  return static_cast<std::uint32_t>(SendBuffer.size()) - SendHead;
}

bool Stream::opened() const noexcept {
  return State == StreamState::Established || State == StreamState::Closing;
}

bool Stream::waitsForWindow() const noexcept {
  return opened() && PeerWindow == 0 && inFlight() == 0 && buffered() > 0;
}

std::uint32_t Stream::receiveWindow() const noexcept {
  return static_cast<std::uint32_t>(MaxBufferedBytes - ReadBuffer.size());
}

TimePoint Stream::quietSince() const noexcept { return std::max(LastHeard, WaitStart); }

void Stream::onPacket(const Packet &Received, TimePoint Now) {
  if (State == StreamState::Broken ||
      !fits(Received.Bits, Received.Sequence, Received.Acknowledgement))
    return;
  if (Received.Bits.Rst) {
    onReset(Received);
    return;
  }
  LastHeard = Now;
  Probing = false;
  if (Received.Bits.Syn) {
    onSynchronise(Received, Now);
    return;
  }
  if (State == StreamState::Opening && !TowardsCaller)
    return; // Data overtook the SYN-ACK; the service retransmits it.
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
  // The peer may have discarded the stream already; everything has arrived on both sides.
  if (State == StreamState::Closed)
    return;
  // A reset must be in the window (RFC 5961), so that an old one can't break a newer stream.
  const bool InWindow = Received.Sequence - ReceiveNext <= receiveWindow();
  const bool RefusesSyn = State == StreamState::Opening && !TowardsCaller && Received.Bits.Ack;
  if (RefusesSyn || InWindow)
    breakStream();
}

void Stream::onSynchronise(const Packet &Received, TimePoint Now) {
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
  const bool Reopened = PeerWindow == 0 && Window > 0;
  PeerWindow = Window;
  if (Reopened) {
    updateTimeout();
    restartTimer(Now);
  }
  if (Acknowledged > 0)
    onNewlyAcknowledged(Acknowledged, Now);
  else if (Duplicate)
    onDuplicateAcknowledgement(Now);
}

void Stream::onNewlyAcknowledged(std::uint32_t Acknowledged, TimePoint Now) {
  const std::uint32_t Newest = SendUnacked + Acknowledged;
  if (Sampling && !before(Newest, SampleSequence)) {
    sampleRoundTrip(Now - SampleStart);
    Sampling = false;
  } else {
    updateTimeout(); // Progress ends the exponential backoff.
  }
  discardAcknowledged(Acknowledged);
  DuplicateAcks = 0;
  RecoveryArmed = false;
  // An acknowledgement this early answers the original, which was late and not lost (the idea of
  // the Eifel detection, RFC 3522).
  if (Recovering && Now - RecoveryAt < SmoothedRoundTrip / 2) {
    Recovering = false;
    CongestionWindow = SlowStartLimit = WindowBeforeRecovery;
  }
  if (before(SendNext, SendUnacked))
    SendNext = SendUnacked;
  if (Recovering && before(Newest, RecoverUntil)) {
    RetransmitDue = true; // A partial acknowledgement shows the next hole (RFC 6582).
  } else {
    Recovering = false;
    const bool SlowStart = CongestionWindow < SlowStartLimit;
    const std::uint64_t Growth =
        SlowStart ? Acknowledged : std::uint64_t{SegmentBytes} * Acknowledged / CongestionWindow;
    CongestionWindow = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(CongestionWindow + Growth, MaxBufferedBytes));
  }
  WaitStart = Now;
  restartTimer(Now);
}

// Spraying over balancers reorders packets all the time, so that three duplicate acknowledgements
// alone prove no loss. As in RACK (RFC 8985) the late segment gets some time to arrive.
void Stream::onDuplicateAcknowledgement(TimePoint Now) noexcept {
  if (Recovering || RecoveryArmed || ++DuplicateAcks < FastRetransmitThreshold)
    return;
  RecoveryArmed = true;
  RecoveryAt = Now + reorderWindow();
}

Duration Stream::reorderWindow() const noexcept {
  return std::min(std::max(SmoothedRoundTrip / 4, 4 * RoundTripVariance), Timeout);
}

void Stream::startRecovery(TimePoint Now) noexcept {
  RecoveryArmed = false;
  DuplicateAcks = 0;
  Recovering = true;
  RecoveryAt = Now;
  WindowBeforeRecovery = CongestionWindow;
  RecoverUntil = SendMax;
  RetransmitDue = true;
  Sampling = false;
  SlowStartLimit = std::max(CongestionWindow / 2, MinCongestionWindow);
  CongestionWindow = SlowStartLimit;
}

void Stream::discardAcknowledged(std::uint32_t Count) {
  std::uint32_t Data = Count;
  if (SendUnacked == InitialSend && Data > 0)
    --Data; // The SYN takes one number.
  if (FinSent && Data > buffered())
    FinAcknowledged = true;
  SendHead += std::min(Data, buffered());
  SendUnacked += Count;
  if (SendUnacked - InitialSend > MaxAcknowledgementAge)
    LongLived = true;
  if (buffered() == 0) {
    std::vector<std::uint8_t>().swap(SendBuffer); // An idle stream holds no buffer.
    SendHead = 0;
  } else if (SendHead >= CompactBytes) {
    SendBuffer.erase(SendBuffer.begin(), SendBuffer.begin() + SendHead);
    SendHead = 0;
  }
}

void Stream::sampleRoundTrip(Duration Sample) noexcept {
  // RFC 6298, section 2.
  if (SmoothedRoundTrip == Duration::zero()) {
    SmoothedRoundTrip = std::max(Sample, Duration(1));
    RoundTripVariance = Sample / 2;
  } else {
    const Duration Error = std::chrono::abs(SmoothedRoundTrip - Sample);
    RoundTripVariance = (RoundTripVariance * 3 + Error) / 4;
    SmoothedRoundTrip = std::max((SmoothedRoundTrip * 7 + Sample) / 8, Duration(1));
  }
  updateTimeout();
}

void Stream::updateTimeout() noexcept {
  const bool Sampled = SmoothedRoundTrip > Duration::zero();
  Timeout = Sampled ? std::clamp(SmoothedRoundTrip + 4 * RoundTripVariance, MinTimeout, MaxTimeout)
                    : InitialTimeout;
}

void Stream::onPayload(const Packet &Received) {
  // A probe carries the number before the next one and expects an acknowledgement.
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
  drainReordered();
  if (PeerFinKnown && ReceiveNext == PeerFinSequence) {
    PeerFinReceived = true;
    ++ReceiveNext;
  }
}

void Stream::appendInOrder(std::uint32_t Sequence, std::span<const std::uint8_t> Bytes) {
  const std::uint32_t Known = ReceiveNext - Sequence;
  if (Known >= Bytes.size())
    return;
  const auto Fresh = Bytes.subspan(Known);
  ReadBuffer.insert(ReadBuffer.end(), Fresh.begin(), Fresh.end());
  ReceiveNext += static_cast<std::uint32_t>(Fresh.size());
}

void Stream::storeSegment(std::uint32_t Sequence, std::span<const std::uint8_t> Bytes) {
  if (Bytes.empty())
    return;
  const bool Room =
      Reordered.size() < MaxReorderedSegments && ReorderedBytes + Bytes.size() <= MaxBufferedBytes;
  const auto Later = std::find_if(Reordered.begin(), Reordered.end(), [&](const Segment &Other) {
    return !before(Other.Sequence, Sequence);
  });
  const bool Known = Later != Reordered.end() && Later->Sequence == Sequence &&
                     Later->Bytes.size() >= Bytes.size();
  if (!Room || Known)
    return;
  ReorderedBytes += static_cast<std::uint32_t>(Bytes.size());
  Reordered.insert(Later, Segment{Sequence, {Bytes.begin(), Bytes.end()}});
}

void Stream::drainReordered() {
  std::size_t Used = 0;
  while (Used < Reordered.size() && !before(ReceiveNext, Reordered[Used].Sequence)) {
    const Segment &Next = Reordered[Used++];
    ReorderedBytes -= static_cast<std::uint32_t>(Next.Bytes.size());
    appendInOrder(Next.Sequence, Next.Bytes);
  }
  Reordered.erase(Reordered.begin(), Reordered.begin() + static_cast<std::ptrdiff_t>(Used));
  if (Reordered.empty())
    std::vector<Segment>().swap(Reordered);
}

void Stream::onTimer(TimePoint Now) {
  if (RecoveryArmed && RecoveryAt <= Now)
    startRecovery(Now);
  if (finished() || Now < TimerAt)
    return;
  if (State == StreamState::Closed) {
    Lingered = true;
    return;
  }
  if (waitsForPeer()) {
    onTimeout(Now);
    return;
  }
  if (!Probing) {
    Probing = true;
    WaitStart = Now;
  } else if (Now - quietSince() >= DeadPeerTimeout) {
    reset();
    return;
  }
  ProbeDue = true;
  TimerAt = Now + ProbeRetryInterval;
}

void Stream::onTimeout(TimePoint Now) {
  if (Now - quietSince() >= DeadPeerTimeout) {
    // A stream that never opened may duplicate one that runs at another agent; it ends silently.
    if (State == StreamState::Opening)
      breakStream();
    else
      reset();
    return;
  }
  Timeout = std::min(Timeout * 2, MaxTimeout);
  TimerAt = Now + Timeout;
  Sampling = false;
  Recovering = false;
  RecoveryArmed = false;
  DuplicateAcks = 0;
  if (State == StreamState::Opening) {
    SynDue = true;
  } else if (inFlight() == 0) {
    ProbeDue = true; // Asks for the peer's window.
  } else {
    SlowStartLimit = std::max(CongestionWindow / 2, MinCongestionWindow);
    CongestionWindow = MinCongestionWindow;
    SendNext = SendUnacked;
    RetransmitDue = true; // At least one segment goes out, even into a closed window.
  }
}

std::size_t Stream::write(std::span<const std::uint8_t> Bytes) {
  const std::size_t Taken = std::min(Bytes.size(), writable());
  SendBuffer.insert(SendBuffer.end(), Bytes.begin(),
                    Bytes.begin() + static_cast<std::ptrdiff_t>(Taken));
  return Taken;
}

std::vector<std::uint8_t> Stream::read() {
  std::vector<std::uint8_t> Taken;
  Taken.swap(ReadBuffer);
  // A window update after half the buffer was read keeps the number of updates small.
  if (opened() && receiveWindow() >= AdvertisedWindow + MaxBufferedBytes / 2)
    AckDue = true;
  return Taken;
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
  std::vector<Segment>().swap(Reordered);
  ReorderedBytes = 0;
}

void Stream::closeIfDone(TimePoint Now) noexcept {
  if (State == StreamState::Closed || !FinAcknowledged || !PeerFinReceived)
    return;
  State = StreamState::Closed;
  TimerAt = Now + LingerTime;
}

bool Stream::waitsForPeer() const noexcept { return inFlight() > 0 || waitsForWindow(); }

void Stream::restartTimer(TimePoint Now) noexcept {
  Retransmitting = waitsForPeer();
  TimerAt = Now + (Retransmitting ? Timeout : KeepaliveInterval);
}

Packet Stream::makePacket(std::uint32_t Sequence) const {
  Packet Made;
  Made.Key = Key;
  Made.TowardsCaller = TowardsCaller;
  Made.Bits.Ack = true;
  Made.Sequence = Sequence;
  Made.Acknowledgement = ReceiveNext;
  Made.Window = receiveWindow() / packet::WindowUnitBytes;
  return Made;
}

Packet Stream::makeSegment(std::uint32_t Sequence, std::size_t Limit) {
  Packet Made = makePacket(Sequence);
  const std::uint32_t Offset = std::min(Sequence - SendUnacked, buffered());
  const std::size_t Size = std::min<std::size_t>({buffered() - Offset, SegmentBytes, Limit});
  const auto Start = SendBuffer.begin() + SendHead + Offset;
  Made.Payload.assign(Start, Start + static_cast<std::ptrdiff_t>(Size));
  if (FinQueued && !FinAcknowledged && Offset + Size == buffered()) {
    Made.Bits.Fin = true;
    FinSent = true;
    State = StreamState::Closing;
  }
  return Made;
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
    Output.push_back(makeSynchronise());
  if (opened()) {
    if (RetransmitDue && inFlight() > 0)
      retransmitFirst(Output);
    sendNew(Output, Now);
    if (waitsForPeer() && !Retransmitting) {
      WaitStart = Now;
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

Packet Stream::makeSynchronise() const {
  Packet Made = makePacket(InitialSend);
  Made.Bits = {.Syn = true, .Ack = TowardsCaller};
  return Made;
}

void Stream::retransmitFirst(std::vector<Packet> &Output) {
  // Only numbers that were in flight are known to be inside the peer's window.
  Output.push_back(makeSegment(SendUnacked, inFlight()));
  const std::uint32_t End = SendUnacked + sequenceLength(Output.back());
  if (before(SendNext, End))
    SendNext = End;
}

void Stream::sendNew(std::vector<Packet> &Output, TimePoint Now) {
  const std::uint32_t Allowed = std::min(PeerWindow, CongestionWindow);
  while (true) {
    const std::uint32_t Flying = SendNext - SendUnacked;
    const std::uint32_t Unsent = buffered() - std::min(Flying, buffered());
    const std::uint32_t Room = Allowed - std::min(Flying, Allowed);
    const bool DataDue = Unsent > 0 && Room > 0;
    const bool FinDue = FinQueued && !FinAcknowledged && Flying == buffered();
    if (!DataDue && !FinDue)
      return;
    Output.push_back(makeSegment(SendNext, Room));
    SendNext += sequenceLength(Output.back());
    if (!before(SendMax, SendNext))
      continue;
    SendMax = SendNext;
    if (!Sampling) {
      Sampling = true;
      SampleStart = Now;
      SampleSequence = SendNext;
    }
  }
}

} // namespace galenarelay::flow
