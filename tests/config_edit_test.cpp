#include "config_fixture.h"
#include "galenarelay/config/edit.h"
#include "galenarelay/config/revision_tracker.h"
#include "galenarelay/config/selector.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenarelay::tests {

using namespace config;
using common::capture;
using common::ResultCode;

class ConfigEditTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigEditTest);
  CPPUNIT_TEST(testApply_wrongEdit_isRefusedWithItsCode);
  CPPUNIT_TEST(testApply_acceptedEdit_recordsPatchAndRevision);
  CPPUNIT_TEST(testApply_fullHistory_returnsEntriesToArchive);
  CPPUNIT_TEST(testApply_documentAboveLimit_isRefused);
  CPPUNIT_TEST(testApply_serviceWithoutUpstreamBefore_blocksNoOtherEdit);
  CPPUNIT_TEST(testConflicts_touchedPaths_decide);
  CPPUNIT_TEST(testTracker_olderDocument_isRefusedAndCounted);
  CPPUNIT_TEST(testLostEdits_reapplied_changeWhatStillApplies);
  CPPUNIT_TEST(testLostEdits_historyTooShort_replaceTheStored);
  CPPUNIT_TEST_SUITE_END();

  static Edit edit(EditAction Action, std::string Id = "e1") {
    return {std::move(Id), "rosa", 1000, std::move(Action)};
  }

  static Service service(std::uint16_t Port, const char *Selector) {
    return {{0x0a010009, Port}, Selector, std::chrono::seconds(1)};
  }

