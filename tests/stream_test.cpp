#include "galenarelay/common/random.h"
#include "galenarelay/flow/stream.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace galenarelay::tests {

using namespace std::chrono_literals;
using common::Duration;
using common::TimePoint;
using flow::Stream;
using flow::StreamState;
using packet::Packet;
using Bytes = std::vector<std::uint8_t>;

namespace {

const packet::FlowKey Key{{0x0a000009, 4000}, {0x0a010001, 80}};

struct Faults {
  double Loss = 0;
  double Duplicate = 0;
  Duration Jitter = 0us;
};

Bytes randomBytes(common::Engine &Random, std::size_t Size) {
  Bytes RandomBytes(Size);
  for (std::uint8_t &Byte : RandomBytes)
    Byte = static_cast<std::uint8_t>(Random());
  return RandomBytes;
}

/// One end of a connection: its stream, the data that its program has to write and what it has
/// read.
struct StreamEnd {
  Stream ByteStream;
  Bytes ToWrite;
  std::size_t Written = 0;
  Bytes Received;
  bool Reads = true;
  bool Finishes = true;

  void runProgram() {
    Written += ByteStream.write(std::span(ToWrite).subspan(Written));
    if (Finishes && Written == ToWrite.size())
      ByteStream.finish();
    if (!Reads)
      return;
    const Bytes Part = ByteStream.read();
    Received.insert(Received.end(), Part.begin(), Part.end());
  }
};

/// Caller and service connected by a simulated network that loses, duplicates and reorders
/// serialized packets.
class SimulatedConnection {
public:
  SimulatedConnection(std::uint64_t Seed, Faults InjectedFaults,
                      std::uint32_t InitialSequence = 0xfffffe00)
      : Random(Seed),
        InjectedFaults(InjectedFaults), Caller{Stream::connect(Key, InitialSequence, Now),
                                               {},
                                               0,
                                               {}} {}

  void write(std::size_t FromCaller, std::size_t FromService) {
    Caller.ToWrite = randomBytes(Random, FromCaller);
    ServiceBytes = randomBytes(Random, FromService);
  }

  /// Simulates until Done returns true or Limit has passed; returns whether Done was reached.
  template <typename F> bool runUntil(F &&Done, Duration Limit) {
    const TimePoint Stop = Now + Limit;
    while (true) {
      runPrograms();
      if (Done())
        return true;
      const TimePoint Next = nextEvent();
      if (Next > Stop) {
        Now = Stop;
        return false;
      }
      Now = std::max(Now, Next);
      processDueEvents();
    }
  }

  bool runUntilClosed(Duration Limit) {
    return runUntil(
        [&] {
          return Service && Caller.ByteStream.state() == StreamState::Closed &&
                 Service->ByteStream.state() == StreamState::Closed;
        },
        Limit);
  }

  common::Engine Random;
  Faults InjectedFaults;
  TimePoint Now{};
  StreamEnd Caller;
  std::optional<StreamEnd> Service;
  Bytes ServiceBytes;
  bool ServiceReads = true;
  bool ServiceFinishes = true;
  std::size_t Sent = 0;

private:
  void runPrograms() {
    Caller.runProgram();
    send(Caller.ByteStream);
    if (!Service)
      return;
    Service->runProgram();
    send(Service->ByteStream);
  }

  void send(Stream &From) {
    for (const Packet &Outgoing : From.takeOutput(Now)) {
      ++Sent;
      const int Copies = common::uniformUnit(Random) < InjectedFaults.Duplicate ? 2 : 1;
      for (int I = 0; I < Copies; ++I) {
        const auto Jitter =
            Duration(common::uniformBelow(Random, InjectedFaults.Jitter.count() + 1));
        if (common::uniformUnit(Random) >= InjectedFaults.Loss)
          InTransit.emplace(Now + 1ms + Jitter, packet::serialize(Outgoing));
      }
    }
  }

