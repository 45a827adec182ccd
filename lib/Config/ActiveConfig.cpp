#include "coltsfootshed/Config/ActiveConfig.h"

#include "coltsfootshed/Support/Digest.h"

#include <utility>

namespace coltsfootshed {

std::vector<std::string> ActiveConfig::MissingDigests(const Head& aHead) const
{
  std::vector<std::string> missing;
  for (const std::string& digest : aHead.sections_) {
    if (!sections_->contains(digest)) {
      missing.push_back(digest);
    }
  }
  return missing;
}

Result<bool> ActiveConfig::Adopt(const Head& aHead, const Sections& aFetched)
{
  if (aHead.version_ <= head_.version_) {
    return false;
  }
  Sections sections;
  for (const std::string& digest : aHead.sections_) {
    auto fetched = aFetched.find(digest);
    auto held = sections_->find(digest);
    if (fetched != aFetched.end()) {
      sections.insert(*fetched);
    } else if (held != sections_->end()) {
      sections.insert(*held);
    }
  }
  for (const auto& [digest, text] : sections) {
    if (Digest(text) != digest) {
      return Fail(
        "adopt config", "", "section does not match its digest: " + digest);
    }
  }
  Result<std::string> text = JoinSections(aHead, sections);
  if (!text) {
    return tl::unexpected(text.error());
  }
  auto document = ReadDocument(*text);
  if (!document) {
    return Fail("adopt config", "", document.error().front().Text());
  }
  head_ = aHead;
  text_ = std::move(*text);
  sections_ = std::make_shared<const Sections>(std::move(sections));
  document_ = std::make_shared<const Document>(std::move(*document));
  return true;
}

} // namespace coltsfootshed