public:
  // Guards against accepting an edit that leaves a service without upstreams or lets two services
  // select the same one, and against rejecting an edit with the wrong result code.
  void testApply_wrongEdit_isRefusedWithItsCode() {
    struct Row {
      const char *Name;
      EditAction Action;
      ResultCode Code;
    };
    const Service Free = service(80, "role=shop");
    const Row Rows[] = {
        {"service name", CreateService{"a/b", Free}, ResultCode::NameSyntax},
        {"service exists", CreateService{"desk", Free}, ResultCode::ServiceExists},
        {"no selector", CreateService{"shop", service(80, "")}, ResultCode::SelectorSyntax},
        {"no port", CreateService{"shop", service(0, "role=shop")}, ResultCode::Usage},
        {"no upstream", CreateService{"shop", Free}, ResultCode::ServiceWithoutUpstream},
        {"zone without upstreams", CreateService{"shop", service(80, "id=u3,zone=d")},
         ResultCode::ServiceWithoutUpstream},
        {"address used", CreateService{"shop", {{0x0a010001, 80}, "id=u3"}},
         ResultCode::ServiceAddressInUse},
        {"takes desk's", CreateService{"shop", service(80, "id=u1")}, ResultCode::UpstreamOverlap},
        {"takes one in a new zone", CreateService{"shop", service(80, "zone=d")},
         ResultCode::UpstreamOverlap},
        {"deadline", UpdateService{"desk", {}, {}, common::Duration(1)}, ResultCode::Usage},
        {"long deadline", UpdateService{"desk", {}, {}, std::chrono::hours(2)}, ResultCode::Usage},
        {"nothing", UpdateService{"desk", {}, {}, {}}, ResultCode::Usage},
        {"update unknown", UpdateService{"shop", {}, "role=a", {}}, ResultCode::ServiceUnknown},
        {"address of other", UpdateService{"desk", common::Endpoint{0x0a010002, 80}, {}, {}},
         ResultCode::ServiceAddressInUse},
        {"delete unknown", DeleteService{"shop"}, ResultCode::ServiceUnknown},
        {"selector unknown", SetSelector{"shop", "role=a"}, ResultCode::ServiceUnknown},
        {"selector syntax", SetSelector{"desk", "role=="}, ResultCode::SelectorSyntax},
        {"selector empties", SetSelector{"desk", "role=dessk"}, ResultCode::ServiceWithoutUpstream},
        {"selector overlaps", SetSelector{"desk", "role in (desk,warranty)"},
         ResultCode::UpstreamOverlap},
        {"absence overlaps", SetSelector{"desk", "role!=shop"}, ResultCode::UpstreamOverlap},
        {"label overlap", SetLabels{"u1", {{"role", "warranty"}}},
         ResultCode::ServiceWithoutUpstream},
        {"label empties", SetLabels{"u1", {{"role", "spare"}}}, ResultCode::ServiceWithoutUpstream},
        {"label of unknown", SetLabels{"u9", {{"role", "desk"}}}, ResultCode::UpstreamUnknown},
        {"label id", SetLabels{"u1", {{"id", "x"}}}, ResultCode::LabelSyntax},
        {"label zone", SetLabels{"u1", {{"zone", "x"}}}, ResultCode::LabelSyntax},
        {"label value", SetLabels{"u1", {{"role", "a b"}}}, ResultCode::LabelSyntax},
        {"no label", SetLabels{"u1", {}}, ResultCode::LabelSyntax},
        {"remove empties", RemoveLabels{"u1", {"role"}}, ResultCode::ServiceWithoutUpstream},
        {"remove absent", RemoveLabels{"u1", {"tier"}}, ResultCode::LabelUnknown},
        {"remove of unknown", RemoveLabels{"u9", {"role"}}, ResultCode::UpstreamUnknown},
    };
    for (const Row &Case : Rows) {
      const auto Applied =
          capture([&] { return applyEdit(deskAndWarranty(), edit(Case.Action), fourAnnounced()); });
      CPPUNIT_ASSERT_MESSAGE(Case.Name, !Applied);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(Case.Name) + ": " + Applied.Failure.Detail,
                                   std::string(common::name(Case.Code)),
                                   std::string(common::name(Applied.Failure.Code)));
    }
  }

  // Guards against an audit entry whose patch doesn't turn the previous revision into the new one.
  void testApply_acceptedEdit_recordsPatchAndRevision() {
    const EditAction Rows[] = {
        CreateService{"shop", service(80, "id in (u3,u4)")},
        UpdateService{"desk", common::Endpoint{1, 2}, "role=desk,!spare", std::chrono::seconds(2)},
        DeleteService{"desk"},
        SetLabels{"u3", {{"role", "desk"}, {"tier", "gold"}}},
        RemoveLabels{"u4", {"tier"}},
        SetSelector{"desk", "role=desk,zone=a"},
    };
    Configuration Base = deskAndWarranty();
    Base.RevisionNumber = 4;
    Base.UpstreamLabels["u4"] = {{"tier", "gold"}};
    for (const EditAction &Action : Rows) {
      const auto Applied = capture([&] { return applyEdit(Base, edit(Action), fourAnnounced()); });
      CPPUNIT_ASSERT_MESSAGE(summary(Action) + ": " + Applied.Failure.Detail, Applied);
      const Configuration &Next = Applied->Next;
      CPPUNIT_ASSERT_EQUAL(Revision{5}, Next.RevisionNumber);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Next.AuditEntries.size());
      const AuditEntry &Entry = Next.AuditEntries.front();
      CPPUNIT_ASSERT(Entry.EditId == "e1" && Entry.Author == "rosa" && Entry.AcceptedRevision == 5);
      const nlohmann::json Patched = toJson(Base).patch(Entry.Patch);
      CPPUNIT_ASSERT(Patched.at("services") == toJson(Next).at("services"));
      CPPUNIT_ASSERT(Patched.at("labels") == toJson(Next).at("labels"));
    }
  }

  // Guards against audit entries that are lost: an entry removed from a full document must be
  // returned for archiving.
  void testApply_fullHistory_returnsEntriesToArchive() {
    Configuration Document = deskAndWarranty();
    for (std::size_t I = 0; I <= MaxAuditEntries; ++I) {
      const EditAction Action = SetLabels{"u3", {{"tier", "t" + std::to_string(I)}}};
      const auto Applied =
          capture([&] { return applyEdit(Document, edit(Action), fourAnnounced()); });
      CPPUNIT_ASSERT(Applied);
      CPPUNIT_ASSERT_EQUAL(std::size_t{I == MaxAuditEntries ? 1U : 0U},
                           Applied->EntriesToArchive.size());
      Document = Applied->Next;
      CPPUNIT_ASSERT_EQUAL(std::min(I + 1, MaxAuditEntries), Document.AuditEntries.size());
      if (I == MaxAuditEntries)
        CPPUNIT_ASSERT_EQUAL(Revision{1}, Applied->EntriesToArchive.front().AcceptedRevision);
    }
  }

  // Guards against accepting an edit whose document exceeds the store's limit on a value.
  void testApply_documentAboveLimit_isRefused() {
    Configuration Document = deskAndWarranty();
    const std::string Long(MaxNameBytes, 'x');
    for (int I = 0; I < 5000; ++I)
      Document.UpstreamLabels["host-" + std::to_string(I)] = {
          {"a", Long}, {"b", Long}, {"c", Long}};
    const auto Applied = capture([&] {
      return applyEdit(Document, edit(SetLabels{"u3", {{"tier", "gold"}}}), fourAnnounced());
    });
    CPPUNIT_ASSERT(!Applied);
    CPPUNIT_ASSERT(Applied.Failure.Code == ResultCode::ConfigurationTooLarge);
  }

  // Guards against a service that has already lost its upstreams blocking unrelated edits.
  void testApply_serviceWithoutUpstreamBefore_blocksNoOtherEdit() {
    Configuration Document = deskAndWarranty();
    Document.UpstreamLabels.erase("u2");
    const auto Applied = capture([&] {
      return applyEdit(Document, edit(SetLabels{"u3", {{"tier", "gold"}}}), fourAnnounced());
    });
    CPPUNIT_ASSERT(Applied);
  }

  // Guards against missing a conflict between edits of the same part, and against reporting one
  // between edits of different parts.
  void testConflicts_touchedPaths_decide() {
    struct Row {
      const char *Name;
      EditAction Mine;
      EditAction Other;
      bool Conflict;
    };
    const SetLabels Tier{"u3", {{"tier", "gold"}}};
    const UpdateService Deadline{"desk", {}, {}, std::chrono::seconds(3)};
    const Row Rows[] = {
        {"same selector", SetSelector{"desk", "role=desk"}, SetSelector{"desk", "role=desk,!x"},
         true},
        {"selector and deadline", SetSelector{"desk", "role=desk,!x"}, Deadline, false},
        {"selector and delete", SetSelector{"desk", "role=desk,!x"}, DeleteService{"desk"}, true},
        {"delete and deadline", DeleteService{"desk"}, Deadline, true},
        {"other service", SetSelector{"warranty", "role=warranty,!x"}, Deadline, false},
        {"same label", SetLabels{"u3", {{"tier", "iron"}}}, Tier, true},
        {"first labels of one upstream", SetLabels{"u3", {{"rack", "r1"}}}, Tier, false},
        {"label prefix", SetLabels{"u3", {{"tie", "x"}}}, Tier, false},
        {"same creation", CreateService{"shop", service(81, "id=u3")},
         CreateService{"shop", service(80, "id=u4")}, true},
        {"two creations", CreateService{"shop", service(81, "id=u3")},
         CreateService{"forms", service(80, "id=u4")}, false},
    };
    for (const Row &Case : Rows) {
      const auto Applied =
          capture([&] { return applyEdit(deskAndWarranty(), edit(Case.Other), fourAnnounced()); });
      CPPUNIT_ASSERT_MESSAGE(Case.Name, Applied);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          Case.Name, Case.Conflict,
          !conflictingEntries(Case.Mine, Applied->Next.AuditEntries).empty());
    }
  }

  // Guards against a node replacing its configuration by an older one, or by another one of the
  // same revision.
  void testTracker_olderDocument_isRefusedAndCounted() {
    RevisionTracker Tracker;
    const auto Offer = [&](Revision Number, const char *Service) {
      Configuration Document;
      Document.RevisionNumber = Number;
      Document.Services[Service] = {};
      return Tracker.offer(Document);
    };
    CPPUNIT_ASSERT(Offer(3, "desk") == Acceptance::Accepted);
    CPPUNIT_ASSERT(Offer(3, "desk") == Acceptance::Unchanged);
    CPPUNIT_ASSERT(Offer(2, "desk") == Acceptance::Refused);
    CPPUNIT_ASSERT(Offer(3, "shop") == Acceptance::Refused);
    CPPUNIT_ASSERT(Offer(7, "shop") == Acceptance::Accepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Tracker.refusals());
    CPPUNIT_ASSERT_EQUAL(Revision{7}, Tracker.revision());
  }

  static Configuration edited(const Configuration &Base, const char *Id, EditAction Action) {
    const auto Result =
        common::capture([&] { return applyEdit(Base, edit(Action, Id), fourAnnounced()); });
    CPPUNIT_ASSERT_MESSAGE(Result.Failure.Detail, Result);
    return Result->Next;
  }

  static EditedDocument reapplied(const Configuration &Stored, const Configuration &Known) {
    const auto Result =
        common::capture([&] { return reapplyLostEdits(Stored, Known, fourAnnounced()); });
    CPPUNIT_ASSERT_MESSAGE(Result.Failure.Detail, Result);
    return *Result;
  }

  // Guards against an accepted edit that is taken back by a restore of the store.
  void testLostEdits_reapplied_changeWhatStillApplies() {
    const auto Copy = edited(deskAndWarranty(), "kept", SetLabels{"u3", {{"tier", "one"}}});
    const auto Known = edited(edited(Copy, "lost", SetLabels{"u3", {{"tier", "two"}}}), "lost-too",
                              RemoveLabels{"u3", {"tier"}});
    CPPUNIT_ASSERT(reapplied(Known, Copy).Next == Known);
    CPPUNIT_ASSERT(reapplied(Copy, Copy).Next == Copy);
    CPPUNIT_ASSERT(reapplied(Copy, Known).Next == Known);
    CPPUNIT_ASSERT(reapplied({}, Known).Next.RevisionNumber == Known.RevisionNumber);
    const auto Since = edited(Copy, "since", SetLabels{"u4", {{"tier", "three"}}});
    const auto Both = reapplied(Since, Known).Next;
    CPPUNIT_ASSERT_EQUAL(Known.RevisionNumber + 1, Both.RevisionNumber);
    CPPUNIT_ASSERT(!Both.UpstreamLabels.contains("u3"));
    CPPUNIT_ASSERT_EQUAL(std::string("three"), Both.UpstreamLabels.at("u4").at("tier"));
    const auto Removed = edited(Copy, "since", RemoveLabels{"u3", {"tier"}});
    const auto Conflicting = reapplied(Removed, Known).Next;
    CPPUNIT_ASSERT_EQUAL(Known.RevisionNumber + 1, Conflicting.RevisionNumber);
    CPPUNIT_ASSERT(Conflicting.UpstreamLabels == Removed.UpstreamLabels);
    CPPUNIT_ASSERT(Conflicting.AuditEntries.back().Summary.starts_with("not reapplied"));
    CPPUNIT_ASSERT(Conflicting.AuditEntries.back().Patch.empty());
  }

  void testLostEdits_historyTooShort_replaceTheStored() {
    const auto Copy = edited(deskAndWarranty(), "kept", SetLabels{"u3", {{"tier", "one"}}});
    auto Known = edited(edited(Copy, "lost", SetLabels{"u3", {{"tier", "two"}}}), "lost-too",
                        RemoveLabels{"u3", {"tier"}});
    Known.AuditEntries.erase(Known.AuditEntries.begin(), Known.AuditEntries.begin() + 2);
    const auto Result = reapplied(Copy, Known);
    CPPUNIT_ASSERT(Result.Next == Known);
    CPPUNIT_ASSERT(Result.EntriesToArchive == Copy.AuditEntries);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigEditTest);

} // namespace galenarelay::tests
