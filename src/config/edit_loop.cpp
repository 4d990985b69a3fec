#include "galenarelay/config/edit_loop.h"

#include "galenarelay/common/json_fields.h"
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

/// Tells whether the audit entries have consecutive revisions that end with the document's: they
/// are looked up by position.
bool hasConsecutiveEntries(const Configuration &Document) {
  if (Document.AuditEntries.size() > Document.RevisionNumber)
    return false;
  Revision ExpectedRevision = Document.RevisionNumber - Document.AuditEntries.size();
  for (const AuditEntry &Entry : Document.AuditEntries)
    if (Entry.AcceptedRevision != ++ExpectedRevision)
      return false;
  return true;
}

} // namespace

Outcome<StoredConfiguration> parseStoredConfiguration(const StoredValue &Value) {
  if (Value.Version.Number == 0)
    return {StoredConfiguration{}, {}};
  auto Document =
      capture([&] { return configurationFromJson(common::parseJsonOrDiscard(Value.Text)); });
  if (!Document)
    return {std::nullopt, Document.Failure};
  if (!hasConsecutiveEntries(*Document))
    return {std::nullopt,
            {ResultCode::ConfigurationMalformed,
             "the revisions of the audit entries aren't consecutive"}};
  return {StoredConfiguration{Value.Version, std::move(*Document)}, {}};
}

Outcome<AuditEntry> parseArchivedEntry(const StoredValue &Value) {
  return capture([&] { return auditEntryFromJson(common::parseJsonOrDiscard(Value.Text)); });
}

std::vector<AnnouncedUpstream>
parseAnnouncedUpstreams(const std::vector<StoredValue> &MemberRecords) {
  std::vector<AnnouncedUpstream> Upstreams;
  for (const StoredValue &Value : MemberRecords) {
    const auto Member =
        capture([&] { return membership::memberFromJson(common::parseJsonOrDiscard(Value.Text)); });
    if (Member && Member->Kind == membership::MemberKind::Agent)
      Upstreams.push_back({Member->Id, Member->Zone});
  }
  return Upstreams;
}

bool isSameEdit(const AuditEntry &RecordedEntry, const Edit &RequestedEdit) {
  return RecordedEntry.Author == RequestedEdit.Author &&
         RecordedEntry.Summary == summary(RequestedEdit.Action);
}

} // namespace impl

} // namespace galenarelay::config
