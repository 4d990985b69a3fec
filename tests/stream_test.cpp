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
  Bytes Made(Size);
  for (std::uint8_t &Byte : Made)
    Byte = static_cast<std::uint8_t>(Random());
  return Made;
}

/// One end with what its program has still to write and what it has read.
struct End {
  Stream S;
  Bytes ToWrite;
  std::size_t Written = 0;
  Bytes Received;
  bool Reads = true;
  bool Finishes = true;

  void runProgram() {
    Written += S.write(std::span(ToWrite).subspan(Written));
    if (Finishes && Written == ToWrite.size())
      S.finish();
    if (!Reads)
      return;
    const Bytes Part = S.read();
    Received.insert(Received.end(), Part.begin(), Part.end());
  }
};

/// Two ends on a simulated network that loses, duplicates and reorders serialized packets.
class Pair {
public:
  Pair(std::uint64_t Seed, Faults Rules, std::uint32_t InitialSequence = 0xfffffe00)
      : Random(Seed), Rules(Rules), Caller{Stream::connect(Key, InitialSequence, Now), {}, 0, {}} {}

  void write(std::size_t FromCaller, std::size_t FromService) {
    Caller.ToWrite = randomBytes(Random, FromCaller);
    ServiceBytes = randomBytes(Random, FromService);
  }

  /// Runs until the condition holds or the time has passed; returns whether it holds.
  template <typename F> bool runUntil(F &&Done, Duration Limit) {
    const TimePoint Stop = Now + Limit;
    while (true) {
      pump();
      if (Done())
        return true;
      const TimePoint Next = nextEvent();
      if (Next > Stop) {
        Now = Stop;
        return false;
      }
      Now = std::max(Now, Next);
      step();
    }
  }

  bool runUntilClosed(Duration Limit) {
    return runUntil(
        [&] {
          return Service && Caller.S.state() == StreamState::Closed &&
                 Service->S.state() == StreamState::Closed;
        },
        Limit);
  }

  common::Engine Random;
  Faults Rules;
  TimePoint Now{};
  End Caller;
  std::optional<End> Service;
  Bytes ServiceBytes;
  bool ServiceReads = true;
  bool Finish = true;
  std::size_t Sent = 0;

private:
  void pump() {
    Caller.runProgram();
    send(Caller.S);
    if (!Service)
      return;
    Service->runProgram();
    send(Service->S);
  }

  void send(Stream &From) {
    for (const Packet &Each : From.takeOutput(Now)) {
      ++Sent;
      const int Copies = common::uniformUnit(Random) < Rules.Duplicate ? 2 : 1;
      for (int I = 0; I < Copies; ++I) {
        const auto Jitter = Duration(common::uniformBelow(Random, Rules.Jitter.count() + 1));
        if (common::uniformUnit(Random) >= Rules.Loss)
          Flying.emplace(Now + 1ms + Jitter, packet::serialize(Each));
      }
    }
  }

  [[nodiscard]] TimePoint nextEvent() const {
    TimePoint Next = TimePoint::max();
    if (!Flying.empty())
      Next = Flying.begin()->first;
    Next = std::min(Next, Caller.S.nextTimer().value_or(TimePoint::max()));
    if (Service)
      Next = std::min(Next, Service->S.nextTimer().value_or(TimePoint::max()));
    return Next;
  }

  void step() {
    while (!Flying.empty() && Flying.begin()->first <= Now) {
      const Bytes Raw = Flying.begin()->second;
      Flying.erase(Flying.begin());
      deliver(Raw);
    }
    Caller.S.onTimer(Now);
    if (Service)
      Service->S.onTimer(Now);
  }

  void deliver(const Bytes &Raw) {
    if (packet::readRoute(Raw)->Key != Key) {
      const auto Parsed = common::capture([&] { return packet::parseFromService(Raw); });
      Caller.S.onPacket(*Parsed, Now);
      return;
    }
    const auto Parsed = common::capture([&] { return packet::parseFromCaller(Raw); });
    if (!Service && Parsed->Bits.Syn)
      Service =
          End{Stream::accept(*Parsed, 0xffffff00, Now), ServiceBytes, 0, {}, ServiceReads, Finish};
    else if (Service)
      Service->S.onPacket(*Parsed, Now);
  }

  std::multimap<TimePoint, Bytes> Flying;
};

