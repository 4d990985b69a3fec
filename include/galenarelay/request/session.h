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

/// A request is ready to be queued: its body is complete or fills the buffer.
struct RequestReady {
  RequestHead Head;
  std::string Body;
  bool Complete = true; ///< False: the rest of the body follows as BodyPart events.

  friend bool operator==(const RequestReady &, const RequestReady &) = default;
};

/// More of the body of the request that was reported as not complete.
struct BodyPart {
  std::string Bytes;
  bool Last = false;

  friend bool operator==(const BodyPart &, const BodyPart &) = default;
};

/// The body of a request that was already reported is malformed or ended too early.
struct RequestBroken {
  friend bool operator==(const RequestBroken &, const RequestBroken &) = default;
};

/// The caller sends no more requests; the request in progress, if any, is still answered.
struct CallerFinished {
  friend bool operator==(const CallerFinished &, const CallerFinished &) = default;
};

using SessionEvent = std::variant<RequestReady, BodyPart, RequestBroken, CallerFinished>;

/// The server side of HTTP/1.1 on the bytes of one flow. One request is in progress at a time;
/// pipelined requests wait as bytes, so they are answered in order.
/// Example: `S.onBytes(Stream.read()); for (auto &E : S.takeEvents()) handle(E);`
class Session {
public:
  /// A request's body is buffered up to this size before the request is reported.
  static constexpr std::size_t MaxBufferedBody = 256 * 1024;
  /// Largest request line plus headers; above it the request gets 400.
  static constexpr std::size_t MaxHeadBytes = 16 * 1024;

  Session();
  ~Session();
  Session(Session &&) noexcept;
  Session &operator=(Session &&) noexcept;

  /// True if onBytes may be called; false while a complete request waits for its answer.
  [[nodiscard]] bool wantsBytes() const noexcept;
  /// True while no request, not even a part of one, is in progress.
  [[nodiscard]] bool idle() const noexcept;
  /// True while a reported request waits for the end of its answer.
  [[nodiscard]] bool answerDue() const noexcept;
  /// True once the first byte of the current answer's head was written.
  [[nodiscard]] bool answerStarted() const noexcept;
  /// True once no further request is read; the flow ends when the output is sent.
  [[nodiscard]] bool finished() const noexcept;
  /// Bytes of answers that takeOutput would return.
  [[nodiscard]] std::size_t pendingOutput() const noexcept;
  /// Bytes of memory held by buffers.
  [[nodiscard]] std::size_t memoryBytes() const noexcept;

  /// Takes bytes from the caller.
  void onBytes(std::span<const std::uint8_t> Bytes);
  /// The caller closed its direction.
  void onCallerFinished();
  /// Returns and removes the events so far.
  [[nodiscard]] std::vector<SessionEvent> takeEvents();

  /// The next answer carries "Connection: close" and is the last one.
  void closeAfterAnswer() noexcept;
  /// Ends an idle session without a further answer.
  void close() noexcept;
  /// Writes a whole answer to the request in progress.
  void answer(const Answer &Whole);
  /// Starts an answer whose body follows in parts.
  void startAnswer(const ResponseHead &Head);
  void answerData(std::span<const std::uint8_t> Bytes);
  void finishAnswer();
  /// Returns and removes up to Limit bytes to send to the caller.
  [[nodiscard]] std::vector<std::uint8_t> takeOutput(std::size_t Limit);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace galenarelay::request

#endif // GALENARELAY_REQUEST_SESSION_H
