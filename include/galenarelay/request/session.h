#ifndef GALENARELAY_REQUEST_SESSION_H
#define GALENARELAY_REQUEST_SESSION_H

#include "galenarelay/request/message.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace galenarelay::request {

/// A request can be queued: its body is complete or has reached Session::MaxBufferedBody.
struct RequestReady {
  RequestHead Head;
  std::string Body;
  bool Complete = true; ///< False: the rest of the body follows as BodyPart events.

  friend bool operator==(const RequestReady &, const RequestReady &) = default;
};

/// A further part of the body of a request whose RequestReady event was not complete.
struct BodyPart {
  std::string Bytes;
  bool Last = false;

  friend bool operator==(const BodyPart &, const BodyPart &) = default;
};

/// The body of a request whose RequestReady event was not complete is malformed or ended early.
struct RequestBodyInvalid {
  friend bool operator==(const RequestBodyInvalid &, const RequestBodyInvalid &) = default;
};

/// The caller sends no more bytes. A request in progress still gets its response.
struct CallerClosed {
  friend bool operator==(const CallerClosed &, const CallerClosed &) = default;
};

using SessionEvent = std::variant<RequestReady, BodyPart, RequestBodyInvalid, CallerClosed>;

/// Server side of an HTTP/1.0 or HTTP/1.1 connection over the byte stream of one flow. One request
/// is in progress at a time; a pipelined request stays unparsed until the response before it is
/// complete, so responses keep the order of the requests.
///
/// Example: `S.onBytes(Stream.read()); for (auto &E : S.takeEvents()) handle(E);`
class Session {
public:
  /// Body bytes that are buffered before an incomplete request is reported.
  static constexpr std::size_t MaxBufferedBody = 256 * 1024;
  /// Largest request line plus header fields, in bytes. A larger head gets a 400 response.
  static constexpr std::size_t MaxHeadBytes = 16 * 1024;

  Session();
  ~Session();
  Session(Session &&) noexcept;
  Session &operator=(Session &&) noexcept;

  /// True if onBytes may be called; false while a complete request waits for its response.
  [[nodiscard]] bool wantsBytes() const noexcept;
  /// True if no request is in progress and no byte of a further one has arrived.
  [[nodiscard]] bool idle() const noexcept;
  /// True while a reported request has not got its whole response.
  [[nodiscard]] bool awaitsResponse() const noexcept;
  /// True from the start of the current response until its end.
  [[nodiscard]] bool responseStarted() const noexcept;
  /// True once no further request is read. The flow ends when the pending output is sent.
  [[nodiscard]] bool finished() const noexcept;
  /// Number of bytes that wait for takeOutput.
  [[nodiscard]] std::size_t pendingOutput() const noexcept;
  /// Capacity of the input, output and body buffers, in bytes.
  [[nodiscard]] std::size_t memoryBytes() const noexcept;

  /// Parses bytes that the caller sent; ignored once the session is finished.
  void onBytes(std::span<const std::uint8_t> Bytes);
  /// Handles the end of the byte stream from the caller (FIN).
  void onCallerClosed();
  /// Returns and removes the pending events.
  [[nodiscard]] std::vector<SessionEvent> takeEvents();

  /// Makes the next response to start the last one; it carries "Connection: close".
  void closeAfterResponse() noexcept;
  /// Ends an idle session without a further response.
  void close() noexcept;
  /// Writes a whole response to the request in progress.
  void respond(const Answer &Response);
  /// Writes the head of a response. writeResponseBody adds parts of its body, finishResponse ends
  /// it.
  void startResponse(const ResponseHead &Head);
  void writeResponseBody(std::span<const std::uint8_t> Bytes);
  void finishResponse();
  /// Returns and removes up to Limit bytes to send to the caller.
  [[nodiscard]] std::vector<std::uint8_t> takeOutput(std::size_t Limit);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace galenarelay::request

#endif // GALENARELAY_REQUEST_SESSION_H
