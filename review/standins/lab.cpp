#include "lab.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab {

namespace {

using std::chrono::milliseconds;

sockaddr_in socketAddress(Endpoint Value) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(Value.Address);
  Address.sin_port = htons(Value.Port);
  return Address;
}

Endpoint endpointOf(const sockaddr_in &Address) {
  return {ntohl(Address.sin_addr.s_addr), ntohs(Address.sin_port)};
}

void setTimeout(int Socket, int Milliseconds) {
  timeval Limit{Milliseconds / 1000, (Milliseconds % 1000) * 1000};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
}

template <typename T> void storeLittle(Bytes &Raw, std::size_t At, T Value) {
  for (std::size_t I = 0; I < sizeof(T); ++I)
    Raw[At + I] = static_cast<std::uint8_t>(Value >> (8 * I));
}

template <typename T> T loadLittle(const Bytes &Raw, std::size_t At) {
  T Value = 0;
  for (std::size_t I = 0; I < sizeof(T); ++I)
    Value = static_cast<T>(Value | static_cast<T>(static_cast<T>(Raw[At + I]) << (8 * I)));
  return Value;
}

/// Over all fields except the sum itself, echo, pad and BOUNCED.
std::uint32_t sumOf(Bytes Raw) {
  Raw[0] = static_cast<std::uint8_t>(Raw[0] & ~FlagBounced);
  std::fill_n(Raw.begin() + 1, 3, 0);
  std::fill_n(Raw.begin() + 6, 4, 0);
  std::fill_n(Raw.begin() + 18, 4, 0);
  std::uint32_t Sum = 0x811c9dc5U ^ 0x5eedU;
  for (const auto Byte : Raw)
    Sum = (Sum ^ Byte) * 16777619U;
  return Sum == 0 ? 1 : Sum;
}

bool before(std::uint32_t A, std::uint32_t B) { return static_cast<std::int32_t>(A - B) < 0; }

int receiveSome(int Socket, std::string &Buffer) {
  char Chunk[16384];
  const auto Size = ::recv(Socket, Chunk, sizeof Chunk, 0);
  if (Size > 0)
    Buffer.append(Chunk, static_cast<std::size_t>(Size));
  return static_cast<int>(Size);
}

bool sendAll(int Socket, const std::string &Text) {
  for (std::size_t At = 0; At < Text.size();) {
    const auto Sent = ::send(Socket, Text.data() + At, Text.size() - At, MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    At += static_cast<std::size_t>(Sent);
  }
  return true;
}

std::size_t contentLength(const std::string &Head) {
  for (const char *Name : {"Content-Length: ", "content-length: "})
    if (const auto At = Head.find(Name); At != std::string::npos)
      return std::stoul(Head.substr(At + std::strlen(Name)));
  return 0;
}

std::string decodePercent(const std::string &Text) {
  std::string Plain;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Plain.push_back(static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16)));
      I += 2;
    } else {
      Plain.push_back(Text[I]);
    }
  }
  return Plain;
}

std::string encodeBase64(const std::string &Plain) {
  constexpr const char *Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Encoded;
  for (std::size_t I = 0; I < Plain.size(); I += 3) {
    std::uint32_t Group = 0;
    const std::size_t Count = std::min<std::size_t>(3, Plain.size() - I);
    for (std::size_t J = 0; J < 3; ++J)
      Group = Group << 8 | (J < Count ? static_cast<unsigned char>(Plain[I + J]) : 0);
    for (std::size_t J = 0; J < 4; ++J)
      Encoded.push_back(J <= Count ? Digits[Group >> (18 - 6 * J) & 63] : '=');
  }
  return Encoded;
}

std::string decodeBase64(const std::string &Encoded) {
  const std::string Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Plain;
  std::uint32_t Group = 0;
  int Bits = 0;
  for (const char C : Encoded) {
    const auto Digit = Digits.find(C);
    if (Digit == std::string::npos)
      break;
    Group = Group << 6 | static_cast<std::uint32_t>(Digit);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Plain.push_back(static_cast<char>(Group >> Bits & 255));
    }
  }
  return Plain;
}

/// The text or number of a field in a flat JSON object that the project's programs wrote.
std::string field(const std::string &Object, const std::string &Name) {
  const auto At = Object.find('"' + Name + "\":");
  if (At == std::string::npos)
    return "";
  std::size_t From = At + Name.size() + 3;
  if (Object[From] == '"') {
    ++From;
    return Object.substr(From, Object.find('"', From) - From);
  }
  return Object.substr(From, Object.find_first_of(",}]", From) - From);
}

/// The text between the brackets of an array.
std::string array(const std::string &Object, const std::string &Name) {
  const auto At = Object.find('"' + Name + "\":[");
  if (At == std::string::npos)
    return "";
  const auto From = At + Name.size() + 4;
  return Object.substr(From, Object.find(']', From) - From);
}

std::string headerOf(const std::string &Request, const std::string &Name) {
  const auto At = Request.find(Name + ": ");
  if (At == std::string::npos)
    return "";
  const auto From = At + Name.size() + 2;
  return Request.substr(From, Request.find("\r\n", From) - From);
}

} // namespace

std::string addressText(std::uint32_t Address) {
  return std::to_string(Address >> 24) + "." + std::to_string(Address >> 16 & 255) + "." +
         std::to_string(Address >> 8 & 255) + "." + std::to_string(Address & 255);
}

std::string text(Endpoint Value) {
  return addressText(Value.Address) + ":" + std::to_string(Value.Port);
}

