#include "galenarelay/packet/packet.h"

#include "galenarelay/common/hash.h"

#include <boost/endian/conversion.hpp>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>

#include <array>
#include <cstring>

namespace galenarelay::packet {

using common::Endpoint;
using common::fail;
using common::ResultCode;

namespace {

constexpr std::size_t MinIpHeaderBytes = 20;
constexpr std::size_t MinTcpHeaderBytes = 20;
constexpr std::size_t TtlOffset = 8;
constexpr std::size_t ChecksumOffset = 10;
constexpr std::uint8_t ProtocolTcp = 6;

std::uint16_t loadBig16(const std::uint8_t *At) noexcept { return boost::endian::load_big_u16(At); }

Tins::IPv4Address toTins(std::uint32_t Address) {
  return Tins::IPv4Address(boost::endian::native_to_big(Address));
}

std::uint32_t fromTins(Tins::IPv4Address Address) {
  return boost::endian::big_to_native(static_cast<std::uint32_t>(Address));
}

common::Result<Packet> parse(std::span<const std::uint8_t> Bytes, bool TowardsCaller) {
  // libtins doesn't check the IP version.
  if (!readRoute(Bytes))
    return fail(ResultCode::PacketMalformed, "the bytes aren't a whole IPv4 packet with TCP");
  try {
    const Tins::IP Ip(Bytes.data(), static_cast<std::uint32_t>(Bytes.size()));
    const auto *Tcp = Ip.find_pdu<Tins::TCP>();
    if (Tcp == nullptr)
      return fail(ResultCode::PacketMalformed, "the packet carries no TCP segment");
    const Endpoint Source{fromTins(Ip.src_addr()), Tcp->sport()};
    const Endpoint Destination{fromTins(Ip.dst_addr()), Tcp->dport()};
    Packet Parsed;
    Parsed.Key = TowardsCaller ? FlowKey{Destination, Source} : FlowKey{Source, Destination};
    Parsed.TowardsCaller = TowardsCaller;
    Parsed.Bits = {Tcp->get_flag(Tins::TCP::SYN) != 0, Tcp->get_flag(Tins::TCP::ACK) != 0,
                   Tcp->get_flag(Tins::TCP::FIN) != 0, Tcp->get_flag(Tins::TCP::RST) != 0};
    Parsed.Ttl = Ip.ttl();
    Parsed.Sequence = Tcp->seq();
    Parsed.Acknowledgement = Tcp->ack_seq();
    Parsed.Window = Tcp->window();
    if (const auto *Raw = Tcp->find_pdu<Tins::RawPDU>())
      Parsed.Payload = Raw->payload();
    if (Parsed.Payload.size() > MaxPayloadBytes)
      return fail(ResultCode::PacketMalformed, "the payload is longer than 1,400 bytes");
    return Parsed;
  } catch (const Tins::exception_base &Problem) {
    return fail(ResultCode::PacketMalformed, Problem.what());
  }
}

} // namespace

std::uint64_t hash(const FlowKey &Key) noexcept {
  std::array<char, 12> Bytes{};
  const auto Store = [&Bytes](std::size_t At, const Endpoint &Value) {
    boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(&Bytes[At]), Value.Address);
    boost::endian::store_big_u16(reinterpret_cast<unsigned char *>(&Bytes[At + 4]), Value.Port);
  };
  Store(0, Key.Caller);
  Store(6, Key.Service);
  return common::hash64({Bytes.data(), Bytes.size()});
}

std::string toString(const FlowKey &Key) {
  return common::toString(Key.Caller) + "-" + common::toString(Key.Service);
}

common::Result<FlowKey> parseFlowKey(std::string_view Text) {
  const auto Dash = Text.find('-');
  if (Dash == std::string_view::npos)
    return fail(ResultCode::SettingsBadValue,
                "'" + std::string(Text) + "' isn't a flow such as 10.0.0.9:4000-10.1.0.1:80");
  BOOST_LEAF_AUTO(Caller, common::parseEndpoint(Text.substr(0, Dash)));
  BOOST_LEAF_AUTO(Service, common::parseEndpoint(Text.substr(Dash + 1)));
  return FlowKey{Caller, Service};
}

common::Result<Packet> parseFromCaller(std::span<const std::uint8_t> Bytes) {
  return parse(Bytes, false);
}