  [[nodiscard]] TimePoint nextEvent() const {
    TimePoint Next = TimePoint::max();
    if (!InTransit.empty())
      Next = InTransit.begin()->first;
    Next = std::min(Next, Caller.ByteStream.nextTimer().value_or(TimePoint::max()));
    if (Service)
      Next = std::min(Next, Service->ByteStream.nextTimer().value_or(TimePoint::max()));
    return Next;
  }

  void processDueEvents() {
    while (!InTransit.empty() && InTransit.begin()->first <= Now) {
      const Bytes Raw = InTransit.begin()->second;
      InTransit.erase(InTransit.begin());
      deliver(Raw);
    }
    Caller.ByteStream.onTimer(Now);
    if (Service)
      Service->ByteStream.onTimer(Now);
  }

  void deliver(const Bytes &Raw) {
    if (packet::readRoute(Raw)->Key != Key) {
      const auto Parsed = common::capture([&] { return packet::parseFromService(Raw); });
      Caller.ByteStream.onPacket(*Parsed, Now);
      return;
    }
    const auto Parsed = common::capture([&] { return packet::parseFromCaller(Raw); });
    if (!Service && Parsed->Bits.Syn)
      Service = StreamEnd{Stream::accept(*Parsed, 0xffffff00, Now),
                          ServiceBytes,
                          0,
                          {},
                          ServiceReads,
                          ServiceFinishes};
    else if (Service)
      Service->ByteStream.onPacket(*Parsed, Now);
  }

  std::multimap<TimePoint, Bytes> InTransit;
};

packet::RouteView routeView(packet::Flags Bits, std::uint32_t Sequence, std::uint32_t Ack) {
  return {Key, Bits, packet::InitialTtl, Ack, Sequence};
}

Packet callerPacket(packet::Flags Bits, std::uint32_t Sequence, std::uint32_t Ack) {
  Packet Outgoing;
  Outgoing.Key = Key;
  Outgoing.Bits = Bits;
  Outgoing.Sequence = Sequence;
  Outgoing.Acknowledgement = Ack;
  Outgoing.Window = 4096;
  return Outgoing;
}

} // namespace

class StreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamTest);
  CPPUNIT_TEST(testTransfer_faultyNetwork_bothSidesGetAllBytesInOrder);
  CPPUNIT_TEST(testTransfer_reorderedWithoutLoss_repeatsFewPackets);
  CPPUNIT_TEST(testHalfClose_callerFinished_serviceStillSends);
  CPPUNIT_TEST(testIdle_hours_staysOpenWithoutBuffers);
  CPPUNIT_TEST(testPeer_silentAfterWrite_breaksAfterSixtySeconds);
  CPPUNIT_TEST(testPeer_silentWhileIdle_breaksAfterProbes);
  CPPUNIT_TEST(testWindow_readerStops_buffersStayBoundedAndTransferResumes);
  CPPUNIT_TEST(testFits_numbersOfAnotherOwner_areRefused);
  CPPUNIT_TEST(testSyn_duplicate_resendsSynAck);
  CPPUNIT_TEST(testReset_insideWindow_breaksPeer);
  CPPUNIT_TEST(testFin_acknowledgementLost_isAnsweredDuringTimeWait);
  CPPUNIT_TEST(testFeed_beyondAllSequenceNumbers_continues);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against lost, repeated or reordered bytes, also when sequence numbers wrap around.
  void testTransfer_faultyNetwork_bothSidesGetAllBytesInOrder() {
    const Faults FaultCases[] = {{0, 0, 0us}, {0.05, 0, 0us},  {0, 0.2, 0us},
                                 {0, 0, 5ms}, {0.1, 0.1, 5ms}, {0.3, 0.1, 20ms}};
    for (const Faults &InjectedFaults : FaultCases) {
      for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
        SimulatedConnection Network(Seed, InjectedFaults);
        Network.write(common::uniformBelow(Network.Random, 400'000),
                      common::uniformBelow(Network.Random, 400'000));
        const std::string CaseText = "loss " + std::to_string(InjectedFaults.Loss) + " duplicate " +
                                     std::to_string(InjectedFaults.Duplicate) + " jitter us " +
                                     std::to_string(InjectedFaults.Jitter.count()) + " seed " +
                                     std::to_string(Seed);
        CPPUNIT_ASSERT_MESSAGE(CaseText, Network.runUntilClosed(20min));
        CPPUNIT_ASSERT_MESSAGE(CaseText, Network.Service->Received == Network.Caller.ToWrite);
        CPPUNIT_ASSERT_MESSAGE(CaseText, Network.Caller.Received == Network.ServiceBytes);
      }
    }
  }

  // Guards against mistaking reordering by a packet-spraying fabric for loss: two of five segments
  // were retransmitted and the congestion window stayed at its minimum.
  void testTransfer_reorderedWithoutLoss_repeatsFewPackets() {
    constexpr std::size_t Segments = 2000;
    for (const Duration Jitter : {2ms, 10ms}) {
      SimulatedConnection Network(1, {0, 0, Jitter});
      Network.write(Segments * packet::MaxPayloadBytes, 0);
      CPPUNIT_ASSERT(Network.runUntilClosed(60s));
      // Each segment causes at most one acknowledgement; a tenth more allows for retransmissions.
      CPPUNIT_ASSERT(Network.Sent < 2 * Segments + Segments / 10);
    }
  }

  // Guards against a response that is cut off because the caller has sent FIN after its request.
  void testHalfClose_callerFinished_serviceStillSends() {
    SimulatedConnection Network(1, {});
    Network.write(10, 1'000'000);
    const auto Finished = [&] {
      return Network.Service && Network.Service->ByteStream.peerFinished();
    };
    CPPUNIT_ASSERT(Network.runUntil(Finished, 10s));
    CPPUNIT_ASSERT(Network.Caller.Received.size() < Network.ServiceBytes.size());
    CPPUNIT_ASSERT(Network.runUntilClosed(60s));
    CPPUNIT_ASSERT(Network.Caller.Received == Network.ServiceBytes);
  }

  // Guards against an idle stream that breaks or holds buffer memory when nothing is sent for
  // hours.
  void testIdle_hours_staysOpenWithoutBuffers() {
    SimulatedConnection Network(1, {});
    establish(Network);
    Network.runUntil([] { return false; }, 3h);
    CPPUNIT_ASSERT(Network.Caller.ByteStream.state() == StreamState::Established);
    CPPUNIT_ASSERT(Network.Service->ByteStream.state() == StreamState::Established);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Network.Service->ByteStream.memoryBytes());
    // One probe and one answer per keepalive interval, and the handshake.
    CPPUNIT_ASSERT(Network.Sent <= 2 * (3h / Stream::KeepaliveInterval) + 4);
  }

  // Guards against breaking the stream too early while a reroute makes the peer unreachable, and
  // against never breaking it.
  void testPeer_silentAfterWrite_breaksAfterSixtySeconds() {
    SimulatedConnection Network(1, {});
    establish(Network);
    Network.InjectedFaults.Loss = 1;
    const Bytes Data(10);
    Network.Caller.ByteStream.write(Data);
    const TimePoint Start = Network.Now;
    const auto Broken = [&] { return Network.Caller.ByteStream.state() == StreamState::Broken; };
    CPPUNIT_ASSERT(!Network.runUntil(Broken, Stream::DeadPeerTimeout - 1ms));
    CPPUNIT_ASSERT(Network.runUntil(Broken, Stream::MaxRetransmissionTimeout + 1ms));
    CPPUNIT_ASSERT(Network.Now - Start >= Stream::DeadPeerTimeout);
  }

  // Guards against flows of vanished callers that stay in the agent's table forever.
  void testPeer_silentWhileIdle_breaksAfterProbes() {
    SimulatedConnection Network(1, {});
    establish(Network);
    Network.InjectedFaults.Loss = 1;
    const auto Broken = [&] { return Network.Service->ByteStream.state() == StreamState::Broken; };
    const Duration Earliest = Stream::KeepaliveInterval + Stream::DeadPeerTimeout;
    CPPUNIT_ASSERT(!Network.runUntil(Broken, Earliest - 1s));
    CPPUNIT_ASSERT(Network.runUntil(Broken, Stream::ProbeRetryInterval + 1s));
  }

  // Guards against unbounded buffering when the receiver stops reading, and against a transfer that
  // hangs when the window update is lost.
  void testWindow_readerStops_buffersStayBoundedAndTransferResumes() {
    SimulatedConnection Network(1, {0.2, 0, 2ms});
    Network.write(2'000'000, 0);
    Network.ServiceReads = false;
    CPPUNIT_ASSERT(!Network.runUntilClosed(5min));
    CPPUNIT_ASSERT(Network.Caller.ByteStream.state() == StreamState::Established);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Network.Caller.ByteStream.writable());
    CPPUNIT_ASSERT(Network.Service->ByteStream.memoryBytes() <= 2 * Stream::MaxBufferedBytes);
    // Keepalive probes of the service carry the window as well, so none may be due soon.
    const auto ProbeIsFar = [&] {
      return Network.Service->ByteStream.nextTimer() > Network.Now + 20s;
    };
    CPPUNIT_ASSERT(Network.runUntil(ProbeIsFar, 2 * Stream::KeepaliveInterval));
    Network.Service->Reads = true;
    Network.InjectedFaults.Loss = 1;
    CPPUNIT_ASSERT(!Network.runUntilClosed(10ms));
    Network.InjectedFaults.Loss = 0;
    const auto Resumed = [&, Before = Network.Service->Received.size()] {
      return Network.Service->Received.size() > Before;
    };
    CPPUNIT_ASSERT(Network.runUntil(Resumed, Stream::MaxRetransmissionTimeout + 100ms));
    CPPUNIT_ASSERT(Network.runUntilClosed(5min));
    CPPUNIT_ASSERT(Network.Service->Received == Network.Caller.ToWrite);
  }

  // Guards against passing bytes of a flow that another agent owns to this agent's upstream.
  void testFits_numbersOfAnotherOwner_areRefused() {
    const std::uint32_t Isn = 0xfffffff0;
    Stream Service = Stream::accept(callerPacket({.Syn = true}, 100, 0), Isn, {});
    CPPUNIT_ASSERT(Service.matches(routeView({.Syn = true}, 100, 0)));
    CPPUNIT_ASSERT(!Service.matches(routeView({.Syn = true}, 101, 0)));
    CPPUNIT_ASSERT(Service.matches(routeView({.Ack = true}, 101, Isn + 1)));
    for (const std::uint32_t Ack : {Isn, Isn + 2, Isn + 1000, Isn - 1000, 0U})
      CPPUNIT_ASSERT(!Service.matches(routeView({.Ack = true}, 101, Ack)));
    Service.onPacket(callerPacket({.Ack = true}, 101, Isn + 2), {});
    CPPUNIT_ASSERT(Service.state() == StreamState::Opening);
    Service.onPacket(callerPacket({.Ack = true}, 101, Isn + 1), {});
    CPPUNIT_ASSERT(Service.state() == StreamState::Established);
    const Bytes Data(100);
    Service.write(Data);
    (void)Service.takeOutput({});
    CPPUNIT_ASSERT(Service.matches(routeView({.Ack = true}, 101, Isn + 101)));
    CPPUNIT_ASSERT(Service.matches(routeView({.Ack = true}, 101, Isn + 1)));
    CPPUNIT_ASSERT(!Service.matches(routeView({.Ack = true}, 101, Isn + 102)));
    CPPUNIT_ASSERT(!Service.matches(routeView({.Ack = true}, 101, Isn)));
    CPPUNIT_ASSERT(Service.matches(routeView({.Rst = true}, 101, 0)));
    CPPUNIT_ASSERT(!Service.matches(routeView({.Rst = true}, 101 + 0x40000000, 0)));
  }

  // Guards against a caller that never connects because the SYN-ACK was lost.
  void testSyn_duplicate_resendsSynAck() {
    const Packet Syn = callerPacket({.Syn = true}, 100, 0);
    Stream Service = Stream::accept(Syn, 500, {});
    const auto First = Service.takeOutput({});
    CPPUNIT_ASSERT(Service.takeOutput({}).empty());
    Service.onPacket(Syn, {});
    CPPUNIT_ASSERT(Service.takeOutput({}) == First);
    CPPUNIT_ASSERT(First.at(0).Bits == (packet::Flags{.Syn = true, .Ack = true}));
  }

  // Guards against a reset by one side that the other side ignores, and against accepting a forged
  // RST outside the window.
  void testReset_insideWindow_breaksPeer() {
    SimulatedConnection Network(1, {});
    establish(Network);
    const Packet Forged = callerPacket({.Ack = true, .Rst = true}, 0x40000000, 0xffffff01);
    Network.Service->ByteStream.onPacket(Forged, Network.Now);
    CPPUNIT_ASSERT(Network.Service->ByteStream.state() == StreamState::Established);
    Network.Caller.ByteStream.reset();
    const auto Broken = [&] { return Network.Service->ByteStream.state() == StreamState::Broken; };
    CPPUNIT_ASSERT(Network.runUntil(Broken, 1s));
    CPPUNIT_ASSERT(Network.Caller.ByteStream.discardable() &&
                   Network.Service->ByteStream.discardable());
  }

  // Guards against a completed transfer that ends in a reset because the final acknowledgement was
  // lost.
  void testFin_acknowledgementLost_isAnsweredDuringTimeWait() {
    SimulatedConnection Network(1, {});
    Network.write(10, 10);
    CPPUNIT_ASSERT(Network.runUntilClosed(10s));
    CPPUNIT_ASSERT(!Network.Service->ByteStream.discardable());
    const Packet Fin = callerPacket({.Ack = true, .Fin = true}, 0xfffffe00 + 11, 0xffffff00 + 12);
    Network.Service->ByteStream.onPacket(Fin, Network.Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Network.Service->ByteStream.takeOutput(Network.Now).size());
    // An agent that no longer has the flow may answer a retransmitted FIN with a RST.
    Network.Service->ByteStream.onPacket(
        callerPacket({.Ack = true, .Rst = true}, 0xfffffe00 + 12, 0xffffff00 + 12), Network.Now);
    CPPUNIT_ASSERT(Network.Service->ByteStream.state() == StreamState::Closed);
    const auto Finished = [&] { return Network.Service->ByteStream.discardable(); };
    CPPUNIT_ASSERT(Network.runUntil(Finished, Stream::TimeWaitDuration + 1s));
  }

  // Guards against a transfer that stalls when its sequence numbers wrap around after 2^32 bytes.
  void testFeed_beyondAllSequenceNumbers_continues() {
    Stream Caller = Stream::connect(Key, 1, {});
    Stream Service = Stream::accept(Caller.takeOutput({}).at(0), 7, {});
    const Bytes Data(Stream::MaxBufferedBytes);
    std::uint64_t Read = 0;
    for (int IdleRounds = 0; Read < (1ULL << 32) + 4 * Data.size() && IdleRounds < 100;
         ++IdleRounds) {
      Service.write(Data);
      const auto Sent = Service.takeOutput({});
      // A delayed older acknowledgement number is still accepted, anywhere in the sequence space.
      if (!Sent.empty() && Read > 0)
        CPPUNIT_ASSERT(Service.matches(routeView({.Ack = true}, 2, Sent.front().Sequence)));
      for (const Packet &Outgoing : Sent)
        Caller.onPacket(Outgoing, {});
      const std::size_t Size = Caller.read().size();
      Read += Size;
      for (const Packet &Outgoing : Caller.takeOutput({}))
        Service.onPacket(Outgoing, {});
      IdleRounds = Size > 0 ? 0 : IdleRounds;
    }
    CPPUNIT_ASSERT(Read > (1ULL << 32) + Data.size());
  }

private:
  /// Establishes the connection and keeps it open: neither program writes or finishes.
  static void establish(SimulatedConnection &Network) {
    Network.Caller.Finishes = Network.ServiceFinishes = false;
    const auto Open = [&] {
      return Network.Service && Network.Service->ByteStream.state() == StreamState::Established;
    };
    CPPUNIT_ASSERT(Network.runUntil(Open, 10s));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamTest);

} // namespace galenarelay::tests