void sleepMs(int Milliseconds) { std::this_thread::sleep_for(milliseconds(Milliseconds)); }

std::int64_t wallMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string recordPath() {
  const char *Value = std::getenv("RECORD");
  return Value == nullptr ? "record.txt" : Value;
}

bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

// --- record

Record::Record(const std::string &Path)
    : File(::open(Path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644)) {}

Record::~Record() { ::close(File); }

double Record::seconds() const {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

void Record::line(const std::string &Text) {
  const std::lock_guard Guard(Lock);
  char Stamp[32];
  std::snprintf(Stamp, sizeof Stamp, "%8.3f s  ", seconds());
  const std::string Line = Stamp + Text + "\n";
  if (::write(File, Line.data(), Line.size()) < 0)
    std::perror("record.txt");
}

// --- packets

Bytes Packet::encode() const {
  Bytes Raw(HeadBytes + Data.size());
  Raw[0] = Flags;
  storeLittle(Raw, 4, static_cast<std::uint16_t>(Data.size()));
  storeLittle(Raw, 10, Sequence);
  storeLittle(Raw, 14, Acknowledgement);
  storeLittle(Raw, 22, Source.Address);
  storeLittle(Raw, 26, Source.Port);
  storeLittle(Raw, 28, Destination.Address);
  storeLittle(Raw, 32, Destination.Port);
  std::copy(Data.begin(), Data.end(), Raw.begin() + HeadBytes);
  storeLittle(Raw, 6, sumOf(Raw));
  return Raw;
}

std::optional<Packet> Packet::decode(const Bytes &Raw) {
  if (Raw.size() < HeadBytes || loadLittle<std::uint16_t>(Raw, 4) != Raw.size() - HeadBytes)
    return std::nullopt;
  return Packet{Raw[0],
                loadLittle<std::uint32_t>(Raw, 10),
                loadLittle<std::uint32_t>(Raw, 14),
                {loadLittle<std::uint32_t>(Raw, 22), loadLittle<std::uint16_t>(Raw, 26)},
                {loadLittle<std::uint32_t>(Raw, 28), loadLittle<std::uint16_t>(Raw, 32)},
                std::string(Raw.begin() + HeadBytes, Raw.end())};
}

bool genuine(const Bytes &Raw) { return loadLittle<std::uint32_t>(Raw, 6) == sumOf(Raw); }

bool systemReset(const Bytes &Raw) {
  return Raw.size() == HeadBytes && Raw[0] == FlagRst && loadLittle<std::uint32_t>(Raw, 6) == 0;
}

Udp::Udp(Endpoint Local) : Socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
  const auto Address = socketAddress(Local);
  if (::bind(Socket, reinterpret_cast<const sockaddr *>(&Address), sizeof Address) != 0) {
    ::close(Socket);
    throw std::runtime_error("can't bind " + text(Local));
  }
}

Udp::~Udp() { ::close(Socket); }

void Udp::send(const Bytes &Raw, Endpoint To) const {
  const auto Address = socketAddress(To);
  (void)::sendto(Socket, Raw.data(), Raw.size(), MSG_NOSIGNAL,
                 reinterpret_cast<const sockaddr *>(&Address), sizeof Address);
}

std::optional<std::pair<Bytes, Endpoint>> Udp::receive(int WaitMs) const {
  pollfd Ready{Socket, POLLIN, 0};
  if (::poll(&Ready, 1, WaitMs) <= 0)
    return std::nullopt;
  Bytes Raw(2048);
  sockaddr_in From{};
  socklen_t Length = sizeof From;
  const auto Size = ::recvfrom(Socket, Raw.data(), Raw.size(), MSG_DONTWAIT,
                               reinterpret_cast<sockaddr *>(&From), &Length);
  if (Size < 0)
    return std::nullopt;
  Raw.resize(static_cast<std::size_t>(Size));
  return std::pair{std::move(Raw), endpointOf(From)};
}

// --- HTTP

HttpResponse httpCall(Endpoint Server, const std::string &Method, const std::string &Target,
                      const std::string &Body, int TimeoutMs) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setTimeout(Socket, TimeoutMs);
  const auto Address = socketAddress(Server);
  HttpResponse Response{0, ""};
  const std::string Request = Method + " " + Target + " HTTP/1.1\r\nHost: " + text(Server) +
                              "\r\nContent-Type: application/json\r\nConnection: close\r\n" +
                              "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address), sizeof Address) == 0 &&
      sendAll(Socket, Request)) {
    std::string Buffer;
    while (receiveSome(Socket, Buffer) > 0) {
      const auto End = Buffer.find("\r\n\r\n");
      if (End == std::string::npos)
        continue;
      const auto Length = contentLength(Buffer.substr(0, End + 2));
      if (Buffer.size() < End + 4 + Length)
        continue;
      Response = {std::stoi(Buffer.substr(9, 3)), Buffer.substr(End + 4, Length)};
      break;
    }
  }
  ::close(Socket);
  return Response;
}

HttpServer::HttpServer(Endpoint Local, Handler Serve)
    : Listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), Serve(std::move(Serve)) {
  const int Yes = 1;
  ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof Yes);
  const auto Address = socketAddress(Local);
  if (::bind(Listener, reinterpret_cast<const sockaddr *>(&Address), sizeof Address) != 0 ||
      ::listen(Listener, 128) != 0) {
    ::close(Listener);
    throw std::runtime_error("can't listen at " + text(Local));
  }
  Acceptor = std::thread([this] {
    while (!Stopping) {
      pollfd Ready{Listener, POLLIN, 0};
      if (::poll(&Ready, 1, 50) <= 0)
        continue;
      const int Connection = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Connection < 0)
        continue;
      const std::lock_guard Guard(Lock);
      Workers.emplace_back([this, Connection] { serveConnection(Connection); });
    }
  });
}

