#include "platform/packet_codec.h"
#include "relay_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenarelay::tests {

using platform::PacketCodec;
using relay::Side;

class PlatformPacketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformPacketTest);
  CPPUNIT_TEST(testDecode_publishedExample_hasItsFields);
  CPPUNIT_TEST(testDecode_damagedPackets_areRefused);
  CPPUNIT_TEST(testDecode_upstreamPacket_namesCallerAsDestination);
  CPPUNIT_TEST(testDecode_returnedPacket_isStillTheCallers);
  CPPUNIT_TEST(testTransit_allFields_readBackAndKeepTheSummedBytes);
  CPPUNIT_TEST(testReset_publishedExample_hasItsBytes);
  CPPUNIT_TEST_SUITE_END();

  static relay::Bytes example() {
    return {0x08, 0x00, 0x00, 0x00, 0x00, 0x00, 0xd5, 0xc3, 0xb2, 0xa1, 0x44, 0x33,
            0x22, 0x11, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x07, 0x00,
            0x40, 0x64, 0x41, 0x9c, 0x01, 0x00, 0x12, 0xc6, 0xbb, 0x01};
  }

public:
  void testDecode_publishedExample_hasItsFields() {
    const auto Head = PacketCodec::decode(example(), Side::Caller);
    CPPUNIT_ASSERT(Head.has_value());
    CPPUNIT_ASSERT(Head->opensFlow());
    CPPUNIT_ASSERT_EQUAL(std::string("100.64.0.7:40001-198.18.0.1:443"),
                         packet::toString(Head->Key));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0x11223344}, Head->Sequence);
    CPPUNIT_ASSERT(!Head->TowardsCaller && !Head->Returned);
  }

  void testDecode_damagedPackets_areRefused() {
    auto Short = example();
    Short.pop_back();
    auto WrongLength = example();
    WrongLength[4] = 5;
    auto Trailing = example();
    Trailing.push_back(0);
    relay::Bytes TooLong(PacketCodec::HeadBytes + PacketCodec::MaxPayloadBytes + 1, 0);
    for (const auto &Bad : {relay::Bytes{}, Short, WrongLength, Trailing, TooLong})
      CPPUNIT_ASSERT(!PacketCodec::decode(Bad, Side::Caller).has_value());
  }

  void testDecode_upstreamPacket_namesCallerAsDestination() {
    const auto Head = PacketCodec::decode(example(), Side::Upstream);
    CPPUNIT_ASSERT(Head.has_value() && Head->TowardsCaller);
    CPPUNIT_ASSERT_EQUAL(std::string("198.18.0.1:443-100.64.0.7:40001"),
                         packet::toString(Head->Key));
  }

  void testDecode_returnedPacket_isStillTheCallers() {
    auto Raw = example();
    Raw[0] |= 1;
    const auto Head = PacketCodec::decode(Raw, Side::Upstream);
    CPPUNIT_ASSERT(Head.has_value() && Head->Returned && !Head->TowardsCaller);
    CPPUNIT_ASSERT_EQUAL(std::string("100.64.0.7:40001-198.18.0.1:443"),
                         packet::toString(Head->Key));
    PacketCodec::clearReturned(Raw);
    CPPUNIT_ASSERT(Raw == example());
  }

  void testTransit_allFields_readBackAndKeepTheSummedBytes() {
    const relay::Transit Fields{0x0a010203, 0xbeef, true, false, true};
    auto Raw = example();
    PacketCodec::writeTransit(Raw, Fields);
    CPPUNIT_ASSERT(PacketCodec::readTransit(Raw) == Fields);
    for (std::size_t I = 0; I < Raw.size(); ++I) {
      const bool Free = (I >= 1 && I < 4) || (I >= 18 && I < 22);
      CPPUNIT_ASSERT(Free || Raw[I] == example()[I]);
    }
  }

  void testReset_publishedExample_hasItsBytes() {
    const relay::Bytes Expected{0x40, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                                0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                                0x00, 0x00, 0x00, 0x00, 0x01, 0x00, 0x12, 0xc6, 0xbb,
                                0x01, 0x07, 0x00, 0x40, 0x64, 0x41, 0x9c};
    const auto Made = PacketCodec::reset({{0x64400007, 40001}, {0xc6120001, 443}}, 0);
    CPPUNIT_ASSERT(relay::Bytes(Made.begin(), Made.end()) == Expected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformPacketTest);

} // namespace galenarelay::tests