packet::RouteView route(packet::Flags Bits, std::uint32_t Sequence, std::uint32_t Ack) {
  return {Key, Bits, packet::InitialTtl, Ack, Sequence};
}

Packet callerPacket(packet::Flags Bits, std::uint32_t Sequence, std::uint32_t Ack) {
  Packet Made;
  Made.Key = Key;
  Made.Bits = Bits;
  Made.Sequence = Sequence;
  Made.Acknowledgement = Ack;
  Made.Window = 4096;
  return Made;
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
  CPPUNIT_TEST(testFin_acknowledgementLost_isAnsweredWhileLingering);
  CPPUNIT_TEST(testFeed_beyondAllSequenceNumbers_continues);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against lost, repeated or reordered bytes, at sequence numbers that wrap.
  void testTransfer_faultyNetwork_bothSidesGetAllBytesInOrder() {
    const Faults Table[] = {{0, 0, 0us}, {0.05, 0, 0us},  {0, 0.2, 0us},
                            {0, 0, 5ms}, {0.1, 0.1, 5ms}, {0.3, 0.1, 20ms}};
    for (const Faults &Rules : Table) {
      for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
        Pair Network(Seed, Rules);
        Network.write(common::uniformBelow(Network.Random, 400'000),
                      common::uniformBelow(Network.Random, 400'000));
        const std::string Row =
            "loss " + std::to_string(Rules.Loss) + " duplicate " + std::to_string(Rules.Duplicate) +
            " jitter us " + std::to_string(Rules.Jitter.count()) + " seed " + std::to_string(Seed);
        CPPUNIT_ASSERT_MESSAGE(Row, Network.runUntilClosed(20min));
        CPPUNIT_ASSERT_MESSAGE(Row, Network.Service->Received == Network.Caller.ToWrite);
        CPPUNIT_ASSERT_MESSAGE(Row, Network.Caller.Received == Network.ServiceBytes);
      }
    }
  }

  // Guards against taking the reordering of a spraying fabric for loss: two of five segments were
  // repeated and the congestion window stayed at its minimum.
  void testTransfer_reorderedWithoutLoss_repeatsFewPackets() {
    constexpr std::size_t Segments = 2000;
    for (const Duration Jitter : {2ms, 10ms}) {
      Pair Network(1, {0, 0, Jitter});
      Network.write(Segments * packet::MaxPayloadBytes, 0);
      CPPUNIT_ASSERT(Network.runUntilClosed(60s));
      // Each segment has at most one acknowledgement.
      CPPUNIT_ASSERT(Network.Sent < 2 * Segments + Segments / 10);
    }
  }

  // Guards against a response cut off because the caller had finished its request.
  void testHalfClose_callerFinished_serviceStillSends() {
    Pair Network(1, {});
    Network.write(10, 1'000'000);
    const auto Finished = [&] { return Network.Service && Network.Service->S.peerFinished(); };
    CPPUNIT_ASSERT(Network.runUntil(Finished, 10s));
    CPPUNIT_ASSERT(Network.Caller.Received.size() < Network.ServiceBytes.size());
    CPPUNIT_ASSERT(Network.runUntilClosed(60s));
    CPPUNIT_ASSERT(Network.Caller.Received == Network.ServiceBytes);
  }

  // Guards against a feed that breaks, or costs memory, because nothing was sent for hours.
  void testIdle_hours_staysOpenWithoutBuffers() {
    Pair Network(1, {});
    openedService(Network);
    Network.runUntil([] { return false; }, 3h);
    CPPUNIT_ASSERT(Network.Caller.S.state() == StreamState::Established);
    CPPUNIT_ASSERT(Network.Service->S.state() == StreamState::Established);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Network.Service->S.memoryBytes());
    // One probe and one answer per keepalive interval, and the handshake.
    CPPUNIT_ASSERT(Network.Sent <= 2 * (3h / Stream::KeepaliveInterval) + 4);
  }

  // Guards against giving up early on a peer that a reroute makes unreachable for a while, and
  // against never giving up.
  void testPeer_silentAfterWrite_breaksAfterSixtySeconds() {
    Pair Network(1, {});
    openedService(Network);
    Network.Rules.Loss = 1;
    const Bytes Data(10);
    Network.Caller.S.write(Data);
    const TimePoint Start = Network.Now;
    const auto Broken = [&] { return Network.Caller.S.state() == StreamState::Broken; };
    CPPUNIT_ASSERT(!Network.runUntil(Broken, Stream::DeadPeerTimeout - 1ms));
    CPPUNIT_ASSERT(Network.runUntil(Broken, Stream::MaxTimeout + 1ms));
    CPPUNIT_ASSERT(Network.Now - Start >= Stream::DeadPeerTimeout);
  }

  // Guards against flows of vanished callers that stay in the agent's table for ever.
  void testPeer_silentWhileIdle_breaksAfterProbes() {
    Pair Network(1, {});
    openedService(Network);
    Network.Rules.Loss = 1;
    const auto Broken = [&] { return Network.Service->S.state() == StreamState::Broken; };
    const Duration Earliest = Stream::KeepaliveInterval + Stream::DeadPeerTimeout;
    CPPUNIT_ASSERT(!Network.runUntil(Broken, Earliest - 1s));
    CPPUNIT_ASSERT(Network.runUntil(Broken, Stream::ProbeRetryInterval + 1s));
  }

  // Guards against unbounded memory behind a slow reader, and against a transfer that hangs when
  // the window update is lost.
  void testWindow_readerStops_buffersStayBoundedAndTransferResumes() {
    Pair Network(1, {0.2, 0, 2ms});
    Network.write(2'000'000, 0);
    Network.ServiceReads = false;
    CPPUNIT_ASSERT(!Network.runUntilClosed(5min));
    CPPUNIT_ASSERT(Network.Caller.S.state() == StreamState::Established);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Network.Caller.S.writable());
    CPPUNIT_ASSERT(Network.Service->S.memoryBytes() <= 2 * Stream::MaxBufferedBytes);
    // Keepalive probes of the service carry the window as well; none must come to the rescue.
    const auto ProbeIsFar = [&] { return Network.Service->S.nextTimer() > Network.Now + 20s; };
    CPPUNIT_ASSERT(Network.runUntil(ProbeIsFar, 2 * Stream::KeepaliveInterval));
    Network.Service->Reads = true;
    Network.Rules.Loss = 1;
    CPPUNIT_ASSERT(!Network.runUntilClosed(10ms));
    Network.Rules.Loss = 0;
    const auto Resumed = [&, Before = Network.Service->Received.size()] {
      return Network.Service->Received.size() > Before;
    };
    CPPUNIT_ASSERT(Network.runUntil(Resumed, Stream::MaxTimeout + 100ms));
    CPPUNIT_ASSERT(Network.runUntilClosed(5min));
    CPPUNIT_ASSERT(Network.Service->Received == Network.Caller.ToWrite);
  }

  // Guards against bytes of a flow that another agent owns reaching this one's upstream.
  void testFits_numbersOfAnotherOwner_areRefused() {
    const std::uint32_t Isn = 0xfffffff0;
    Stream S = Stream::accept(callerPacket({.Syn = true}, 100, 0), Isn, {});
    CPPUNIT_ASSERT(S.fits(route({.Syn = true}, 100, 0)));
    CPPUNIT_ASSERT(!S.fits(route({.Syn = true}, 101, 0)));
    CPPUNIT_ASSERT(S.fits(route({.Ack = true}, 101, Isn + 1)));
    for (const std::uint32_t Ack : {Isn, Isn + 2, Isn + 1000, Isn - 1000, 0U})
      CPPUNIT_ASSERT(!S.fits(route({.Ack = true}, 101, Ack)));
    S.onPacket(callerPacket({.Ack = true}, 101, Isn + 2), {});
    CPPUNIT_ASSERT(S.state() == StreamState::Opening);
    S.onPacket(callerPacket({.Ack = true}, 101, Isn + 1), {});
    CPPUNIT_ASSERT(S.state() == StreamState::Established);
    const Bytes Data(100);
    S.write(Data);
    (void)S.takeOutput({});
    CPPUNIT_ASSERT(S.fits(route({.Ack = true}, 101, Isn + 101)));
    CPPUNIT_ASSERT(S.fits(route({.Ack = true}, 101, Isn + 1)));
    CPPUNIT_ASSERT(!S.fits(route({.Ack = true}, 101, Isn + 102)));
    CPPUNIT_ASSERT(!S.fits(route({.Ack = true}, 101, Isn)));
    CPPUNIT_ASSERT(S.fits(route({.Rst = true}, 101, 0)));
    CPPUNIT_ASSERT(!S.fits(route({.Rst = true}, 101 + 0x40000000, 0)));
  }

  // Guards against a caller that waits for a SYN-ACK that was lost.
  void testSyn_duplicate_resendsSynAck() {
    const Packet Syn = callerPacket({.Syn = true}, 100, 0);
    Stream S = Stream::accept(Syn, 500, {});
    const auto First = S.takeOutput({});
    CPPUNIT_ASSERT(S.takeOutput({}).empty());
    S.onPacket(Syn, {});
    CPPUNIT_ASSERT(S.takeOutput({}) == First);
    CPPUNIT_ASSERT(First.at(0).Bits == (packet::Flags{.Syn = true, .Ack = true}));
  }

  // Guards against an abort by one side that the other side never learns of.
  void testReset_insideWindow_breaksPeer() {
    Pair Network(1, {});
    openedService(Network);
    const Packet Forged = callerPacket({.Ack = true, .Rst = true}, 0x40000000, 0xffffff01);
    Network.Service->S.onPacket(Forged, Network.Now);
    CPPUNIT_ASSERT(Network.Service->S.state() == StreamState::Established);
    Network.Caller.S.reset();
    const auto Broken = [&] { return Network.Service->S.state() == StreamState::Broken; };
    CPPUNIT_ASSERT(Network.runUntil(Broken, 1s));
    CPPUNIT_ASSERT(Network.Caller.S.finished() && Network.Service->S.finished());
  }

  // Guards against a complete transfer that ends in a reset because the last acknowledgement was
  // lost.
  void testFin_acknowledgementLost_isAnsweredWhileLingering() {
    Pair Network(1, {});
    Network.write(10, 10);
    CPPUNIT_ASSERT(Network.runUntilClosed(10s));
    CPPUNIT_ASSERT(!Network.Service->S.finished());
    const Packet Fin = callerPacket({.Ack = true, .Fin = true}, 0xfffffe00 + 11, 0xffffff00 + 12);
    Network.Service->S.onPacket(Fin, Network.Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Network.Service->S.takeOutput(Network.Now).size());
    // An agent that has forgotten the flow may answer such a FIN with a reset.
    Network.Service->S.onPacket(
        callerPacket({.Ack = true, .Rst = true}, 0xfffffe00 + 12, 0xffffff00 + 12), Network.Now);
    CPPUNIT_ASSERT(Network.Service->S.state() == StreamState::Closed);
    const auto Finished = [&] { return Network.Service->S.finished(); };
    CPPUNIT_ASSERT(Network.runUntil(Finished, Stream::LingerTime + 1s));
  }

  // Guards against a feed that stalls once 2^32 bytes were sent and its numbers start again.
  void testFeed_beyondAllSequenceNumbers_continues() {
    Stream Caller = Stream::connect(Key, 1, {});
    Stream Service = Stream::accept(Caller.takeOutput({}).at(0), 7, {});
    const Bytes Data(Stream::MaxBufferedBytes);
    std::uint64_t Read = 0;
    for (int Idle = 0; Read < (1ULL << 32) + 4 * Data.size() && Idle < 100; ++Idle) {
      Service.write(Data);
      const auto Sent = Service.takeOutput({});
      // An acknowledgement that was overtaken still fits, at any point of the number space.
      if (!Sent.empty() && Read > 0)
        CPPUNIT_ASSERT(Service.fits(route({.Ack = true}, 2, Sent.front().Sequence)));
      for (const Packet &Each : Sent)
        Caller.onPacket(Each, {});
      const std::size_t Size = Caller.read().size();
      Read += Size;
      for (const Packet &Each : Caller.takeOutput({}))
        Service.onPacket(Each, {});
      Idle = Size > 0 ? 0 : Idle;
    }
    CPPUNIT_ASSERT(Read > (1ULL << 32) + Data.size());
  }

private:
  /// Opens both ends and keeps them open: neither program has anything to write or to finish.
  static void openedService(Pair &Network) {
    Network.Caller.Finishes = Network.Finish = false;
    const auto Open = [&] {
      return Network.Service && Network.Service->S.state() == StreamState::Established;
    };
    CPPUNIT_ASSERT(Network.runUntil(Open, 10s));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamTest);

} // namespace galenarelay::tests