HttpServer::~HttpServer() {
  Stopping = true;
  Acceptor.join();
  for (auto &Worker : Workers)
    Worker.join();
  ::close(Listener);
}

void HttpServer::serveConnection(int Connection) {
  setTimeout(Connection, 2000);
  std::string Buffer;
  std::size_t End = std::string::npos;
  std::size_t Length = 0;
  while (End == std::string::npos || Buffer.size() < End + 4 + Length) {
    if (receiveSome(Connection, Buffer) <= 0) {
      ::close(Connection);
      return;
    }
    End = Buffer.find("\r\n\r\n");
    if (End != std::string::npos)
      Length = contentLength(Buffer.substr(0, End + 2));
  }
  HttpRequest Request;
  const auto MethodEnd = Buffer.find(' ');
  Request.Method = Buffer.substr(0, MethodEnd);
  const std::string Target =
      Buffer.substr(MethodEnd + 1, Buffer.find(' ', MethodEnd + 1) - MethodEnd - 1);
  const auto Mark = Target.find('?');
  Request.Path = Target.substr(0, Mark);
  std::string Rest = Mark == std::string::npos ? "" : Target.substr(Mark + 1);
  while (!Rest.empty()) {
    const auto Amp = Rest.find('&');
    const std::string Pair = Rest.substr(0, Amp);
    const auto Equal = Pair.find('=');
    Request.Query[Pair.substr(0, Equal)] = decodePercent(Pair.substr(Equal + 1));
    Rest = Amp == std::string::npos ? "" : Rest.substr(Amp + 1);
  }
  Request.Body = Buffer.substr(End + 4, Length);
  const auto Response = Serve(Request);
  if (Response.Status != 0)
    sendAll(Connection, "HTTP/1.1 " + std::to_string(Response.Status) +
                            " Answer\r\nContent-Type: application/json\r\nConnection: close\r\n" +
                            "Content-Length: " + std::to_string(Response.Body.size()) + "\r\n\r\n" +
                            Response.Body);
  ::close(Connection);
}

// --- store

Store::Store(Endpoint Local)
    : Server(std::make_unique<HttpServer>(
          Local, [this](const HttpRequest &Request) { return serve(Request); })) {}

void Store::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard Guard(Lock);
  write(Key, Value, 0);
}

void Store::write(const std::string &Key, const std::string &Value, std::uint64_t LeaseId) {
  Item &Held = Items[Key];
  ++Revision;
  Held = {Value, Revision, Held.Created == 0 ? Revision : Held.Created, LeaseId};
  History.emplace_back(Revision, Key);
}

void Store::remove(const std::string &Key) {
  if (Items.erase(Key) > 0)
    History.emplace_back(++Revision, Key);
}

void Store::expireLeases() {
  for (auto It = Leases.begin(); It != Leases.end();) {
    if (It->second.End > Clock::now()) {
      ++It;
      continue;
    }
    std::vector<std::string> Gone;
    for (const auto &[Key, Held] : Items)
      if (Held.Lease == It->first)
        Gone.push_back(Key);
    for (const auto &Key : Gone)
      remove(Key);
    It = Leases.erase(It);
  }
}

std::string Store::itemText(const std::string &Key, const Item &Held) {
  return R"({"key":")" + Key + R"(","value":")" + encodeBase64(Held.Value) + R"(","revision":)" +
         std::to_string(Held.Revision) + R"(,"created":)" + std::to_string(Held.Created) +
         R"(,"lease":)" + std::to_string(Held.Lease) + "}";
}

HttpResponse Store::serve(const HttpRequest &Request) {
  sleepMs(4);
  if (Request.Path == "/-/kv-watch")
    return watch(Request);
  const std::lock_guard Guard(Lock);
  expireLeases();
  const auto Query = [&](const char *Name) {
    const auto It = Request.Query.find(Name);
    return It == Request.Query.end() ? std::string() : It->second;
  };
  if (Request.Path == "/-/kv-key") {
    const auto It = Items.find(Query("key"));
    return It == Items.end() ? HttpResponse{404, "{}"}
                             : HttpResponse{200, itemText(It->first, It->second)};
  }
  if (Request.Path == "/-/kv-range") {
    std::string Rows;
    for (const auto &[Key, Held] : Items)
      if (Key.starts_with(Query("prefix")) && Key > Query("after"))
        Rows += (Rows.empty() ? "" : ",") + itemText(Key, Held);
    return {200, R"({"items":[)" + Rows + R"(],"hasMore":false,"currentRev":)" +
                     std::to_string(Revision) + "}"};
  }
  if (Request.Path == "/-/kv-txn")
    return transact(Request.Body);
  if (Request.Path == "/-/kv-lease") {
    const int TtlMs = std::stoi(field(Request.Body, "ttlMs"));
    Leases[NextLease] = {Clock::now() + milliseconds(TtlMs), TtlMs};
    return {200, R"({"lease":)" + std::to_string(NextLease++) + R"(,"ttlMs":)" +
                     std::to_string(TtlMs) + "}"};
  }
  const std::string Keep = "/-/kv-keep/";
  const std::string LeaseEnd = "/-/kv-lease-end/";
  if (Request.Path.starts_with(Keep)) {
    const auto It = Leases.find(std::stoull(Request.Path.substr(Keep.size())));
    if (It == Leases.end())
      return {404, "{}"};
    It->second.End = Clock::now() + milliseconds(It->second.TtlMs);
    return {200, R"({"ttlMs":)" + std::to_string(It->second.TtlMs) + "}"};
  }
  if (Request.Path.starts_with(LeaseEnd)) {
    if (const auto It = Leases.find(std::stoull(Request.Path.substr(LeaseEnd.size())));
        It != Leases.end())
      It->second.End = Clock::now();
    expireLeases();
    return {200, "{}"};
  }
  return {404, "{}"};
}

