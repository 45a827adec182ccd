#include "coltsfootshed/Node/StoreOutageDetector.h"

#include <algorithm>

namespace coltsfootshed {

static constexpr Millis kTickInterval{ 200 };
/// A VM whose last renewal is older than this does not reach the store. One
/// that renews its lease in time stays below it.
static constexpr Millis kMaxHealthyAge{ 900 };
static constexpr Millis kAskTimeout{ 400 };
/// How long another VM's answer that it does not reach the store is valid.
static constexpr Millis kAnswerLifetime{ 900 };
/// A leader whose list of VMs was older than this at its last renewal may lack
/// some that registered long ago.
static constexpr Millis kMaxListAge{ 2000 };
/// Allowance for calls on their way and clock differences.
static constexpr Millis kKnownMargin{ 1000 };

StoreOutageDetector::StoreOutageDetector(event_base* aBase,
                                         const Clock& aClock,
                                         const LeaderElection& aElection,
                                         std::string aNode,
                                         std::function<void()> aOnChecked)
  : clock_(aClock)
  , election_(aElection)
  , node_(std::move(aNode))
  , onChecked_(std::move(aOnChecked))
  , httpClient_(aBase, aClock, 1)
  , timer_(aBase, [this] { Tick(); })
  , unreachedAt_(aClock.Now())
{
  timer_.Start(kTickInterval);
}

bool StoreOutageDetector::ReachesStore() const
{
  return election_.TimeSinceRenewal() < kMaxHealthyAge;
}

bool StoreOutageDetector::AnswerToPeer()
{
  bool reaches = ReachesStore();
  if (!reaches) {
    unreachedAt_ = clock_.Now();
  }
  return reaches;
}

bool StoreOutageDetector::WasKnownToPredecessorsOf(Millis aSince,
                                                   Millis aExtension) const
{
  Millis before =
    LeaderElection::kLease + aExtension + kMaxListAge + kKnownMargin;
  Millis needed = clock_.Now() - aSince + before;
  return HasReachedStoreFor(needed) && election_.TimeAsMember() >= needed;
}

bool StoreOutageDetector::HasReachedStoreFor(Millis aDuration) const
{
  return ReachesStore() && clock_.Now() - unreachedAt_ >= aDuration;
}

void StoreOutageDetector::Tick()
{
  timer_.Start(kTickInterval);
  if (!ReachesStore()) {
    unreachedAt_ = clock_.Now();
    Ask();
  }
  onChecked_();
}

void StoreOutageDetector::Ask()
{
  for (const auto& [name, endpoint] : election_.Members()) {
    if (name == node_) {
      continue;
    }
    httpClient_.Call(endpoint,
                     { "GET", kPath, { { "Host", endpoint.Text() } }, {} },
                     kAskTimeout,
                     Reuse::Any,
                     [this, name = name](const CallResult& aResult) {
                       bool storeUnreachable =
                         aResult.end_ == CallEnd::Answered &&
                         aResult.answer_.body_ == kNo;
                       if (storeUnreachable) {
                         storeUnreachableAt_[name] = clock_.Now();
                       } else if (aResult.end_ == CallEnd::Answered) {
                         storeUnreachableAt_.erase(name);
                       }
                     });
  }
}

Authority StoreOutageDetector::CurrentAuthority() const
{
  if (election_.IsConfirmed()) {
    return Authority::Confirmed;
  }
  Millis now = clock_.Now();
  auto members = election_.Members();
  // A VM that does not answer may reach the store and have taken over the
  // leadership.
  bool noOtherReachesStore =
    std::all_of(members.begin(), members.end(), [&](const auto& aMember) {
      auto entry = storeUnreachableAt_.find(aMember.first);
      return aMember.first == node_ || (entry != storeUnreachableAt_.end() &&
                                        now - entry->second <= kAnswerLifetime);
    });
  return noOtherReachesStore && election_.KnowsAllMembers() &&
             election_.HasLease() && election_.ListAgeAtRenewal() <= kMaxListAge
           ? Authority::StoreUnreachable
           : Authority::Doubtful;
}

} // namespace coltsfootshed
