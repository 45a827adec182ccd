#include "coltsfootshed/Node/LeaderTable.h"

#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Store/Keys.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace coltsfootshed {

using Json = nlohmann::json;

/// Lease of the membership: a dead leader is replaced after this long.
static constexpr Millis kLease{ 2000 };
/// Clocks and scheduling delays.
static constexpr Millis kLeaseMargin{ 200 };
/// Renewals; three fit into a lease.
static constexpr Millis kKeepPause{ 600 };
static constexpr Millis kFirstRetry{ 50 };
static constexpr Millis kMostRetry{ 300 };
static constexpr Millis kCampaignPause{ 200 };
/// Time for the others to register before duties are taken.
static constexpr Millis kSettle{ 500 };
/// How long each less preferred VM leaves a vacant duty to the one before it.
static constexpr Millis kRankDelay{ 400 };

LeaderTable::LeaderTable(event_base* aBase,
                         const Clock& aClock,
                         KeyValueStore& aStore,
                         Options aOptions,
                         OnDuty aOnDuty)
  : clock_(aClock)
  , store_(aStore)
  , options_(std::move(aOptions))
  , onDuty_(std::move(aOnDuty))
  , backoff_(kFirstRetry,
             kMostRetry,
             XXH3_64bits(options_.node_.data(), options_.node_.size()))
  , keepTimer_(aBase, [this] { KeepAlive(); })
  , campaignTimer_(aBase, [this] { Campaign(); })
  , follower_(aBase,
              aClock,
              aStore,
              *this,
              { keys::kMembersPrefix },
              XXH3_64bits(options_.node_.data(), options_.node_.size()))
{
  keepTimer_.Start(Millis(0));
  campaignTimer_.Start(kCampaignPause);
}

void LeaderTable::SetDuties(std::set<std::string> aDuties)
{
  duties_ = std::move(aDuties);
}

const Leadership* LeaderTable::LeaderOf(std::string_view aDuty) const
{
  auto found = leaders_.find(aDuty);
  return found == leaders_.end() ? nullptr : &found->second;
}

std::optional<Endpoint> LeaderTable::PeersOf(std::string_view aNode) const
{
  auto found = members_.find(aNode);
  if (found == members_.end()) {
    return std::nullopt;
  }
  return found->second.peers_;
}

std::vector<std::pair<std::string, Endpoint>> LeaderTable::Members() const
{
  std::vector<std::pair<std::string, Endpoint>> members;
  for (const auto& [name, member] : members_) {
    members.emplace_back(name, member.peers_);
  }
  return members;
}

void LeaderTable::KeepAlive()
{
  if (leaving_) {
    return;
  }
  // The lease runs from the call's arrival, so at least from its sending.
  Millis sentAt = clock_.Now();
  if (lease_ == 0) {
    store_.GrantLease(std::max(kLease, options_.leastLease_),
                      [this, sentAt](Result<LeaseId> aLease) {
                        if (!aLease) {
                          keepTimer_.Start(backoff_.Next());
                          return;
                        }
                        lease_ = *aLease;
                        ownLeases_.insert(lease_);
                        lastKept_ = sentAt;
                        registered_ = false;
                        Register();
                      });
    return;
  }
  if (!registered_) {
    Register();
    return;
  }
  store_.KeepLease(lease_, [this, sentAt](KeepEnd aEnd) {
    if (aEnd == KeepEnd::Gone) {
      LoseLease();
      keepTimer_.Start(Millis(0));
      return;
    }
    if (aEnd == KeepEnd::Kept) {
      lastKept_ = sentAt;
      backoff_.Reset();
    }
    keepTimer_.Start(aEnd == KeepEnd::Kept ? kKeepPause : backoff_.Next());
  });
}