HttpResponse Store::transact(const std::string &Body) {
  std::vector<std::string> Puts;
  const std::string PutText = array(Body, "puts");
  for (std::size_t At = 0; (At = PutText.find('{', At)) != std::string::npos; ++At)
    Puts.push_back(PutText.substr(At, PutText.find('}', At) - At + 1));
  const std::string Expected = array(Body, "expected");
  for (std::size_t At = 0; (At = Expected.find('{', At)) != std::string::npos; ++At) {
    const std::string Row = Expected.substr(At, Expected.find('}', At) - At + 1);
    const auto It = Items.find(field(Row, "key"));
    const std::uint64_t Now = It == Items.end() ? 0 : It->second.Revision;
    if (std::to_string(Now) != field(Row, "revision"))
      return {412, R"({"items":[]})"};
  }
  for (const auto &Put : Puts) {
    const auto LeaseId = std::stoull("0" + field(Put, "lease"));
    if (LeaseId != 0 && !Leases.contains(LeaseId))
      return {404, "{}"};
  }
  for (const auto &Put : Puts)
    write(field(Put, "key"), decodeBase64(field(Put, "value")),
          std::stoull("0" + field(Put, "lease")));
  const std::string Deleted = array(Body, "delete");
  for (std::size_t At = 0; (At = Deleted.find('"', At)) != std::string::npos;) {
    const auto End = Deleted.find('"', At + 1);
    remove(Deleted.substr(At + 1, End - At - 1));
    At = End + 1;
  }
  return {200, R"({"revision":)" + std::to_string(Revision) + "}"};
}

HttpResponse Store::watch(const HttpRequest &Request) {
  const std::string Prefix = Request.Query.at("prefix");
  const auto After = std::stoull(Request.Query.at("after"));
  const auto End = Clock::now() + milliseconds(std::stoi(Request.Query.at("waitMs")));
  while (true) {
    {
      const std::lock_guard Guard(Lock);
      expireLeases();
      std::string Events;
      for (const auto &[At, Key] : History) {
        if (At <= After || !Key.starts_with(Prefix))
          continue;
        const auto It = Items.find(Key);
        const std::string Event = It == Items.end()
                                      ? R"({"key":")" + Key + R"(","revision":)" +
                                            std::to_string(At) + R"(,"tombstone":true})"
                                      : itemText(Key, It->second);
        Events += (Events.empty() ? "" : ",") + Event;
      }
      if (!Events.empty() || Clock::now() >= End || Stopping)
        return {200,
                R"({"events":[)" + Events + R"(],"currentRev":)" + std::to_string(Revision) + "}"};
    }
    sleepMs(5);
  }
}

// --- hosts

Host::Host(Record &Notes, Place Where, std::string Service, std::string Id, int AheadMs)
    : Notes(Notes), Where(std::move(Where)), Service(std::move(Service)), Id(std::move(Id)),
      Born(wallMs() + AheadMs), Socket(std::make_unique<Udp>(this->Where.App)) {
  Notes.line("host " + this->Id + " (" + this->Service + ") starts at " + text(this->Where.App) +
             ", born " + std::to_string(Born));
  Packets = std::thread([this] { servePackets(); });
  CheckIns = std::thread([this] { sendCheckIns(); });
}

void Host::crash() {
  if (Stopping.exchange(true))
    return;
  Packets.join();
  CheckIns.join();
  Socket.reset();
  Notes.line("host " + Id + " (" + Service + ") has ended");
}

std::vector<Run> Host::runs() {
  const std::lock_guard Guard(Lock);
  return Runs;
}

bool Host::holds(Endpoint Client, Endpoint Route) {
  const std::lock_guard Guard(Lock);
  const auto It = Flows.find({Client, Route});
  return !Stopping && It != Flows.end() && It->second.Established && !It->second.Ended;
}

void Host::sendCheckIns() {
  int Sequence = 0;
  while (!Stopping) {
    const std::string Body =
        R"({"service":")" + Service + R"(","address":")" + text(Where.App) + R"(","zone":")" +
        Where.Zone + R"(","version":"v1","concurrencyLimit":)" + std::to_string(Slots) +
        R"(,"state":"ready","remainingColdMs":0,"sequence":)" + std::to_string(++Sequence) +
        R"(,"born":)" + std::to_string(Born) + "}";
    const auto Answer = httpCall(Where.Control, "PUT", "/-/instances/" + Id, Body, 1000);
    if (Answer.Status >= 200 && Answer.Status < 300)
      ++Acknowledged;
    else
      Notes.line("check-in " + std::to_string(Sequence) + " of " + Id + " isn't acknowledged");
    const auto Next = Clock::now() + milliseconds(HeartbeatMs);
    while (!Stopping && Clock::now() < Next)
      sleepMs(20);
  }
}

