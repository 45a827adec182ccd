/// \file
/// The configuration in force in one process. Its version only rises, whatever
/// the source of a new one.
#ifndef COLTSFOOTSHED_CONFIG_ACTIVECONFIG_H
#define COLTSFOOTSHED_CONFIG_ACTIVECONFIG_H

#include "coltsfootshed/Config/Document.h"
#include "coltsfootshed/Config/Version.h"
#include "coltsfootshed/Support/Error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace coltsfootshed {

class ActiveConfig
{
public:
  /// Version in force; 0 if there is none yet.
  std::uint64_t Version() const { return head_.version_; }
  const Head& CurrentHead() const { return head_; }
  /// Never null.
  std::shared_ptr<const Sections> CurrentSections() const { return sections_; }
  /// Null until a configuration is in force.
  std::shared_ptr<const Document> CurrentDocument() const { return document_; }
  /// Text of the document; empty until a configuration is in force.
  const std::string& Text() const { return text_; }

  /// Returns the digests of aHead whose sections are not held.
  std::vector<std::string> MissingDigests(const Head& aHead) const;
  /// Puts aHead in force, with its sections taken from aFetched or from those
  /// held. Returns false if aHead is not newer, and an error if a section is
  /// missing or does not match its digest, or if the document is not valid. In
  /// these cases the configuration in force stays.
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
