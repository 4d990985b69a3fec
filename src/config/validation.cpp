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

/// Stands for every upstream ID or zone that no selector mentions. It can't be a name.
constexpr const char *AnyOther = "?";

const Labels &labelsOf(const Configuration &In, const UpstreamId &Id) {
  static const Labels None;
  const auto Found = In.UpstreamLabels.find(Id);
  return Found == In.UpstreamLabels.end() ? None : Found->second;
}

Result<void> checkAddresses(const Configuration &After) {
  std::map<std::string, ServiceName> Owners;
  for (const auto &[Name, Definition] : After.Services) {
    const std::string Address = common::toString(Definition.Address);
    const auto [Owner, Added] = Owners.emplace(Address, Name);
    if (!Added)
      return fail(ResultCode::ServiceAddressInUse,
                  Address + " belongs to service " + Owner->second);
  }
  return {};
}

/// Checks every upstream that can exist under the document: labelled ones, ones that a selector
/// names and any other, each in every zone that a selector can tell apart. An upstream that
/// announces itself after the edit is therefore covered too, and the result doesn't depend on who
/// has announced itself so far.
Result<void> checkOverlap(const Configuration &After, const ServiceIndex &Index) {
  std::set<std::string> Ids{AnyOther};
  for (const std::string &Id : Index.valuesOf(IdLabel))
    Ids.insert(Id);
  for (const auto &Labelled : After.UpstreamLabels)
    Ids.insert(Labelled.first);
  std::vector<std::string> Zones{""};
  if (Index.mentions(ZoneLabel)) {
    Zones = Index.valuesOf(ZoneLabel);
    Zones.insert(Zones.end(), {"", AnyOther});
  }
  for (const std::string &Id : Ids) {
    for (const std::string &Zone : Zones) {
      const auto Names = Index.servicesFor(labelsOf(After, Id), Id, Zone);
      if (Names.size() < 2)
        continue;
      const std::string Who = Id == AnyOther ? "an upstream without labels" : "upstream " + Id;
      const std::string Where = Zone.empty()       ? ""
                                : Zone == AnyOther ? " in any other zone"
                                                   : " in zone " + Zone;
      return fail(ResultCode::UpstreamOverlap, "services " + Names[0] + " and " + Names[1] +
                                                   " would both select " + Who + Where);
    }
  }
  return {};
}

using UpstreamCounts = std::map<ServiceName, std::size_t>;

UpstreamCounts countUpstreams(const Configuration &In, const ServiceIndex &Index,
                              const std::map<UpstreamId, std::string> &ZoneById) {
  UpstreamCounts Counts;
  for (const auto &[Id, Zone] : ZoneById)
    for (const ServiceName &Name : Index.servicesFor(labelsOf(In, Id), Id, Zone))
      ++Counts[Name];
  return Counts;
}

/// Refuses a service that loses its last upstream, or gets a selector without one. A service that
/// had none before and is left alone doesn't block other edits.
Result<void> checkLosses(const Configuration &Before, const Configuration &After,
                         const UpstreamCounts &CountsBefore, const UpstreamCounts &CountsAfter,
                         bool NewNeedsOne) {
  for (const auto &[Name, Definition] : After.Services) {
    if (CountsAfter.contains(Name))
      continue;
    const auto Old = Before.Services.find(Name);
    const bool Changed =
        Old == Before.Services.end() || Old->second.Selector != Definition.Selector;
    if (CountsBefore.contains(Name) || (Changed && NewNeedsOne))
      return fail(ResultCode::ServiceWithoutUpstream, "service " + Name +
                                                          " would select no upstream (selector '" +
                                                          Definition.Selector + "')");
  }
  return {};
}

/// Both the announced upstreams and the known ones (announced or labelled) must not run out: the
/// record of an upstream that restarts is absent for a moment, and an upstream that is labelled
/// may have gone for good.
Result<void> checkUpstreams(const Configuration &Before, const Configuration &After,
                            const ServiceIndex &IndexBefore, const ServiceIndex &IndexAfter,
                            const std::vector<KnownUpstream> &Announced) {
  std::map<UpstreamId, std::string> ZoneById;
  for (const KnownUpstream &Each : Announced)
    ZoneById.emplace(Each.Id, Each.Zone);
  BOOST_LEAF_CHECK(checkLosses(Before, After, countUpstreams(Before, IndexBefore, ZoneById),
                               countUpstreams(After, IndexAfter, ZoneById), false));
  for (const Configuration *Document : {&Before, &After})
    for (const auto &Labelled : Document->UpstreamLabels)
      ZoneById.emplace(Labelled.first, "");
  return checkLosses(Before, After, countUpstreams(Before, IndexBefore, ZoneById),
                     countUpstreams(After, IndexAfter, ZoneById), true);
}

} // namespace

Result<void> checkService(const ServiceName &Name, const Service &Definition) {
  if (!isName(Name))
    return fail(ResultCode::NameSyntax, "'" + Name + "' isn't a service name");
  if (Definition.Address.Address == 0 || Definition.Address.Port == 0)
    return fail(ResultCode::Usage, "service " + Name + " needs an address and a port");
  const auto WholeMs = std::chrono::floor<std::chrono::milliseconds>(Definition.Deadline);
  const bool DeadlineValid =
      WholeMs == Definition.Deadline && WholeMs.count() > 0 && Definition.Deadline <= MaxDeadline;
  if (!DeadlineValid)
    return fail(ResultCode::Usage, "the deadline must be whole milliseconds from 1 to 3,600,000");
  BOOST_LEAF_CHECK(Selector::parse(Definition.Selector));
  return {};
}

Result<void> checkEdited(const Configuration &Before, const Configuration &After,
                         const std::vector<KnownUpstream> &Announced) {
  BOOST_LEAF_CHECK(checkAddresses(After));
  BOOST_LEAF_AUTO(IndexAfter, ServiceIndex::build(After.Services));
  BOOST_LEAF_CHECK(checkOverlap(After, IndexAfter));
  BOOST_LEAF_AUTO(IndexBefore, ServiceIndex::build(Before.Services));
  return checkUpstreams(Before, After, IndexBefore, IndexAfter, Announced);
}

} // namespace galenarelay::config