void Host::servePackets() {
  while (!Stopping) {
    if (const auto Received = Socket->receive(20)) {
      const std::lock_guard Guard(Lock);
      onPacket(Received->first);
    }
    const std::lock_guard Guard(Lock);
    retransmit();
  }
}

void Host::transmit(const Key &Of, Flow &Held, std::uint8_t Flags, const std::string &Data) {
  Packet Out{Flags, Held.Next, Held.Expected, Of.second, Of.first, Data};
  const Bytes Raw = Out.encode();
  Held.Next += static_cast<std::uint32_t>(Data.size()) + ((Flags & FlagFin) != 0 ? 1U : 0U);
  if (!Data.empty() || (Flags & FlagFin) != 0) {
    Held.Unacknowledged = Raw;
    Held.UnacknowledgedEnd = Held.Next;
    Held.Retransmissions = 0;
    Held.RetransmitAt = Clock::now() + milliseconds(200);
  }
  Socket->send(Raw, Where.Outbound);
}

void Host::retransmit() {
  for (auto &[Of, Held] : Flows) {
    if (Held.Unacknowledged.empty() || Clock::now() < Held.RetransmitAt ||
        Held.Retransmissions >= 8)
      continue;
    ++Held.Retransmissions;
    Held.RetransmitAt =
        Clock::now() + milliseconds(std::min(1600, 200 << std::min(Held.Retransmissions, 3)));
    Socket->send(Held.Unacknowledged, Where.Outbound);
  }
}

void Host::onPacket(const Bytes &Raw) {
  const auto In = Packet::decode(Raw);
  if (!In || !genuine(Raw)) {
    Notes.line("host " + Id + " got a packet that no client wrote");
    return;
  }
  const Key Of{In->Source, In->Destination};
  if ((In->Flags & FlagSyn) != 0) {
    auto It = Flows.find(Of);
    if (It != Flows.end() && It->second.ClientStart != In->Sequence) {
      Flows.erase(It);
      It = Flows.end();
    }
    if (It == Flows.end()) {
      const auto Start = static_cast<std::uint32_t>(
          std::hash<std::string>{}(Id + text(Of.first) + std::to_string(In->Sequence)));
      Notes.line("host " + Id + " (" + Service + ") takes a SYN from " + text(Of.first) +
                 " to route " + text(Of.second));
      Flow Made;
      Made.ClientStart = In->Sequence;
      Made.Start = Start;
      Made.Expected = In->Sequence + 1;
      Made.Next = Start + 1;
      Flows[Of] = std::move(Made);
    }
    const Flow &Held = Flows[Of];
    Socket->send(
        Packet{FlagSyn | FlagAck, Held.Start, Held.ClientStart + 1, Of.second, Of.first, ""}
            .encode(),
        Where.Outbound);
    return;
  }
  const auto It = Flows.find(Of);
  const bool Holds =
      It != Flows.end() && (It->second.Established || In->Acknowledgement == It->second.Start + 1);
  if (!Holds) {
    Bytes Returned = Raw;
    Returned[0] = static_cast<std::uint8_t>(Returned[0] | FlagBounced);
    std::fill_n(Returned.begin() + 1, 3, 0);
    Socket->send(Returned, Where.Outbound);
    return;
  }
  Flow &Held = It->second;
  Held.Established = true;
  if ((In->Flags & FlagRst) != 0) {
    Held.Ended = true;
    Held.Unacknowledged.clear();
    return;
  }
  if (!Held.Unacknowledged.empty() && !before(In->Acknowledgement, Held.UnacknowledgedEnd))
    Held.Unacknowledged.clear();
  const bool Fin = (In->Flags & FlagFin) != 0;
  if (In->Data.empty() && !Fin)
    return;
  if (In->Sequence != Held.Expected) {
    transmit(Of, Held, FlagAck, "");
    return;
  }
  Held.Expected += static_cast<std::uint32_t>(In->Data.size()) + (Fin ? 1U : 0U);
  if (Fin) {
    transmit(Of, Held, Held.Ended ? FlagAck : FlagAck | FlagFin, "");
    Held.Ended = true;
    return;
  }
  answer(Of, Held, In->Data);
}