/// All that was led under the lease is over, whatever the watch shows.
void LeaderTable::LoseLease()
{
  LogBelief("membership-lost",
            { { "lease", std::to_string(lease_) },
              { "kept_ms_ago", std::to_string(StoreAge().count()) } });
  ownLeases_.erase(lease_);
  lease_ = 0;
  registered_ = false;
  std::vector<std::string> duties;
  for (const auto& [duty, revision] : led_) {
    duties.push_back(duty);
  }
  for (const std::string& duty : duties) {
    UpdateDuty(duty);
  }
}

void LeaderTable::Register()
{
  Json value = { { "peers", options_.peers_.Text() },
                 { "share", options_.share_ } };
  Transaction transaction;
  transaction.puts_.push_back(
    { keys::Node(options_.node_), value.dump(), lease_ });
  store_.Commit(
    transaction, [this, lease = lease_](const CommitResult& aResult) {
      if (aResult.end_ == CommitEnd::Committed) {
        registered_ = true;
        if (registeredAt_ == Millis(0)) {
          registeredAt_ = clock_.Now();
        }
        backoff_.Reset();
        LogBelief("membership", { { "lease", std::to_string(lease_) } });
        keepTimer_.Start(kKeepPause);
        return;
      }
      if (aResult.end_ == CommitEnd::LeaseGone && lease == lease_) {
        LoseLease();
      }
      keepTimer_.Start(backoff_.Next());
    });
}

/// The VM that should lead a duty: the one with the fewest duties for its
/// size, ties by rendezvous hashing; aRank counts from the best.
std::string LeaderTable::Preferred(const std::string& aDuty,
                                   std::size_t aRank) const
{
  std::map<std::string_view, int> led;
  for (const auto& [duty, leadership] : leaders_) {
    ++led[leadership.node_];
  }
  std::vector<std::tuple<double, XXH64_hash_t, std::string>> ranked;
  for (const auto& [name, member] : members_) {
    auto counted = led.find(name);
    int count = counted == led.end() ? 0 : counted->second;
    std::string mixed = aDuty;
    mixed.append("/").append(name);
    // The last leader knows most, and holds no orders of others back.
    auto last = lastLeader_.find(aDuty);
    bool resumes = last != lastLeader_.end() && last->second == name;
    ranked.emplace_back(resumes ? 0.0
                                : (count + 1) / std::max(member.share_, 0.01),
                        XXH3_64bits(mixed.data(), mixed.size()),
                        name);
  }
  std::sort(ranked.begin(), ranked.end());
  return aRank < ranked.size() ? std::get<2>(ranked[aRank]) : std::string();
}

void LeaderTable::Campaign()
{
  campaignTimer_.Start(kCampaignPause);
  Millis now = clock_.Now();
  bool mayLead = registered_ && !leaving_ && follower_.HasSnapshot() &&
                 now - registeredAt_ >= kSettle && StoreAge() < kLease;
  for (const std::string& duty : duties_) {
    if (leaders_.count(duty) > 0) {
      vacantSince_.erase(duty);
      continue;
    }
    Millis since = vacantSince_.try_emplace(duty, now).first->second;
    auto rank = static_cast<std::size_t>((now - since) / kRankDelay);
    for (std::size_t i = 0; mayLead && i <= rank; ++i) {
      if (Preferred(duty, i) == options_.node_) {
        TryToLead(duty);
        return; // the next one when this one is known
      }
    }
  }
}

void LeaderTable::TryToLead(const std::string& aDuty)
{
  if (!campaigning_.insert(aDuty).second) {
    return;
  }
  Transaction transaction;
  transaction.conditions_.push_back({ keys::Leader(aDuty), 0 });
  transaction.puts_.push_back({ keys::Leader(aDuty), options_.node_, lease_ });
  // The outcome shows in the members' watch, also when no answer comes.
  store_.Commit(transaction,
                [this, aDuty, lease = lease_](const CommitResult& aResult) {
                  campaigning_.erase(aDuty);
                  if (aResult.end_ == CommitEnd::LeaseGone && lease == lease_) {
                    LoseLease();
                  }
                });
}

