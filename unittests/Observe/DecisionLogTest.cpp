/// \file
/// Tests that text of others cannot make a log line unreadable or very long.

#include "coltsfootshed/Observe/DecisionLog.h"
#include "Support/LogCapture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace coltsfootshed {

class DecisionLogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DecisionLogTest);
  CPPUNIT_TEST(LinesAreJsonWhateverTheyQuote);
  CPPUNIT_TEST(LinesAreBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  void LinesAreJsonWhateverTheyQuote()
  {
    LogCapture log;
    const std::vector<std::string> texts = {
      "\xff\xfe",    "a\nb\t\"\\",    std::string("\0x", 2),
      "caf\xc3\xa9", "cut off: \xc3", "{}%v"
    };
    for (const std::string& text : texts) {
      LogStateChange("test", { { "error", text } });
    }
    auto lines = log.Lines();
    CPPUNIT_ASSERT_EQUAL(texts.size(), lines.size());
    for (const std::string& line : lines) {
      auto json = nlohmann::json::parse(line, nullptr, false);
      CPPUNIT_ASSERT_MESSAGE(line, json.is_object());
      CPPUNIT_ASSERT(json["error"].is_string());
    }
    auto accented = nlohmann::json::parse(lines[3]);
    CPPUNIT_ASSERT_EQUAL(texts[3], accented["error"].get<std::string>());
  }

  void LinesAreBounded()
  {
    LogCapture log;
    LogStateChange("test", { { "error", std::string(1000000, 'x') } });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), log.Lines().size());
    CPPUNIT_ASSERT(log.Lines()[0].size() < 2000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionLogTest);

} // namespace coltsfootshed
