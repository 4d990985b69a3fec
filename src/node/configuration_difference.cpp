#include "galenarelay/node/impl/configuration_difference.h"

#include "galenarelay/common/hash.h"
#include "galenarelay/common/json_fields.h"

#include <algorithm>

namespace galenarelay::node::impl {

using common::fail;
using common::ResultCode;
using nlohmann::json;

namespace {

std::uint64_t documentHash(const json &Document) {
  return common::hash64(Document.dump(-1, ' ', false, json::error_handler_t::replace));
}

common::Result<config::Configuration> applyEdits(const config::Configuration &Base,
                                                 const json &Response) {
  if (common::readUnsigned<config::Revision>(Response.at("after")) != Base.RevisionNumber)
    return fail(ResultCode::RevisionUnknown,
                "the edits start at another revision than the local configuration");
  json Document = config::toJson(Base);
  for (const json &Edit : Response.at("edits")) {
    Document = Document.patch(Edit.at("patch"));
    Document.at("edits").push_back(Edit);
  }
  json &Edits = Document.at("edits");
  const auto EditCount = common::readUnsigned<std::size_t>(Response.at("kept"));
  if (Edits.size() > EditCount)
    Edits.erase(Edits.begin(), Edits.end() - static_cast<std::ptrdiff_t>(EditCount));
  Document["revision"] = Response.at("revision");
  if (documentHash(Document) != common::readUnsigned<std::uint64_t>(Response.at("hash")))
    return fail(ResultCode::RevisionUnknown, "the patched configuration differs from the peer's");
  return config::configurationFromJson(Document);
}

} // namespace

json configurationSince(const config::Configuration &Current, config::Revision After) {
  const auto FirstEdit = std::find_if(
      Current.AuditEntries.begin(), Current.AuditEntries.end(),
      [After](const config::AuditEntry &Edit) { return Edit.AcceptedRevision > After; });
  // Each accepted edit raises the revision by one, so the number of edits after the revision tells
  // whether the document still contains all of them.
  const auto AvailableEdits = static_cast<config::Revision>(Current.AuditEntries.end() - FirstEdit);
  if (After == 0 || After > Current.RevisionNumber ||
      AvailableEdits != Current.RevisionNumber - After)
    return config::toJson(Current);
  json Edits = json::array();
  for (auto Edit = FirstEdit; Edit != Current.AuditEntries.end(); ++Edit)
    Edits.push_back(config::toJson(*Edit));
  return {{"after", After},
          {"revision", Current.RevisionNumber},
          {"edits", std::move(Edits)},
          {"kept", Current.AuditEntries.size()},
          {"hash", documentHash(config::toJson(Current))}};
}

common::Result<config::Configuration> configurationFromResponse(const config::Configuration &Base,
                                                                const json &Response) {
  try {
    if (!Response.contains("after"))
      return config::configurationFromJson(Response);
    return applyEdits(Base, Response);
  } catch (const json::exception &Problem) {
    return fail(ResultCode::ConfigurationMalformed, Problem.what());
  }
}

} // namespace galenarelay::node::impl
