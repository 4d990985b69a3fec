#include "galenarelay/config/configuration.h"

#include "galenarelay/common/json_fields.h"
#include "galenarelay/config/selector.h"

namespace galenarelay::config {

using common::capture;
using common::fail;
using common::Result;
using common::ResultCode;
using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

json serviceToJson(const Service &Value) {
  return {{"address", common::toString(Value.Address)},
          {"selector", Value.Selector},
          {"deadline_ms", duration_cast<milliseconds>(Value.DefaultDeadline).count()}};
}

json auditEntryToJson(const AuditEntry &Value) {
  return {{"id", Value.EditId},       {"author", Value.Author},
          {"time_ms", Value.TimeMs},  {"revision", Value.AcceptedRevision},
          {"summary", Value.Summary}, {"patch", Value.Patch}};
}

Result<Service> parseService(const json &Document) {
  Service Parsed;
  BOOST_LEAF_ASSIGN(Parsed.Address,
                    common::parseEndpoint(Document.at("address").get<std::string>()));
  Parsed.Selector = Document.at("selector").get<std::string>();
  Parsed.DefaultDeadline = common::readMilliseconds(Document.at("deadline_ms"));
  if (Parsed.DefaultDeadline <= common::Duration::zero())
    return fail(ResultCode::ConfigurationMalformed, "a service's deadline isn't positive");
  return Parsed;
}

AuditEntry parseAuditEntry(const json &Document) {
  AuditEntry Parsed;
  Parsed.EditId = Document.at("id").get<std::string>();
  Parsed.Author = Document.at("author").get<std::string>();
  Parsed.TimeMs = static_cast<std::int64_t>(
      common::readUnsigned<std::uint64_t>(Document.at("time_ms"), INT64_MAX));
  Parsed.AcceptedRevision = common::readUnsigned<Revision>(Document.at("revision"));
  Parsed.Summary = Document.at("summary").get<std::string>();
  Parsed.Patch = Document.at("patch");
  return Parsed;
}

Result<Configuration> parseFields(const json &Document) {
  Configuration Parsed;
  Parsed.RevisionNumber = common::readUnsigned<Revision>(Document.at("revision"));
  for (const auto &[Name, Value] : Document.at("services").items()) {
    BOOST_LEAF_AUTO(Definition, parseService(Value));
    Parsed.Services.emplace(Name, std::move(Definition));
  }
  Parsed.UpstreamLabels = Document.at("labels").get<std::map<UpstreamId, Labels>>();
  for (const json &Value : Document.at("edits"))
    Parsed.AuditEntries.push_back(parseAuditEntry(Value));
  return Parsed;
}

} // namespace

json toJson(const AuditEntry &Value) { return auditEntryToJson(Value); }

Result<AuditEntry> auditEntryFromJson(const json &Document) {
  try {
    return parseAuditEntry(Document);
  } catch (const json::exception &Exception) {
    return fail(ResultCode::ConfigurationMalformed, Exception.what());
  }
}

json toJson(const Configuration &Value) {
  json Services = json::object();
  for (const auto &[Name, Definition] : Value.Services)
    Services[Name] = serviceToJson(Definition);
  json Edits = json::array();
  for (const AuditEntry &Entry : Value.AuditEntries)
    Edits.push_back(auditEntryToJson(Entry));
  return {{"revision", Value.RevisionNumber},
          {"services", std::move(Services)},
          {"labels", json(Value.UpstreamLabels)},
          {"edits", std::move(Edits)}};
}

Result<Configuration> configurationFromJson(const json &Document) {
  try {
    const auto Parsed = capture([&] { return parseFields(Document); });
    if (!Parsed)
      return fail(ResultCode::ConfigurationMalformed, Parsed.Failure.Detail);
    return *Parsed;
  } catch (const json::exception &Exception) {
    return fail(ResultCode::ConfigurationMalformed, Exception.what());
  }
}

bool isEligible(const Service &Definition, const Configuration &Document, const UpstreamId &Id,
                const std::string &Zone) {
  const auto Parsed = capture([&] { return Selector::parse(Definition.Selector); });
  if (!Parsed)
    return false;
  static const Labels NoLabels;
  const auto Position = Document.UpstreamLabels.find(Id);
  return Parsed->matches(Position == Document.UpstreamLabels.end() ? NoLabels : Position->second,
                         Id, Zone);
}

} // namespace galenarelay::config
