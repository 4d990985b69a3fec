#include "galenarelay/config/service_index.h"

#include <algorithm>

namespace galenarelay::config {

using common::capture;
using common::fail;
using common::Result;

namespace {

/// A term that only upstreams with one of its operator label's values can match.
const SelectorTerm *requiredTerm(const Selector &Terms) {
  const auto &All = Terms.terms();
  const auto Found = std::find_if(All.begin(), All.end(), [](const SelectorTerm &Term) {
    return Term.Kind == TermKind::In && Term.Key != IdLabel && Term.Key != ZoneLabel;
  });
  return Found == All.end() ? nullptr : &*Found;
}

} // namespace

Result<ServiceIndex> ServiceIndex::build(const std::map<ServiceName, Service> &Services) {
  ServiceIndex Index;
  for (const auto &[Name, Definition] : Services) {
    const std::string &Text = Definition.Selector;
    auto Terms = capture([&] { return Selector::parse(Text); });
    if (!Terms)
      return fail(Terms.Failure.Code, "service " + Name + ": " + Terms.Failure.Detail);
    Index.All.push_back({Name, std::move(*Terms)});
  }
  for (std::size_t I = 0; I < Index.All.size(); ++I) {
    const SelectorTerm *Required = requiredTerm(Index.All[I].Terms);
    if (Required == nullptr) {
      Index.Others.push_back(I);
      continue;
    }
    for (const std::string &Value : Required->Values)
      Index.ByLabel[{Required->Key, Value}].push_back(I);
  }
  return Index;
}

std::vector<ServiceName> ServiceIndex::servicesFor(const Labels &OperatorLabels,
                                                   std::string_view Id,
                                                   std::string_view Zone) const {
  std::vector<ServiceName> Names;
  const auto AddMatching = [&](const std::vector<std::size_t> &Positions) {
    for (const std::size_t I : Positions)
      if (All[I].Terms.matches(OperatorLabels, Id, Zone))
        Names.push_back(All[I].Name);
  };
  for (const auto &Label : OperatorLabels) {
    const auto Found = ByLabel.find(Label);
    if (Found != ByLabel.end())
      AddMatching(Found->second);
  }
  AddMatching(Others);
  std::sort(Names.begin(), Names.end());
  return Names;
}

std::vector<std::string> ServiceIndex::valuesOf(std::string_view Key) const {
  std::vector<std::string> Values;
  for (const Parsed &Each : All)
    for (const SelectorTerm &Term : Each.Terms.terms())
      if (Term.Key == Key)
        Values.insert(Values.end(), Term.Values.begin(), Term.Values.end());
  std::sort(Values.begin(), Values.end());
  Values.erase(std::unique(Values.begin(), Values.end()), Values.end());
  return Values;
}

bool ServiceIndex::mentions(std::string_view Key) const noexcept {
  return std::any_of(All.begin(), All.end(), [&](const Parsed &Each) {
    const auto &Terms = Each.Terms.terms();
    return std::any_of(Terms.begin(), Terms.end(),
                       [&](const SelectorTerm &Term) { return Term.Key == Key; });
  });
}

} // namespace galenarelay::config
