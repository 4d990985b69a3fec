#ifndef GALENARELAY_TESTS_CONFIG_FIXTURE_H
#define GALENARELAY_TESTS_CONFIG_FIXTURE_H

#include "galenarelay/config/edit.h"
#include "galenarelay/config/store_client.h"
#include "galenarelay/membership/member.h"
#include "galenarelay/standins/store/store.h"

#include <string>
#include <vector>

namespace galenarelay::tests {

/// Builds a request for the in-process store from a method and target. Doesn't percent-decode: the
/// tests use no target that needs it.
inline common::HttpRequest toRequest(const std::string &Method, const std::string &Target,
                                     const std::string &Body = "") {
  common::HttpRequest Request{Method, Target.substr(0, Target.find('?')), {}, Body};
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    const std::size_t End = Target.find('&', At + 1);
    const std::string Pair = Target.substr(At + 1, End == std::string::npos ? End : End - At - 1);
    const std::size_t Equal = Pair.find('=');
    Request.Query[Pair.substr(0, Equal)] = Pair.substr(Equal + 1);
    At = End;
  }
  return Request;
}

/// Transport to the in-process store; each call and pause advances the simulated clock.
struct DirectTransport {
  standins::store::Store *Target;
  common::TimePoint *Now;

  common::Outcome<common::HttpResponse> call(const std::string &Method, const std::string &Path,
                                             const std::string &Body) {
    *Now += std::chrono::milliseconds(1);
    common::HttpResponse Answer = Target->handle(toRequest(Method, Path, Body), *Now);
    if (Answer.Status == common::NoAnswer)
      return {std::nullopt, {common::ResultCode::RequestOutcomeUnknown, "the answer is lost"}};
    return {std::move(Answer), {}};
  }

  void pause(std::uint32_t) { *Now += std::chrono::milliseconds(20); }
};

/// Document with services desk and warranty, each of which selects one labelled upstream.
inline config::Configuration deskAndWarranty() {
  config::Configuration Value;
  Value.Services["desk"] = {{0x0a010001, 80}, "role=desk", std::chrono::seconds(10)};
  Value.Services["warranty"] = {{0x0a010002, 80}, "role=warranty", std::chrono::seconds(10)};
  Value.UpstreamLabels["u1"] = {{"role", "desk"}};
  Value.UpstreamLabels["u2"] = {{"role", "warranty"}};
  return Value;
}

/// The two upstreams with labels in deskAndWarranty and two without.
inline std::vector<config::AnnouncedUpstream> fourAnnounced() {
  return {{"u1", "a"}, {"u2", "b"}, {"u3", "a"}, {"u4", "c"}};
}

/// Writes the member records of the given upstreams into the store.
inline void announce(standins::store::Store &Target, common::TimePoint Now,
                     const std::vector<config::AnnouncedUpstream> &Upstreams) {
  for (const config::AnnouncedUpstream &Each : Upstreams) {
    membership::Member Record;
    Record.Id = Each.Id;
    Record.Zone = Each.Zone;
    static_cast<void>(Target.handle(
        toRequest("PUT", "/v1/kv/members/" + Each.Id + "?version=0", toJson(Record).dump()), Now));
  }
}

} // namespace galenarelay::tests

#endif // GALENARELAY_TESTS_CONFIG_FIXTURE_H