void Host::answer(const Key &Of, Flow &Held, const std::string &Request) {
  const std::string Attempt = headerOf(Request, "X-Galenarelay-Attempt-Id");
  Runs.push_back({Attempt, Service, Id, Of.second});
  Notes.line("host " + Id + " (" + Service + ") runs " + Attempt + ", sent to route " +
             text(Of.second));
  const std::string Body = Attempt + " by " + Service;
  transmit(Of, Held, FlagAck,
           "HTTP/1.1 200 OK\r\nX-Galenarelay-Instance-Id: " + Id +
               "\r\nX-Galenarelay-Response-Signature: " + Attempt +
               "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

// --- clients

Client::Client(Record &Notes, std::uint32_t Address, std::uint16_t PacketPort,
               std::uint16_t FirstPort, Router Route)
    : Notes(Notes), Address(Address), FirstPort(FirstPort), RouteOf(std::move(Route)),
      Socket({Address, PacketPort}) {}

void Client::send(const Flow &Held, std::uint8_t Flags, const std::string &Data,
                  std::uint32_t Sequence) {
  Socket.send(Packet{Flags, Sequence, Held.Expected, Held.Self, Held.Route, Data}.encode(),
              RouteOf(Held.Self, Held.Route));
}

std::uint16_t Client::open(Endpoint Route, const std::string &Attempt, int BudgetMs) {
  std::uint16_t Port = FirstPort;
  for (auto It = Flows.find(Port); It != Flows.end() && It->second.Now != State::Ended;
       It = Flows.find(Port))
    ++Port;
  Random = Random * 1664525U + 1013904223U;
  Flow &Held = Flows[Port];
  Held = Flow{};
  Held.Self = {Address, Port};
  Held.Route = Route;
  Held.Start = Random;
  Held.Next = Random + 1;
  Held.OpenedAt = Clock::now();
  Held.Attempt = Attempt;
  Held.Busy = true;
  Held.Deadline = Clock::now() + milliseconds(BudgetMs);
  Notes.line("client " + text(Held.Self) + " opens a flow to route " + text(Route) + " for " +
             Attempt);
  sendSyn(Held);
  return Port;
}

void Client::ask(std::uint16_t Port, const std::string &Attempt, int BudgetMs) {
  Flow &Held = Flows.at(Port);
  Held.Attempt = Attempt;
  Held.Busy = true;
  Held.Last = End::None;
  Held.Answer.clear();
  Held.Deadline = Clock::now() + milliseconds(BudgetMs);
  Notes.line("client " + text(Held.Self) + " sends " + Attempt + " on its open flow");
  sendRequest(Held);
}

void Client::close(std::uint16_t Port) {
  Flow &Held = Flows.at(Port);
  if (Held.Now == State::Open)
    send(Held, FlagAck | FlagFin, "", Held.Next);
  Held.Now = State::Ended;
  Held.Unacknowledged.clear();
}

void Client::sendSyn(Flow &Held) {
  Socket.send(Packet{FlagSyn, Held.Start, Held.Copies++, Held.Self, Held.Route, ""}.encode(),
              RouteOf(Held.Self, Held.Route));
}

void Client::sendRequest(Flow &Held) {
  const std::string Body = "order of " + Held.Attempt;
  const std::string Text = "POST /orders HTTP/1.1\r\nHost: " + text(Held.Route) +
                           "\r\nX-Galenarelay-Attempt-Id: " + Held.Attempt +
                           "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  const auto Sequence = Held.Next;
  Held.Next += static_cast<std::uint32_t>(Text.size());
  Held.Unacknowledged =
      Packet{FlagAck, Sequence, Held.Expected, Held.Self, Held.Route, Text}.encode();
  Held.UnacknowledgedEnd = Held.Next;
  Held.Retransmissions = 0;
  Held.RetransmitAt = Clock::now() + milliseconds(200);
  Held.UsedAt = Clock::now();
  Socket.send(Held.Unacknowledged, RouteOf(Held.Self, Held.Route));
}

void Client::onPacket(const Bytes &Raw, Endpoint From) {
  const auto In = Packet::decode(Raw);
  if (!In || (!genuine(Raw) && !systemReset(Raw))) {
    Notes.line("client " + addressText(Address) + " got a packet that no host wrote");
    return;
  }
  const auto It = Flows.find(In->Destination.Port);
  if (It == Flows.end() || It->second.Route != In->Source)
    return;
  Flow &Held = It->second;
  if ((In->Flags & FlagRst) != 0) {
    const bool Open = Held.Now == State::Open;
    const bool Near = In->Sequence - Held.Expected + 76'800U <= 2 * 76'800U;
    if (Held.Now == State::Ended || (Open && !Near))
      return;
    Held.ResetBySystem = systemReset(Raw);
    Held.ResetFrom = From.Address;
    Notes.line("client " + text(Held.Self) + " gets a reset of its " +
               (Open ? "open" : "unopened") + " flow, " +
               (Held.ResetBySystem ? "made by the system, from " : "made by a host, from ") +
               addressText(From.Address) + (Held.Busy ? "; " + Held.Attempt + " waits" : ""));
    Held.Now = State::Ended;
    Held.Last = Open ? End::Reset : End::NotOpened;
    Held.Busy = false;
    Held.Unacknowledged.clear();
    if (Open && Held.ResetBySystem && OnSystemReset)
      OnSystemReset(Held);
    return;
  }
  if ((In->Flags & FlagSyn) != 0) {
    if (Held.Now == State::Opening && In->Acknowledgement == Held.Start + 1) {
      Held.Now = State::Open;
      Held.Expected = In->Sequence + 1;
      sendRequest(Held);
    }
    return;
  }
  if (Held.Now == State::Opening)
    return;
  if (!Held.Unacknowledged.empty() && !before(In->Acknowledgement, Held.UnacknowledgedEnd))
    Held.Unacknowledged.clear();
  const bool Fin = (In->Flags & FlagFin) != 0;
  if (In->Data.empty() && !Fin)
    return;
  if (In->Sequence == Held.Expected)
    Held.Expected += static_cast<std::uint32_t>(In->Data.size()) + (Fin ? 1U : 0U);
  send(Held, FlagAck, "", Held.Next + (Held.Now == State::Ended ? 1U : 0U));
  if (!In->Data.empty() && Held.Busy) {
    Held.Busy = false;
    Held.Last = End::Answered;
    Held.Answer = In->Data;
    Held.UsedAt = Clock::now();
    Notes.line("client " + text(Held.Self) + " gets the answer of " + Held.Attempt + ": " +
               In->Data.substr(In->Data.find("\r\n\r\n") + 4));
  }
}

void Client::onTimer() {
  const auto Now = Clock::now();
  for (auto &[Port, Held] : Flows) {
    if (Held.Now == State::Opening) {
      const auto Age = Now - Held.OpenedAt;
      if ((Held.Copies == 1 && Age >= milliseconds(200)) ||
          (Held.Copies == 2 && Age >= milliseconds(600)))
        sendSyn(Held);
      if (Age >= milliseconds(1400)) {
        Held.Now = State::Ended;
        Held.Last = End::NotOpened;
        Held.Busy = false;
        Notes.line("client " + text(Held.Self) + " gives up: the flow for " + Held.Attempt +
                   " has not opened");
      }
      continue;
    }
    if (Held.Now == State::Open && Held.Busy && Now >= Held.Deadline) {
      Held.Now = State::Ended;
      Held.Last = End::Deadline;
      Held.Busy = false;
      Held.Unacknowledged.clear();
      Notes.line("client " + text(Held.Self) + " gives up " + Held.Attempt + " at its time budget");
    }
    if (Held.Unacknowledged.empty() || Now < Held.RetransmitAt)
      continue;
    ++Held.Retransmissions;
    Held.RetransmitAt =
        Now + milliseconds(std::min(1600, 200 << std::min(Held.Retransmissions, 3)));
    Socket.send(Held.Unacknowledged, RouteOf(Held.Self, Held.Route));
  }
}

void Client::runFor(int Milliseconds, const std::function<bool()> &Done) {
  const auto Until = Clock::now() + milliseconds(Milliseconds);
  while (Clock::now() < Until && !(Done && Done())) {
    if (const auto Received = Socket.receive(10))
      onPacket(Received->first, Received->second);
    onTimer();
  }
}

// --- processes

Process::Process(std::string Binary, std::string Settings, std::string Log)
    : Binary(std::move(Binary)), Settings(std::move(Settings)), Log(std::move(Log)) {}

Process::~Process() { stop(); }

void Process::start() {
  Pid = ::fork();
  if (Pid != 0)
    return;
  // The process ends with this one, however that ends.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(Out, STDOUT_FILENO);
  ::dup2(Out, STDERR_FILENO);
  ::execl(Binary.c_str(), Binary.c_str(), "--config", Settings.c_str(), nullptr);
  ::_exit(127);
}

void Process::signal(int Number) const {
  if (Pid > 0)
    ::kill(Pid, Number);
}

void Process::stop() {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGCONT);
  ::kill(Pid, SIGKILL);
  ::waitpid(Pid, nullptr, 0);
  Pid = -1;
}

bool Process::running() {
  if (Pid > 0 && ::waitpid(Pid, nullptr, WNOHANG) == Pid)
    Pid = -1;
  return Pid > 0;
}

Deployment::Deployment(Record &Notes, int Frontends, std::vector<Side> Sides,
                       std::vector<Route> Routes)
    : Notes(Notes), Frontends(Frontends), Sides(std::move(Sides)), Routes(std::move(Routes)) {
  std::string Pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(Pattern.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  Folder = Pattern;
  const auto Base = static_cast<std::uint16_t>(20'000 + ::getpid() % 1000 * 10);
  PacketPort = Base;
  PeerPort = static_cast<std::uint16_t>(Base + 1);
  AdminPort = static_cast<std::uint16_t>(Base + 2);
  ControlPort = static_cast<std::uint16_t>(Base + 3);
  ReadyPort = static_cast<std::uint16_t>(Base + 4);
  OutboundPort = static_cast<std::uint16_t>(Base + 5);
  AppPort = static_cast<std::uint16_t>(Base + 6);
  StorePort = static_cast<std::uint16_t>(Base + 7);
  // Another run on this machine may use the same addresses.
  for (Net = 60; Kept == nullptr; ++Net) {
    try {
      Kept =
          std::make_unique<Store>(Endpoint{(127U << 24) + (Net << 16) + (4U << 8) + 1, StorePort});
      break;
    } catch (const std::runtime_error &) {
      if (Net == 200)
        throw;
    }
  }
}

Deployment::~Deployment() {
  Hosts.clear();
  Former.clear();
  Agents.clear();
  Balancers.clear();
  Kept.reset();
  if (const char *Keep = std::getenv("KEEP"); Keep == nullptr)
    std::filesystem::remove_all(Folder);
  else
    std::printf("logs: %s\n", Folder.c_str());
}

Endpoint Deployment::frontendAddress(std::size_t Number, std::uint16_t Port) const {
  return {(127U << 24) + (Net << 16) + (1U << 8) + 1 + static_cast<std::uint32_t>(Number), Port};
}

Endpoint Deployment::agentAddress(std::size_t Side, std::uint16_t Port) const {
  return {(127U << 24) + (Net << 16) + (2U << 8) + 1 + static_cast<std::uint32_t>(Side), Port};
}

std::uint32_t Deployment::clientAddress(std::size_t Number) const {
  return (127U << 24) + (Net << 16) + (3U << 8) + 1 + static_cast<std::uint32_t>(Number);
}

std::string Deployment::nodeSettings(const std::string &Id, const std::string &Zone,
                                     std::uint32_t Address) const {
  const auto At = [&](std::uint16_t Port) { return text(Endpoint{Address, Port}); };
  std::string Seeds;
  for (int I = 0; I < std::min(Frontends, 3); ++I)
    Seeds += (I == 0 ? "" : ",") + text(frontendAddress(static_cast<std::size_t>(I), ControlPort));
  return "[node]\nid = " + Id + "\nzone = " + Zone + "\npackets = " + At(PacketPort) +
         "\npeers = " + At(PeerPort) + "\nadmin = " + At(AdminPort) +
         "\ncontrol = " + At(ControlPort) + "\nreadiness = " + At(ReadyPort) +
         "\nseeds = " + Seeds + "\n\n[store]\naddress = " +
         text(Endpoint{(127U << 24) + (Net << 16) + (4U << 8) + 1, StorePort}) + "\n";
}

void Deployment::writeBalancerSettings(std::size_t Number) const {
  std::ofstream(Folder + "/front-" + std::to_string(Number) + ".ini")
      << nodeSettings("front-" + std::to_string(Number), "zone-" + std::to_string(Number % 3),
                      frontendAddress(Number, 0).Address);
}

void Deployment::writeAgentSettings(std::size_t Side, const std::string &Service) const {
  std::ofstream(Folder + "/side-" + std::to_string(Side) + ".ini")
      << nodeSettings("side-" + std::to_string(Side), Sides[Side].Zone,
                      agentAddress(Side, 0).Address)
      << "\n[upstream]\nservice = " << Service
      << "\naddress = " << text(agentAddress(Side, AppPort))
      << "\noutbound = " << text(agentAddress(Side, OutboundPort))
      << "\nheartbeat_ms = " << Host::HeartbeatMs << "\n";
}

Host &Deployment::startHost(std::size_t Side, const std::string &Service, int AheadMs) {
  if (Hosts.size() <= Side)
    Hosts.resize(Side + 1);
  if (Hosts[Side])
    Former.push_back(std::move(Hosts[Side]));
  Hosts[Side] = std::make_unique<Host>(
      Notes,
      Host::Place{agentAddress(Side, AppPort), agentAddress(Side, OutboundPort),
                  agentAddress(Side, ControlPort), Sides[Side].Zone},
      Service, "i-" + std::to_string(Side) + "-" + std::to_string(++Lives), AheadMs);
  return *Hosts[Side];
}

bool Deployment::start() {
  std::string RouteText;
  std::set<std::string> Services;
  for (const auto &Each : Routes) {
    RouteText += (RouteText.empty() ? "" : ",") + std::string(R"({"name":")") + Each.Name +
                 R"(","hostname":")" + addressText(Each.Address.Address) + R"(","prefix":"/)" +
                 std::to_string(Each.Address.Port) + R"(/","service":")" + Each.Service +
                 R"(","type":")" + Each.Type +
                 R"(","timeoutMs":4000,"targetLatencyMs":250,"priority":1,"maxAttempts":3})";
    Services.insert(Each.Service);
  }
  std::string ServiceText;
  for (const auto &Name : Services)
    ServiceText += (ServiceText.empty() ? "" : ",") + std::string(R"({"name":")") + Name +
                   R"(","healthPath":"/health","maxConns":2000})";
  Kept->put("op/config", R"({"version":3,"routes":[)" + RouteText + R"(],"services":[)" +
                             ServiceText + R"(],"limits":{"idleTimeoutMs":12000}})");
  for (int I = 0; I < Frontends; ++I) {
    const std::string Name = Folder + "/front-" + std::to_string(I);
    writeBalancerSettings(static_cast<std::size_t>(I));
    Balancers.push_back(std::make_unique<Process>("target/galenarelay-relay-balancer",
                                                  Name + ".ini", Name + ".log"));
    Balancers.back()->start();
  }
  for (std::size_t I = 0; I < Sides.size(); ++I) {
    const std::string Name = Folder + "/side-" + std::to_string(I);
    writeAgentSettings(I, Sides[I].Service);
    Agents.push_back(
        std::make_unique<Process>("target/galenarelay-relay-agent", Name + ".ini", Name + ".log"));
    Agents.back()->start();
  }
  sleepMs(1000);
  for (std::size_t I = 0; I < Sides.size(); ++I)
    if (!Sides[I].Late)
      startHost(I, Sides[I].Service);
  const auto Limit = Clock::now() + std::chrono::seconds(15);
  for (std::size_t I = 0; I < Balancers.size();) {
    if (httpCall(frontendAddress(I, ReadyPort), "GET", "/-/ready", "", 400).Status == 200)
      ++I;
    else if (Clock::now() > Limit)
      return false;
    else
      sleepMs(100);
  }
  for (const auto &Each : Hosts)
    while (Each && Each->acknowledged() == 0) {
      if (Clock::now() > Limit)
        return false;
      sleepMs(20);
    }
  // Traffic starts 10 s after the machines do.
  sleepMs(8000);
  return allRunning();
}

std::vector<Run> Deployment::runs() {
  std::vector<Run> All;
  for (const auto *Group : {&Former, &Hosts})
    for (const auto &Each : *Group) {
      const auto Some = Each ? Each->runs() : std::vector<Run>{};
      All.insert(All.end(), Some.begin(), Some.end());
    }
  return All;
}

Router Deployment::router() const {
  return [this](Endpoint Client, Endpoint Route) {
    const auto Hash = Client.Address + Client.Port + Route.Address + Route.Port;
    return frontendAddress(Hash % static_cast<std::uint32_t>(Frontends), PacketPort);
  };
}

bool Deployment::allRunning() {
  bool All = true;
  for (const auto *Group : {&Balancers, &Agents})
    for (const auto &Each : *Group)
      All = Each->running() && All;
  return All;
}

} // namespace lab