void LeaderTable::OnSnapshot(std::vector<StoreItem> aItems)
{
  std::map<std::string, Leadership, std::less<>> before;
  std::swap(before, leaders_);
  members_.clear();
  for (const StoreItem& item : aItems) {
    Apply(item);
  }
  for (const auto& [duty, leadership] : before) {
    UpdateDuty(duty);
  }
}

void LeaderTable::OnEvent(const StoreEvent& aEvent)
{
  if (aEvent.deleted_) {
    Remove(aEvent.item_.key_);
  } else {
    Apply(aEvent.item_);
  }
}

void LeaderTable::Apply(const StoreItem& aItem)
{
  std::string node(keys::After(aItem.key_, keys::kNodePrefix));
  if (!node.empty()) {
    Json json = Json::parse(aItem.value_, nullptr, false);
    auto peers = ParseEndpoint(json.is_object() ? json.value("peers", "") : "");
    if (peers) {
      members_[node] = { *peers, json.value("share", 1.0) };
    }
    return;
  }
  std::string duty(keys::After(aItem.key_, keys::kLeaderPrefix));
  if (!duty.empty()) {
    lastLeader_[duty] = aItem.value_;
    leaders_[duty] = { aItem.value_, aItem.revision_, aItem.lease_ };
    if (aItem.value_ == options_.node_) {
      EndEarlierLife(aItem.lease_);
    }
    UpdateDuty(duty);
  }
}

void LeaderTable::Remove(std::string_view aKey)
{
  members_.erase(std::string(keys::After(aKey, keys::kNodePrefix)));
  std::string duty(keys::After(aKey, keys::kLeaderPrefix));
  if (!duty.empty()) {
    leaders_.erase(duty);
    UpdateDuty(duty);
  }
}

/// The process that held the lease has ended, as this one has its name: its
/// duties need not wait for the lease to run out.
void LeaderTable::EndEarlierLife(LeaseId aLease)
{
  if (aLease == 0 || ownLeases_.count(aLease) > 0) {
    return;
  }
  LogBelief("earlier-life", { { "lease", std::to_string(aLease) } });
  store_.EndLease(aLease, [] {});
}

void LeaderTable::UpdateDuty(const std::string& aDuty)
{
  auto found = leaders_.find(aDuty);
  // A key that an earlier process of this VM left is not this one's: its run
  // numbers would be given twice.
  bool mine = found != leaders_.end() &&
              found->second.node_ == options_.node_ &&
              ownLeases_.count(found->second.lease_) > 0;
  Revision revision = mine ? found->second.revision_ : 0;
  auto abandoned = abandoned_.find(aDuty);
  if (abandoned != abandoned_.end() && abandoned->second == revision) {
    revision = 0;
  }
  Revision& led = led_[aDuty];
  if (led == revision) {
    return;
  }
  if (led != 0) {
    LogBelief("leadership-lost",
              { { "duty", aDuty }, { "fence", std::to_string(led) } });
    led = 0;
    onDuty_(aDuty, 0);
  }
  if (revision != 0 && !leaving_) {
    LogBelief("leadership",
              { { "duty", aDuty }, { "fence", std::to_string(revision) } });
    led_[aDuty] = revision;
    onDuty_(aDuty, revision);
  }
}

bool LeaderTable::IsConfirmed() const
{
  return lease_ != 0 && StoreAge() < kLease - kLeaseMargin;
}

void LeaderTable::Abandon(const std::string& aDuty)
{
  abandoned_[aDuty] = led_[aDuty];
  UpdateDuty(aDuty);
}

void LeaderTable::Leave(std::function<void()> aOnEnd)
{
  leaving_ = true;
  keepTimer_.Stop();
  if (lease_ == 0) {
    aOnEnd();
    return;
  }
  store_.EndLease(lease_, std::move(aOnEnd));
}

} // namespace coltsfootshed
