#include "coltsfootshed/Fleet/ConfigFetch.h"

#include <cassert>
#include <utility>

namespace coltsfootshed {

ConfigFetch::ConfigFetch(PlatformClient& aPlatform)
  : platform_(aPlatform)
{
}

void ConfigFetch::Start(std::vector<std::string> aDigests, OnEnd aOnEnd)
{
  assert(!IsRunning() && "only one fetch may run at a time");
  digests_ = std::move(aDigests);
  sections_.clear();
  onEnd_ = std::move(aOnEnd);
  FetchNext();
}

void ConfigFetch::FetchNext()
{
  if (digests_.empty()) {
    End(std::move(sections_));
    return;
  }
  std::string digest = std::move(digests_.back());
  digests_.pop_back();
  platform_.Get(std::string(kSectionPrefix) + digest,
                [this, digest](Result<StoredValue> aValue) {
                  OnSection(digest, std::move(aValue));
                });
}

void ConfigFetch::OnSection(const std::string& aDigest,
                            Result<StoredValue> aValue)
{
  if (!aValue) {
    End(tl::unexpected(aValue.error()));
    return;
  }
  if (aValue->revision_ == 0) {
    End(Fail("fetch config section", "platform", "not found: " + aDigest));
    return;
  }
  sections_.emplace(aDigest, std::move(aValue->value_));
  FetchNext();
}

void ConfigFetch::End(Result<Sections> aResult)
{
  std::exchange(onEnd_, nullptr)(std::move(aResult));
}

} // namespace coltsfootshed
