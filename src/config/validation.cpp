#include "galenarelay/config/validation.h"

#include "galenarelay/config/selector.h"
#include "galenarelay/config/service_index.h"

#include <map>
#include <set>

namespace galenarelay::config {

using common::fail;
using common::Result;
using common::ResultCode;

namespace {

/// Stands for every upstream ID or zone that no selector mentions. It isn't a valid name, so it
/// can't equal a real one.
constexpr const char *UnmentionedName = "?";

const Labels &labelsOf(const Configuration &Document, const UpstreamId &Id) {
  static const Labels NoLabels;
  const auto Position = Document.UpstreamLabels.find(Id);
  return Position == Document.UpstreamLabels.end() ? NoLabels : Position->second;
}

Result<void> checkUniqueAddresses(const Configuration &After) {
  std::map<std::string, ServiceName> Owners;
  for (const auto &[Name, Definition] : After.Services) {
    const std::string Address = common::toString(Definition.Address);
    const auto [Owner, Added] = Owners.emplace(Address, Name);
    if (!Added)
      return fail(ResultCode::ServiceAddressInUse,
                  Address + " is already used by service " + Owner->second);
  }
  return {};
}

/// Checks that no upstream is selected by two services. Covers every upstream that can exist: those
/// with labels, those that a selector names by ID and one for all others, each in every zone that a
/// selector can tell apart. The result therefore holds for upstreams that announce themselves after
/// the edit, and doesn't depend on which ones have done so.
Result<void> checkUpstreamOverlap(const Configuration &After, const ServiceIndex &Index) {
  std::set<std::string> Ids{UnmentionedName};
  for (const std::string &Id : Index.valuesForKey(IdLabel))
    Ids.insert(Id);
  for (const auto &UpstreamEntry : After.UpstreamLabels)
    Ids.insert(UpstreamEntry.first);
  std::vector<std::string> Zones{""};
  if (Index.usesKey(ZoneLabel)) {
    Zones = Index.valuesForKey(ZoneLabel);
    Zones.insert(Zones.end(), {"", UnmentionedName});
  }
  for (const std::string &Id : Ids) {
    for (const std::string &Zone : Zones) {
      const auto Names = Index.servicesFor(labelsOf(After, Id), Id, Zone);
      if (Names.size() < 2)
        continue;
      const std::string UpstreamText =
          Id == UnmentionedName ? "an upstream without labels" : "upstream " + Id;
      const std::string ZoneText = Zone.empty()              ? ""
                                   : Zone == UnmentionedName ? " in any other zone"
                                                             : " in zone " + Zone;
      return fail(ResultCode::UpstreamOverlap, "services " + Names[0] + " and " + Names[1] +
                                                   " would both select " + UpstreamText + ZoneText);
    }
  }
  return {};
}

using UpstreamCounts = std::map<ServiceName, std::size_t>;

UpstreamCounts countUpstreams(const Configuration &Document, const ServiceIndex &Index,
                              const std::map<UpstreamId, std::string> &ZoneById) {
  UpstreamCounts Counts;
  for (const auto &[Id, Zone] : ZoneById)
    for (const ServiceName &Name : Index.servicesFor(labelsOf(Document, Id), Id, Zone))
      ++Counts[Name];
  return Counts;
}

/// Rejects an edit by which a service loses its last upstream. If RequireForChanged, also rejects a
/// new selector that matches no upstream. A service that had no upstream before and isn't changed
/// doesn't block other edits.
Result<void> checkServicesKeepUpstreams(const Configuration &Before, const Configuration &After,
                                        const UpstreamCounts &CountsBefore,
                                        const UpstreamCounts &CountsAfter, bool RequireForChanged) {
  for (const auto &[Name, Definition] : After.Services) {
    if (CountsAfter.contains(Name))
      continue;
    const auto Previous = Before.Services.find(Name);
    const bool Changed =
        Previous == Before.Services.end() || Previous->second.Selector != Definition.Selector;
    if (CountsBefore.contains(Name) || (Changed && RequireForChanged))
      return fail(ResultCode::ServiceWithoutUpstream, "service " + Name +
                                                          " would select no upstream (selector '" +
                                                          Definition.Selector + "')");
  }
  return {};
}

/// Checks that services keep an upstream, first among the announced upstreams, then among those
/// that are announced or have labels. Neither check is enough alone: the member record of an
/// upstream is absent for a moment while it restarts, and an upstream with labels may have gone for
/// good.
Result<void> checkUpstreams(const Configuration &Before, const Configuration &After,
                            const ServiceIndex &IndexBefore, const ServiceIndex &IndexAfter,
                            const std::vector<AnnouncedUpstream> &Announced) {
  std::map<UpstreamId, std::string> ZoneById;
  for (const AnnouncedUpstream &Upstream : Announced)
    ZoneById.emplace(Upstream.Id, Upstream.Zone);
  BOOST_LEAF_CHECK(checkServicesKeepUpstreams(Before, After,
                                              countUpstreams(Before, IndexBefore, ZoneById),
                                              countUpstreams(After, IndexAfter, ZoneById), false));
  for (const Configuration *Document : {&Before, &After})
    for (const auto &UpstreamEntry : Document->UpstreamLabels)
      ZoneById.emplace(UpstreamEntry.first, "");
  return checkServicesKeepUpstreams(Before, After, countUpstreams(Before, IndexBefore, ZoneById),
                                    countUpstreams(After, IndexAfter, ZoneById), true);
}

} // namespace

Result<void> checkService(const ServiceName &Name, const Service &Definition) {
  if (!isName(Name))
    return fail(ResultCode::NameSyntax, "'" + Name + "' isn't a valid service name");
  if (Definition.Address.Address == 0 || Definition.Address.Port == 0)
    return fail(ResultCode::Usage, "service " + Name + " needs an address and a port");
  const auto WholeMs = std::chrono::floor<std::chrono::milliseconds>(Definition.DefaultDeadline);
  const bool DeadlineValid = WholeMs == Definition.DefaultDeadline && WholeMs.count() > 0 &&
                             Definition.DefaultDeadline <= MaxDeadline;
  if (!DeadlineValid)
    return fail(ResultCode::Usage, "the deadline must be whole milliseconds from 1 to 3,600,000");
  BOOST_LEAF_CHECK(Selector::parse(Definition.Selector));
  return {};
}

Result<void> checkEditedDocument(const Configuration &Before, const Configuration &After,
                                 const std::vector<AnnouncedUpstream> &Announced) {
  BOOST_LEAF_CHECK(checkUniqueAddresses(After));
  BOOST_LEAF_AUTO(IndexAfter, ServiceIndex::build(After.Services));
  BOOST_LEAF_CHECK(checkUpstreamOverlap(After, IndexAfter));
  BOOST_LEAF_AUTO(IndexBefore, ServiceIndex::build(Before.Services));
  return checkUpstreams(Before, After, IndexBefore, IndexAfter, Announced);
}

} // namespace galenarelay::config
