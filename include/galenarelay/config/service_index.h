#ifndef GALENARELAY_CONFIG_SERVICE_INDEX_H
#define GALENARELAY_CONFIG_SERVICE_INDEX_H

#include "galenarelay/config/selector.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace galenarelay::config {

/// The parsed selectors of all services. A selector that requires one of a set of values of an
/// operator label is indexed by these values, so that a lookup evaluates only selectors that can
/// match. Example: `BOOST_LEAF_AUTO(Index, ServiceIndex::build(Document.Services));`
class ServiceIndex {
public:
  /// Parses all selectors. Errors: SelectorSyntax, with the service's name in the detail.
  [[nodiscard]] static common::Result<ServiceIndex>
  build(const std::map<ServiceName, Service> &Services);

  /// Returns the services whose selector matches an upstream, sorted by name.
  [[nodiscard]] std::vector<ServiceName>
  servicesFor(const Labels &OperatorLabels, std::string_view Id, std::string_view Zone) const;
  /// Returns all values that selectors compare a label with, sorted, without duplicates.
  [[nodiscard]] std::vector<std::string> valuesForKey(std::string_view Key) const;
  /// Tells whether any selector has a term for a label.
  [[nodiscard]] bool usesKey(std::string_view Key) const noexcept;

private:
  struct IndexedService {
    ServiceName Name;
    Selector ParsedSelector;
  };

  std::vector<IndexedService> Indexed; ///< Sorted by name.
  /// Positions in Indexed by required label and value.
  std::map<std::pair<std::string, std::string>, std::vector<std::size_t>> ByRequiredLabel;
  /// Positions in Indexed of the selectors that require no value of an operator label.
  std::vector<std::size_t> WithoutRequiredLabel;
};

} // namespace galenarelay::config

#endif // GALENARELAY_CONFIG_SERVICE_INDEX_H
