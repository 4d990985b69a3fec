#include "galenarelay/node/impl/configuration_difference.h"

#include "galenarelay/common/hash.h"

#include <algorithm>

namespace galenarelay::node::impl {

using common::fail;
using common::ResultCode;
using nlohmann::json;

namespace {

std::uint64_t documentHash(const json &Document) {
  return common::hash64(Document.dump(-1, ' ', false, json::error_handler_t::replace));
}

common::Result<config::Configuration> applyEdits(const config::Configuration &Held,
                                                 const json &Answer) {
  if (Answer.at("after").get<config::Revision>() != Held.Number)
    return fail(ResultCode::RevisionUnknown, "the difference starts at another revision");
  json Document = config::toJson(Held);
  for (const json &Edit : Answer.at("edits")) {
    Document = Document.patch(Edit.at("patch"));
    Document.at("edits").push_back(Edit);
  }
  json &Kept = Document.at("edits");
  const auto Keep = Answer.at("kept").get<std::size_t>();
  if (Kept.size() > Keep)
    Kept.erase(Kept.begin(), Kept.end() - static_cast<std::ptrdiff_t>(Keep));
  Document["revision"] = Answer.at("revision");
  if (documentHash(Document) != Answer.at("hash").get<std::uint64_t>())
    return fail(ResultCode::RevisionUnknown, "the patched document differs from the peer's");
  return config::configurationFromJson(Document);
}

} // namespace

json configurationSince(const config::Configuration &Held, config::Revision After) {
  const auto First =
      std::find_if(Held.Edits.begin(), Held.Edits.end(),
                   [After](const config::AuditEntry &Edit) { return Edit.Accepted > After; });
  // Each accepted edit raises the revision by one, so the count tells whether all are present.
  const auto Present = static_cast<config::Revision>(Held.Edits.end() - First);
  if (After == 0 || After > Held.Number || Present != Held.Number - After)
    return config::toJson(Held);
  json Edits = json::array();
  for (auto Edit = First; Edit != Held.Edits.end(); ++Edit)
    Edits.push_back(config::toJson(*Edit));
  return {{"after", After},
          {"revision", Held.Number},
          {"edits", std::move(Edits)},
          {"kept", Held.Edits.size()},
          {"hash", documentHash(config::toJson(Held))}};
}

common::Result<config::Configuration> readConfiguration(const config::Configuration &Held,
                                                        const json &Answer) {
  try {
    if (!Answer.contains("after"))
      return config::configurationFromJson(Answer);
    return applyEdits(Held, Answer);
  } catch (const json::exception &Problem) {
    return fail(ResultCode::ConfigurationMalformed, Problem.what());
  }
}

} // namespace galenarelay::node::impl