common::Result<Packet> parseFromService(std::span<const std::uint8_t> Bytes) {
  return parse(Bytes, true);
}

// The balancer's hot path reads ten fields; libtins would allocate and copy the payload for each
// packet.
std::optional<RouteView> readRoute(std::span<const std::uint8_t> Bytes) noexcept {
  if (Bytes.size() < MinIpHeaderBytes || (Bytes[0] >> 4) != 4)
    return std::nullopt;
  const std::size_t IpHeaderBytes = (Bytes[0] & 0x0fU) * 4U;
  const std::size_t TotalBytes = loadBig16(&Bytes[2]);
  const bool Whole = IpHeaderBytes >= MinIpHeaderBytes &&
                     TotalBytes >= IpHeaderBytes + MinTcpHeaderBytes && TotalBytes <= Bytes.size();
  if (!Whole || Bytes[9] != ProtocolTcp)
    return std::nullopt;
  const std::uint8_t *Tcp = &Bytes[IpHeaderBytes];
  const std::size_t TcpHeaderBytes = (Tcp[12] >> 4) * 4U;
  if (TcpHeaderBytes < MinTcpHeaderBytes || IpHeaderBytes + TcpHeaderBytes > TotalBytes)
    return std::nullopt;
  const std::uint8_t Control = Tcp[13];
  RouteView View;
  View.Key.Caller = {boost::endian::load_big_u32(&Bytes[12]), loadBig16(Tcp)};
  View.Key.Service = {boost::endian::load_big_u32(&Bytes[16]), loadBig16(Tcp + 2)};
  View.Bits = {(Control & 0x02U) != 0, (Control & 0x10U) != 0, (Control & 0x01U) != 0,
               (Control & 0x04U) != 0};
  View.Ttl = Bytes[TtlOffset];
  View.Acknowledgement = boost::endian::load_big_u32(Tcp + 8);
  View.Sequence = boost::endian::load_big_u32(Tcp + 4);
  return View;
}

std::vector<std::uint8_t> serialize(const Packet &Value) {
  const Endpoint &Source = Value.TowardsCaller ? Value.Key.Service : Value.Key.Caller;
  const Endpoint &Destination = Value.TowardsCaller ? Value.Key.Caller : Value.Key.Service;
  Tins::TCP Tcp(Destination.Port, Source.Port);
  Tcp.set_flag(Tins::TCP::SYN, Value.Bits.Syn ? 1 : 0);
  Tcp.set_flag(Tins::TCP::ACK, Value.Bits.Ack ? 1 : 0);
  Tcp.set_flag(Tins::TCP::FIN, Value.Bits.Fin ? 1 : 0);
  Tcp.set_flag(Tins::TCP::RST, Value.Bits.Rst ? 1 : 0);
  Tcp.seq(Value.Sequence);
  Tcp.ack_seq(Value.Acknowledgement);
  Tcp.window(static_cast<std::uint16_t>(Value.Window));
  Tins::IP Ip(toTins(Destination.Address), toTins(Source.Address));
  Ip.ttl(Value.Ttl);
  Ip /= Tcp;
  if (!Value.Payload.empty())
    Ip /= Tins::RawPDU(Value.Payload);
  return Ip.serialize();
}

void rewriteTtl(std::span<std::uint8_t> Bytes, std::uint8_t Ttl) noexcept {
  if (Bytes.size() < MinIpHeaderBytes)
    return;
  const std::uint16_t OldWord = loadBig16(&Bytes[TtlOffset]);
  Bytes[TtlOffset] = Ttl;
  const std::uint16_t NewWord = loadBig16(&Bytes[TtlOffset]);
  // RFC 1624, equation 3: HC' = ~(~HC + ~m + m').
  std::uint32_t Sum = static_cast<std::uint16_t>(~loadBig16(&Bytes[ChecksumOffset]));
  Sum += static_cast<std::uint16_t>(~OldWord);
  Sum += NewWord;
  Sum = (Sum & 0xffffU) + (Sum >> 16);
  Sum = (Sum & 0xffffU) + (Sum >> 16);
  boost::endian::store_big_u16(&Bytes[ChecksumOffset], static_cast<std::uint16_t>(~Sum));
}

} // namespace galenarelay::packet
