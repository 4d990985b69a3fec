#include "galenarelay/config/edit_loop.h"

#include "galenarelay/membership/member.h"

namespace galenarelay::config {

using common::capture;
using common::Outcome;
using common::Result;
using common::ResultCode;
using nlohmann::json;

std::string auditKey(Revision Number) { return "audit/" + std::to_string(Number); }

std::string editIdKey(const std::string &EditId) { return "edit/" + EditId; }

namespace impl {

namespace {

constexpr bool WithoutExceptions = false;

json parseQuietly(const std::string &Text) { return json::parse(Text, nullptr, WithoutExceptions); }

/// Entries must be consecutive and end with the document's revision: they are found by position.
bool hasConsecutiveEdits(const Configuration &Document) {
  if (Document.Edits.size() > Document.Number)
    return false;
  Revision Expected = Document.Number - Document.Edits.size();
  for (const AuditEntry &Entry : Document.Edits)
    if (Entry.Accepted != ++Expected)
      return false;
  return true;
}

} // namespace

Outcome<StoredConfiguration> parseStored(const StoredValue &Value) {
  if (Value.Version == 0)
    return {StoredConfiguration{}, {}};
  auto Document = capture([&] { return configurationFromJson(parseQuietly(Value.Text)); });
  if (!Document)
    return {std::nullopt, Document.Failure};
  if (!hasConsecutiveEdits(*Document))
    return {std::nullopt,
            {ResultCode::ConfigurationMalformed, "the audit entries aren't consecutive"}};
  return {StoredConfiguration{Value.Version, std::move(*Document)}, {}};
}

Outcome<AuditEntry> parseArchived(const StoredValue &Value) {
  return capture([&] { return auditEntryFromJson(parseQuietly(Value.Text)); });
}

std::vector<KnownUpstream> parseAnnounced(const std::vector<StoredValue> &Members) {
  std::vector<KnownUpstream> Announced;
  for (const StoredValue &Value : Members) {
    const auto Parsed =
        capture([&] { return membership::memberFromJson(parseQuietly(Value.Text)); });
    if (Parsed && Parsed->Kind == membership::MemberKind::Agent)
      Announced.push_back({Parsed->Id, Parsed->Zone});
  }
  return Announced;
}

bool isSameEdit(const AuditEntry &Recorded, const Edit &Wanted) {
  return Recorded.Author == Wanted.Author && Recorded.Summary == summary(Wanted.Action);
}

} // namespace impl

} // namespace galenarelay::config
