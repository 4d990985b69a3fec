#ifndef GALENARELAY_CONFIG_SERVICE_INDEX_H
#define GALENARELAY_CONFIG_SERVICE_INDEX_H

#include "galenarelay/config/selector.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace galenarelay::config {

/// Parsed selectors of all services, indexed by a label value that each requires.
/// Example: `BOOST_LEAF_AUTO(Index, ServiceIndex::build(Document.Services));`
class ServiceIndex {
public:
  /// Parses all selectors. Errors: SelectorSyntax, naming the service.
  [[nodiscard]] static common::Result<ServiceIndex>
  build(const std::map<ServiceName, Service> &Services);

  /// Services whose selector matches, sorted by name.
  [[nodiscard]] std::vector<ServiceName>
  servicesFor(const Labels &OperatorLabels, std::string_view Id, std::string_view Zone) const;
  /// Values that any selector compares a label with, sorted, without duplicates.
  [[nodiscard]] std::vector<std::string> valuesOf(std::string_view Key) const;
  /// Tells whether any selector has a term on a label.
  [[nodiscard]] bool mentions(std::string_view Key) const noexcept;

private:
  struct Parsed {
    ServiceName Name;
    Selector Terms;
  };

  std::vector<Parsed> All;
  std::map<std::pair<std::string, std::string>, std::vector<std::size_t>> ByLabel;
  std::vector<std::size_t> Others; ///< Selectors that require no operator label's value.
};

} // namespace galenarelay::config

#endif // GALENARELAY_CONFIG_SERVICE_INDEX_H
