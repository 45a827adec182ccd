#include "coltsfootshed/Config/Version.h"

#include "coltsfootshed/Support/Digest.h"

#include <nlohmann/json.hpp>

namespace coltsfootshed {

std::string Head::ToJson() const
{
  nlohmann::json json = { { "version", version_ },
                          { "submission", submission_ },
                          { "author", author_ },
                          { "unix_time", unixTime_ },
                          { "sections", sections_ } };
  return json.dump();
}

Result<Head> HeadFromJson(std::string_view aJson)
{
  try {
    nlohmann::json json = nlohmann::json::parse(aJson);
    Head head;
    json.at("version").get_to(head.version_);
    json.at("submission").get_to(head.submission_);
    json.at("author").get_to(head.author_);
    json.at("unix_time").get_to(head.unixTime_);
    json.at("sections").get_to(head.sections_);
    return head;
  } catch (const nlohmann::json::exception& error) {
    return Fail("read config head", "", error.what());
  }
}

std::vector<std::string> SplitDocument(std::string_view aText)
{
  std::vector<std::string> pieces;
  std::size_t start = 0;
  std::size_t line = 0;
  while (line < aText.size()) {
    if (aText[line] == '[' && line != start) {
      pieces.emplace_back(aText.substr(start, line - start));
      start = line;
    }
    std::size_t end = aText.find('\n', line);
    line = end == std::string_view::npos ? aText.size() : end + 1;
  }
  if (start < aText.size()) {
    pieces.emplace_back(aText.substr(start));
  }
  return pieces;
}

Sections BuildSections(std::string_view aText, Head& aHead)
{
  Sections sections;
  aHead.sections_.clear();
  for (std::string& piece : SplitDocument(aText)) {
    std::string digest = Digest(piece);
    aHead.sections_.push_back(digest);
    sections.emplace(std::move(digest), std::move(piece));
  }
  return sections;
}

Result<std::string> JoinSections(const Head& aHead, const Sections& aSections)
{
  std::string text;
  for (const std::string& digest : aHead.sections_) {
    auto section = aSections.find(digest);
    if (section == aSections.end()) {
      return Fail("join config sections", "", "section missing: " + digest);
    }
    text += section->second;
  }
  return text;
}

} // namespace coltsfootshed
