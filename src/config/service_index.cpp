#include "galenarelay/config/service_index.h"

#include <algorithm>

namespace galenarelay::config {

using common::capture;
using common::fail;
using common::Result;

namespace {

/// Returns the first term that requires one of a set of values of an operator label; null if there
/// is none. Only upstreams with such a label can match the selector.
const SelectorTerm *requiredTerm(const Selector &Parsed) {
  const auto &Terms = Parsed.terms();
  const auto Position = std::find_if(Terms.begin(), Terms.end(), [](const SelectorTerm &Term) {
    return Term.Kind == TermKind::In && Term.Key != IdLabel && Term.Key != ZoneLabel;
  });
  return Position == Terms.end() ? nullptr : &*Position;
}

} // namespace

Result<ServiceIndex> ServiceIndex::build(const std::map<ServiceName, Service> &Services) {
  ServiceIndex Index;
  for (const auto &[Name, Definition] : Services) {
    const std::string &Text = Definition.Selector;
    auto ParsedSelector = capture([&] { return Selector::parse(Text); });
    if (!ParsedSelector)
      return fail(ParsedSelector.Failure.Code,
                  "service " + Name + ": " + ParsedSelector.Failure.Detail);
    Index.Indexed.push_back({Name, std::move(*ParsedSelector)});
  }
  for (std::size_t Position = 0; Position < Index.Indexed.size(); ++Position) {
    const SelectorTerm *Required = requiredTerm(Index.Indexed[Position].ParsedSelector);
    if (Required == nullptr) {
      Index.WithoutRequiredLabel.push_back(Position);
      continue;
    }
    for (const std::string &Value : Required->Values)
      Index.ByRequiredLabel[{Required->Key, Value}].push_back(Position);
  }
  return Index;
}

std::vector<ServiceName> ServiceIndex::servicesFor(const Labels &OperatorLabels,
                                                   std::string_view Id,
                                                   std::string_view Zone) const {
  std::vector<ServiceName> Names;
  const auto AddMatching = [&](const std::vector<std::size_t> &Positions) {
    for (const std::size_t Position : Positions)
      if (Indexed[Position].ParsedSelector.matches(OperatorLabels, Id, Zone))
        Names.push_back(Indexed[Position].Name);
  };
  for (const auto &Label : OperatorLabels) {
    const auto Entry = ByRequiredLabel.find(Label);
    if (Entry != ByRequiredLabel.end())
      AddMatching(Entry->second);
  }
  AddMatching(WithoutRequiredLabel);
  std::sort(Names.begin(), Names.end());
  return Names;
}

std::vector<std::string> ServiceIndex::valuesForKey(std::string_view Key) const {
  std::vector<std::string> Values;
  for (const IndexedService &Candidate : Indexed)
    for (const SelectorTerm &Term : Candidate.ParsedSelector.terms())
      if (Term.Key == Key)
        Values.insert(Values.end(), Term.Values.begin(), Term.Values.end());
  std::sort(Values.begin(), Values.end());
  Values.erase(std::unique(Values.begin(), Values.end()), Values.end());
  return Values;
}

bool ServiceIndex::usesKey(std::string_view Key) const noexcept {
  return std::any_of(Indexed.begin(), Indexed.end(), [&](const IndexedService &Candidate) {
    const auto &Terms = Candidate.ParsedSelector.terms();
    return std::any_of(Terms.begin(), Terms.end(),
                       [&](const SelectorTerm &Term) { return Term.Key == Key; });
  });
}

} // namespace galenarelay::config
