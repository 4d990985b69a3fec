#include "galenarelay/packet/packet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenarelay::tests {

using namespace packet;
using Bytes = std::vector<std::uint8_t>;

class PacketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PacketTest);
  CPPUNIT_TEST(testSerialize_anyPacket_parsesBack);
  CPPUNIT_TEST(testParse_malformedBytes_areRefused);
  CPPUNIT_TEST(testRewriteTtl_allValues_keepChecksumValid);
  CPPUNIT_TEST_SUITE_END();

  static Packet example() {
    Packet Made;
    Made.Key = {{0x0a000009, 4000}, {0x0a010001, 80}};
    Made.Bits = {.Ack = true, .Fin = true};
    Made.Sequence = 0xfffffff0;
    Made.Acknowledgement = 7;
    Made.Window = 4096;
    Made.Payload = {1, 2, 3};
    return Made;
  }

  /// One's complement sum of the IPv4 header; 0xffff if its checksum is valid (RFC 1071).
  static std::uint32_t headerSum(const Bytes &Raw) {
    std::uint32_t Sum = 0;
    for (std::size_t I = 0; I < 20; I += 2)
      Sum += (std::uint32_t{Raw[I]} << 8) + Raw[I + 1];
    return (Sum & 0xffffU) + (Sum >> 16);
  }

public:
  // Guards against fields that the two readers and the writer place differently.
  void testSerialize_anyPacket_parsesBack() {
    for (unsigned Bits = 0; Bits < 16; ++Bits) {
      for (const std::size_t Size : {std::size_t{0}, std::size_t{1}, MaxPayloadBytes}) {
        Packet Sent = example();
        Sent.Bits = {(Bits & 1) != 0, (Bits & 2) != 0, (Bits & 4) != 0, (Bits & 8) != 0};
        Sent.Payload.assign(Size, 9);
        const Bytes Raw = serialize(Sent);
        const auto Parsed = common::capture([&] { return parseFromCaller(Raw); });
        CPPUNIT_ASSERT(Parsed && *Parsed == Sent);
        const auto Header = readRoute(Raw);
        CPPUNIT_ASSERT(Header && Header->Key == Sent.Key && Header->Bits == Sent.Bits);
        CPPUNIT_ASSERT(Header->Sequence == Sent.Sequence &&
                       Header->Acknowledgement == Sent.Acknowledgement && Header->Ttl == Sent.Ttl);
        Sent.TowardsCaller = true;
        const Bytes Back = serialize(Sent);
        const auto Answer = common::capture([&] { return parseFromService(Back); });
        CPPUNIT_ASSERT(Answer && *Answer == Sent);
      }
    }
  }

  // Guards against a datagram that is read beyond its end or taken for a packet.
  void testParse_malformedBytes_areRefused() {
    const Bytes Valid = serialize(example());
    const auto With = [&](std::size_t At, std::uint8_t Value) {
      Bytes Changed = Valid;
      Changed[At] = Value;
      return Changed;
    };
    Packet TooLong = example();
    TooLong.Payload.resize(MaxPayloadBytes + 1);
    struct Row {
      const char *Name;
      Bytes Raw;
      bool RouteToo; ///< readRoute refuses it as well.
    };
    const Row Rows[] = {
        {"empty", {}, true},
        {"one byte", {0x45}, true},
        {"IPv6", With(0, 0x65), true},
        {"UDP", With(9, 17), true},
        {"IP header of 16 bytes", With(0, 0x44), true},
        {"IP header beyond the end", With(0, 0x4f), true},
        {"total length beyond the end", With(2, 0xff), true},
        {"total length without TCP header", With(3, 30), true},
        {"TCP header beyond the end", With(32, 0xf0), true},
        {"TCP header of 16 bytes", With(32, 0x40), true},
        {"payload too long", serialize(TooLong), false},
    };
    for (const Row &Case : Rows) {
      const auto Parsed = common::capture([&] { return parseFromCaller(Case.Raw); });
      CPPUNIT_ASSERT_MESSAGE(Case.Name, !Parsed);
      CPPUNIT_ASSERT_MESSAGE(Case.Name, Parsed.Failure.Code == common::ResultCode::PacketMalformed);
      CPPUNIT_ASSERT_MESSAGE(Case.Name, !Case.RouteToo || !readRoute(Case.Raw));
    }
    for (std::size_t Size = 0; Size < 40; ++Size)
      CPPUNIT_ASSERT(!readRoute(std::span(Valid).first(Size)));
  }

  // Guards against forwarded packets that the next reader refuses.
  void testRewriteTtl_allValues_keepChecksumValid() {
    for (unsigned First = 0; First < 256; ++First) {
      for (unsigned Second = 0; Second < 256; ++Second) {
        Packet Sent = example();
        Sent.Key.Caller.Address += First * 0x01010101;
        Sent.Ttl = static_cast<std::uint8_t>(First);
        Bytes Raw = serialize(Sent);
        rewriteTtl(Raw, static_cast<std::uint8_t>(Second));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0xffff}, headerSum(Raw));
        CPPUNIT_ASSERT_EQUAL(Second, unsigned{readRoute(Raw)->Ttl});
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketTest);

} // namespace galenarelay::tests
