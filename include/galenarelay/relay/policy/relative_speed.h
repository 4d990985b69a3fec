#ifndef GALENARELAY_RELAY_POLICY_RELATIVE_SPEED_H
#define GALENARELAY_RELAY_POLICY_RELATIVE_SPEED_H

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace galenarelay::relay::policy {

/// Weight of a new figure in the usual answer time of a service: the figures of some ten upstreams.
inline constexpr double UsualTimeWeight = 0.1;
/// Bounds of an answer time relative to the usual one of the service. An upstream that answers with
/// errors at once doesn't attract more than three times its share; a slow one goes on to get some
/// requests, which show when it is fast again.
inline constexpr double MinRelativeTime = 1.0 / 3;
inline constexpr double MaxRelativeTime = 10;

/// Compares answer times of the upstreams of a service. Times are in any unit; 0 is unknown.
class RelativeSpeed {
public:
  void note(const std::string &Service, std::uint32_t AnswerTime) {
    if (AnswerTime == 0)
      return;
    const auto [It, Added] = UsualTimes.try_emplace(Service, AnswerTime);
    if (!Added)
      It->second += UsualTimeWeight * (AnswerTime - It->second);
  }
  /// The answer time as a factor of the usual one; 1 if either is unknown.
  [[nodiscard]] double relative(const std::string &Service, std::uint32_t AnswerTime) const {
    const auto It = UsualTimes.find(Service);
    if (It == UsualTimes.end() || AnswerTime == 0)
      return 1;
    return std::clamp(AnswerTime / It->second, MinRelativeTime, MaxRelativeTime);
  }

private:
  std::unordered_map<std::string, double> UsualTimes;
};

} // namespace galenarelay::relay::policy

#endif // GALENARELAY_RELAY_POLICY_RELATIVE_SPEED_H
