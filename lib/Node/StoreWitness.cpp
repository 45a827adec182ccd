#include "coltsfootshed/Node/StoreWitness.h"

#include <algorithm>

namespace coltsfootshed {

static constexpr Millis kTick{ 200 };
/// A VM that renews its lease in time has heard from the store more recently.
static constexpr Millis kHealthyAge{ 900 };
static constexpr Millis kAskLimit{ 400 };
/// An answer of another VM counts this long.
static constexpr Millis kAnswerAge{ 900 };

StoreWitness::StoreWitness(event_base* aBase,
                           const Clock& aClock,
                           const LeaderTable& aTable,
                           std::string aNode,
                           OnAuthority aOnAuthority)
  : clock_(aClock)
  , table_(aTable)
  , node_(std::move(aNode))
  , onAuthority_(std::move(aOnAuthority))
  , caller_(aBase, aClock, 1)
  , timer_(aBase, [this] { Tick(); })
{
  timer_.Start(kTick);
}

bool StoreWitness::ReachesStore() const
{
  return table_.StoreAge() < kHealthyAge;
}

void StoreWitness::Tick()
{
  timer_.Start(kTick);
  if (!ReachesStore()) {
    Ask();
  }
  onAuthority_(Judge());
}

void StoreWitness::Ask()
{
  for (const auto& [name, peers] : table_.Members()) {
    if (name == node_) {
      continue;
    }
    caller_.Call(peers,
                 { "GET", kPath, { { "Host", peers.Text() } }, {} },
                 kAskLimit,
                 Reuse::Any,
                 [this, name = name](const CallResult& aResult) {
                   bool no = aResult.end_ == CallEnd::Answered &&
                             aResult.answer_.body_ == kNo;
                   if (no) {
                     saidNo_[name] = clock_.Now();
                   } else if (aResult.end_ == CallEnd::Answered) {
                     saidNo_.erase(name);
                   }
                 });
  }
}

Authority StoreWitness::Judge() const
{
  if (table_.IsConfirmed()) {
    return Authority::Confirmed;
  }
  Millis now = clock_.Now();
  auto members = table_.Members();
  // A VM that does not answer may reach the store, and have taken over.
  bool nobody =
    std::all_of(members.begin(), members.end(), [&](const auto& aMember) {
      auto said = saidNo_.find(aMember.first);
      return aMember.first == node_ ||
             (said != saidNo_.end() && now - said->second <= kAnswerAge);
    });
  return nobody && table_.HasLease() ? Authority::StoreAway
                                     : Authority::Doubtful;
}

} // namespace coltsfootshed
