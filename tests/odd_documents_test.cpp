#include "odd_documents.h"

#include "galenarelay/relay/peer_message.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <limits>

namespace galenarelay::tests {

using nlohmann::json;

/// Readers of messages between nodes.
class OddDocumentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddDocumentsTest);
  CPPUNIT_TEST(testPeerMessage_oddField_isRefused);
  CPPUNIT_TEST(testPeerMessage_deeplyNested_isRefused);
  CPPUNIT_TEST(testPeerMessage_longestLists_areRead);
  CPPUNIT_TEST_SUITE_END();

  /// Values that a message can hold in place of a whole number.
  static std::vector<json> oddValues() {
    return {true,
            -1,
            2.5,
            1e300,
            std::numeric_limits<double>::infinity(),
            std::numeric_limits<double>::quiet_NaN(),
            "4",
            nullptr,
            json::array(),
            json::object(),
            json::binary({1, 2})};
  }

  /// Paths of all numbers and texts in a document.
  static std::vector<std::string> scalarPaths(const json &Document) {
    std::vector<std::string> Paths;
    const json Flat = Document.flatten();
    for (const auto &[Path, Value] : Flat.items())
      if (Value.is_number() || Value.is_string())
        Paths.push_back(Path);
    return Paths;
  }

  /// Asserts that Reads is true for the document, and false with an odd value at any of the paths.
  template <typename F>
  static void assertRefused(const json &Document, const std::vector<std::string> &Paths,
                            F &&Reads) {
    CPPUNIT_ASSERT_MESSAGE(Document.dump(), Reads(Document));
    for (const auto &Path : Paths) {
      const json::json_pointer Field(Path);
      for (const json &Odd : oddValues()) {
        // A text is odd in place of a number only.
        if (Odd.is_string() && Document[Field].is_string())
          continue;
        json Changed = Document;
        Changed[Field] = Odd;
        CPPUNIT_ASSERT_MESSAGE(Path + " " + Odd.type_name(), !Reads(Changed));
      }
    }
  }

  static bool readsMessage(const json &Fields) {
    return static_cast<bool>(relay::decodeMessage(json::to_cbor(Fields)));
  }

  static const packet::FlowKey &key() {
    static const packet::FlowKey Key{{0x64400007, 40001}, {0xc6120001, 443}};
    return Key;
  }

public:
  void testPeerMessage_oddField_isRefused() {
    relay::AgentReport Report{"agent", "a", 1,      2, "desk", relay::UpstreamState::Ready,
                              3,       4,   {5, 6}, {}};
    Report.ColdFor = std::chrono::seconds(1);
    const std::vector<relay::PeerMessage> Messages{
        Report,
        relay::BalancerBeacon{"balancer", "a", 1, 2, false, {3}, {4}},
        relay::FlowNotice{key(), {1, 2}},
        relay::ReturnedPacket{relay::ReturnReason::Busy, {1, 2}, {1, 2, 3}},
        relay::FlowAbsence{key()},
        relay::FlowQuery{7, {{key(), 8}}},
        relay::FlowAnswer{7, {1}, {2}},
        relay::LoadQuery{7},
        relay::LoadAnswer{relay::UpstreamState::Ready, {1, 2}, 7},
        relay::LossQuery{{1, 2}},
        relay::LossAnswer{{1, 2}},
        relay::HolderQuery{7, 8},
        relay::HolderAnswer{7, true, 0, 1, {{1, 2, 3}}}};
    for (const auto &Message : Messages) {
      const auto Raw = relay::encode(Message);
      CPPUNIT_ASSERT(*relay::decodeMessage(Raw) == Message);
      const json Fields = json::from_cbor(Raw);
      assertRefused(Fields, scalarPaths(Fields), readsMessage);
    }
    // Times beyond MaxStatedTime would overflow sums with a point in time.
    json Fields = json::from_cbor(relay::encode(Report));
    Fields[10] = std::numeric_limits<std::int64_t>::max();
    CPPUNIT_ASSERT(!readsMessage(Fields));
  }

  // Guards against a datagram that ends the process by exhausting its stack.
  void testPeerMessage_deeplyNested_isRefused() {
    constexpr std::uint8_t ArrayOfOne = 0x81;
    for (const std::size_t Depth : {100, 4000, 65'000}) {
      const relay::Bytes Datagram(Depth, ArrayOfOne);
      CPPUNIT_ASSERT(!relay::decodeMessage(Datagram));
    }
  }

  void testPeerMessage_longestLists_areRead() {
    const std::vector<relay::NodeAddress> Addresses(relay::MaxBeaconAddresses, 0xffffffff);
    const relay::PeerMessage Beacon = relay::BalancerBeacon{std::string(200, 'x'),
                                                            std::string(200, 'x'),
                                                            UINT64_MAX,
                                                            UINT64_MAX,
                                                            true,
                                                            Addresses,
                                                            Addresses};
    const relay::PeerMessage Answer =
        relay::HolderAnswer{UINT64_MAX, true, 0, 1,
                            std::vector<relay::KnownAgent>(relay::MaxNamedHolders,
                                                           {0xffffffff, UINT64_MAX, UINT64_MAX})};
    const relay::PeerMessage Query =
        relay::FlowQuery{UINT64_MAX, std::vector<relay::FlowQuery::Row>(relay::MaxQueriedFlows,
                                                                        {key(), 0xffffffff})};
    const relay::PeerMessage Packet =
        relay::ReturnedPacket{relay::ReturnReason::NotHeld, {}, relay::Bytes(1400, 1)};
    for (const auto &Message : {Beacon, Answer, Query, Packet})
      CPPUNIT_ASSERT(*relay::decodeMessage(relay::encode(Message)) == Message);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddDocumentsTest);

} // namespace galenarelay::tests
