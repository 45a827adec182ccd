/// \file
/// Tests of the document, its sections, the configuration in force and
/// submissions.

#include "coltsfootshed/Config/ActiveConfig.h"
#include "coltsfootshed/Config/Document.h"
#include "coltsfootshed/Config/SubmitFlow.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace coltsfootshed {

static const char* const kDocument = "site = \"s\"\n"
                                     "[pools.p]\n"
                                     "vms = [\"a\", \"b\"]\n"
                                     "[services.x]\n"
                                     "pool = \"p\"\n";

class ConfigTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigTest);
  CPPUNIT_TEST(FaultTextHasLineFieldAndExpectation);
  CPPUNIT_TEST(VmInTwoPoolsIsRejected);
  CPPUNIT_TEST(JoinedSectionsAreTheOriginalText);
  CPPUNIT_TEST(EditChangesOneSection);
  CPPUNIT_TEST(VersionInForceNeverDecreases);
  CPPUNIT_TEST(AlteredSectionIsRejected);
  CPPUNIT_TEST(SubmitResultMatchesWhatWasWritten);
  CPPUNIT_TEST_SUITE_END();

  static std::string FaultTexts(const std::string& aText)
  {
    auto document = ReadDocument(aText);
    std::string lines;
    if (!document) {
      for (const Fault& fault : document.error()) {
        lines += fault.Text() + "\n";
      }
    }
    return lines;
  }

public:
  void FaultTextHasLineFieldAndExpectation()
  {
    CPPUNIT_ASSERT_EQUAL(std::string(), FaultTexts(kDocument));
    std::string faults = FaultTexts("site = 3\n"
                                    "[pools.p]\n"
                                    "vms = [\"a\", 4]\n"
                                    "[services.x]\n"
                                    "pool = \"q\"\n"
                                    "slotz = 9\n"
                                    "queue_limit = 0\n");
    CPPUNIT_ASSERT_EQUAL(
      std::string("line 1: site: expected a text in quotes\n"
                  "line 3: pools.p.vms: expected a list of texts only\n"
                  "line 5: services.x.pool: expected the name of a pool\n"
                  "line 6: services.x.slotz: expected a known field (did you "
                  "mean \"slots\"?)\n"
                  "line 7: services.x.queue_limit: expected a whole number "
                  "from 1 to 100000\n"),
      faults);
  }

  void VmInTwoPoolsIsRejected()
  {
    std::string faults =
      FaultTexts(std::string(kDocument) + "[pools.q]\nvms = [\"b\"]\n");
    CPPUNIT_ASSERT(faults.find("pools.q.vms: expected each VM in one pool "
                               "once, and b is already in pools.p") !=
                   std::string::npos);
  }

  void JoinedSectionsAreTheOriginalText()
  {
    auto texts = rc::gen::container<std::string>(
      rc::gen::element('[', ']', '\n', 'a', '"', '='));
    bool passed = rc::check("sections give back the text", [&] {
      std::string text = *texts;
      Head head;
      Sections sections = BuildSections(text, head);
      RC_ASSERT(JoinSections(head, sections).value() == text);
    });
    CPPUNIT_ASSERT(passed);
  }

  void EditChangesOneSection()
  {
    std::string edited = kDocument;
    edited.replace(edited.find("\"b\""), 3, "\"c\"");
    Head before;
    Head after;
    BuildSections(kDocument, before);
    BuildSections(edited, after);
    int changed = 0;
    for (std::size_t i = 0; i < before.sections_.size(); ++i) {
      changed += before.sections_[i] == after.sections_.at(i) ? 0 : 1;
    }
    CPPUNIT_ASSERT_EQUAL(1, changed);
  }

  void VersionInForceNeverDecreases()
  {
    bool passed = rc::check("version never goes back", [] {
      ActiveConfig active;
      auto versions =
        *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange(1, 9));
      std::uint64_t highest = 0;
      for (std::uint64_t version : versions) {
        Head head;
        Sections sections = BuildSections(kDocument, head);
        head.version_ = version;
        RC_ASSERT(active.Adopt(head, sections).value() == (version > highest));
        highest = std::max(highest, version);
        RC_ASSERT(active.Version() == highest);
      }
    });
    CPPUNIT_ASSERT(passed);
  }

  void AlteredSectionIsRejected()
  {
    ActiveConfig active;
    Head head;
    Sections sections = BuildSections(kDocument, head);
    head.version_ = 1;
    sections.begin()->second += "# more\n";
    CPPUNIT_ASSERT(!active.Adopt(head, sections).has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), active.Version());
  }

  /// Guards against a wrong result for an operator when two submit at once and
  /// writes take effect without an answer: an accepted submission was written,
  /// a conflicting one was not.
  void SubmitResultMatchesWhatWasWritten()
  {
    bool passed = rc::check("accepted and conflict are true", [] {
      StoredHead stored;
      std::vector<std::string> written;
      std::vector<SubmitFlow> flows;
      for (const char* name : { "a", "b" }) {
        Head head;
        head.submission_ = name;
        flows.emplace_back(head, 0, 4);
      }
      for (int step = 0; step < 40; ++step) {
        SubmitFlow& flow = flows[*rc::gen::inRange<std::size_t>(0, 2)];
        int fault = *rc::gen::inRange(0, 4);
        if (flow.Finished()) {
          continue;
        }
        if (flow.Next() == SubmitFlow::Action::ReadHead) {
          fault == 0 ? flow.OnHeadUnreadable() : flow.OnHead(stored);
          continue;
        }
        bool matches = flow.ExpectedRevision() == stored.revision_;
        bool arrives = fault != 0;
        if (arrives && matches) {
          stored = { stored.revision_ + 1, flow.NewHead() };
          written.push_back(flow.NewHead().submission_);
        }
        bool answered = arrives && fault != 1;
        flow.OnWrite(!answered ? WriteResult::NoAnswer
                     : matches ? WriteResult::Written
                               : WriteResult::Mismatch);
      }
      RC_ASSERT(written.size() <= 1U);
      for (const SubmitFlow& flow : flows) {
        bool wrote = std::count(written.begin(),
                                written.end(),
                                flow.NewHead().submission_) > 0;
        if (flow.Finished() == SubmitResult::Accepted) {
          RC_ASSERT(wrote);
        }
        if (flow.Finished() == SubmitResult::Conflict) {
          RC_ASSERT(!wrote);
        }
      }
    });
    CPPUNIT_ASSERT(passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigTest);

} // namespace coltsfootshed
