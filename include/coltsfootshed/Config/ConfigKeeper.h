/// \file
/// The configuration in force in one process. It only moves to higher
/// versions, from whichever source they come.
#ifndef COLTSFOOTSHED_CONFIG_CONFIGKEEPER_H
#define COLTSFOOTSHED_CONFIG_CONFIGKEEPER_H

#include "coltsfootshed/Config/Document.h"
#include "coltsfootshed/Config/Version.h"
#include "coltsfootshed/Support/Error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace coltsfootshed {

class ConfigKeeper
{
public:
  /// 0 until a configuration is in force.
  std::uint64_t Version() const { return head_.version_; }
  const Head& CurrentHead() const { return head_; }
  std::shared_ptr<const Sections> CurrentSections() const { return sections_; }
  std::shared_ptr<const Document> CurrentDocument() const { return document_; }
  const std::string& Text() const { return text_; }

  /// Digests of aHead that are not at hand.
  std::vector<std::string> Missing(const Head& aHead) const;
  /// Puts aHead in force with what is at hand and aFetched. Returns false if
  /// it is not newer; an error if a section is missing or altered, or the
  /// document is not valid. What is in force stays so then.
  Result<bool> Adopt(const Head& aHead, const Sections& aFetched);

private:
  Head head_;
  std::shared_ptr<const Sections> sections_ =
    std::make_shared<const Sections>();
  std::shared_ptr<const Document> document_;
  std::string text_;
};

} // namespace coltsfootshed

#endif
