#include "coltsfootshed/Node/LeaderElection.h"

#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Store/Keys.h"
#include "coltsfootshed/Support/JsonReader.h"

#include <algorithm>
#include <xxhash.h>

namespace coltsfootshed {

/// Allowance for clock differences and scheduling delays.
static constexpr Millis kLeaseMargin{ 200 };
/// Time between renewals; three fit into a lease.
static constexpr Millis kRenewalInterval{ 600 };
static constexpr Millis kFirstRetryDelay{ 50 };
static constexpr Millis kMaxRetryDelay{ 300 };
static constexpr Millis kCampaignInterval{ 200 };
/// Time after the registration during which this VM takes no duties, so that
/// other VMs can register too.
static constexpr Millis kSettlingTime{ 500 };
/// How long each VM in the ranking of a vacant duty waits for the one before
/// it.
static constexpr Millis kRankDelay{ 400 };

LeaderElection::LeaderElection(event_base* aBase,
                               const Clock& aClock,
                               KeyValueStore& aStore,
                               Options aOptions,
                               OnLeadership aOnLeadership,
                               IsOverloaded aIsOverloaded)
  : clock_(aClock)
  , store_(aStore)
  , options_(std::move(aOptions))
  , onLeadership_(std::move(aOnLeadership))
  , isOverloaded_(std::move(aIsOverloaded))
  , backoff_(kFirstRetryDelay,
             kMaxRetryDelay,
             XXH3_64bits(options_.node_.data(), options_.node_.size()))
  , keepTimer_(aBase, [this] { KeepAlive(); })
  , campaignTimer_(aBase, [this] { Campaign(); })
  , follower_(aBase,
              aClock,
              aStore,
              *this,
              { keys::kElectionPrefix, options_.longestWatch_ },
              XXH3_64bits(options_.node_.data(), options_.node_.size()))
{
  keepTimer_.Start(Millis(0));
  campaignTimer_.Start(kCampaignInterval);
}

void LeaderElection::SetDuties(std::set<std::string> aDuties)
{
  duties_ = std::move(aDuties);
}

const Leadership* LeaderElection::LeaderOf(std::string_view aDuty) const
{
  auto found = leaders_.find(aDuty);
  return found == leaders_.end() ? nullptr : &found->second;
}

std::optional<Endpoint> LeaderElection::PeerEndpointOf(
  std::string_view aNode) const
{
  auto found = members_.find(aNode);
  if (found == members_.end()) {
    return std::nullopt;
  }
  return found->second.peers_;
}

std::vector<std::pair<std::string, Endpoint>> LeaderElection::Members() const
{
  std::vector<std::pair<std::string, Endpoint>> members;
  for (const auto& [name, member] : members_) {
    members.emplace_back(name, member.peers_);
  }
  return members;
}

void LeaderElection::KeepAlive()
{
  if (leaving_) {
    return;
  }
  // The lease runs from the arrival of the call at the store, so it is safe to
  // count it from the sending.
  Millis sentAt = clock_.Now();
  if (lease_ == 0) {
    store_.GrantLease(std::max(kLease, options_.minLease_),
                      [this, sentAt](Result<LeaseId> aLease) {
                        if (!aLease) {
                          keepTimer_.Start(backoff_.Next());
                          return;
                        }
                        lease_ = *aLease;
                        ownLeases_.insert(lease_);
                        lastRenewedAt_ = sentAt;
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
      OnLeaseLost();
      keepTimer_.Start(Millis(0));
      return;
    }
    if (aEnd == KeepEnd::Kept) {
      lastRenewedAt_ = sentAt;
      backoff_.Reset();
    }
    keepTimer_.Start(aEnd == KeepEnd::Kept ? kRenewalInterval
                                           : backoff_.Next());
  });
}

/// Ends all leaderships under the lease, even if the watch still shows them.
void LeaderElection::OnLeaseLost()
{
  LogStateChange(
    "membership-lost",
    { { "lease", std::to_string(lease_) },
      { "renewed_ms_ago", std::to_string(TimeSinceRenewal().count()) } });
  ownLeases_.erase(lease_);
  lease_ = 0;
  registered_ = false;
  std::vector<std::string> duties;
  for (const auto& [duty, revision] : ledDuties_) {
    duties.push_back(duty);
  }
  for (const std::string& duty : duties) {
    UpdateDuty(duty);
  }
}

void LeaderElection::Register()
{
  Json value = { { "peers", options_.peers_.Text() },
                 { "share", options_.share_ },
                 { "link_mbps", options_.linkMbps_ } };
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
        LogStateChange("membership", { { "lease", std::to_string(lease_) } });
        keepTimer_.Start(kRenewalInterval);
        return;
      }
      if (aResult.end_ == CommitEnd::LeaseGone && lease == lease_) {
        OnLeaseLost();
      }
      keepTimer_.Start(backoff_.Next());
    });
}

LeaderCandidate LeaderElection::CandidateFor(const std::string& aDuty,
                                             const std::string& aNode) const
{
  const Member& member = members_.find(aNode)->second;
  auto duties =
    std::count_if(leaders_.begin(), leaders_.end(), [&](const auto& aEntry) {
      return aEntry.second.node_ == aNode && aEntry.first != aDuty;
    });
  auto last = lastLeader_.find(aDuty);
  return { aNode,
           member.share_,
           member.linkMbps_,
           static_cast<int>(duties),
           last != lastLeader_.end() && last->second == aNode };
}

std::vector<std::string> LeaderElection::Ranking(const std::string& aDuty) const
{
  std::vector<LeaderCandidate> candidates;
  for (const auto& [name, member] : members_) {
    candidates.push_back(CandidateFor(aDuty, name));
  }
  return RankCandidates(aDuty, std::move(candidates));
}

void LeaderElection::ConsiderHandOvers()
{
  if (!IsConfirmed() || leaving_ || members_.count(options_.node_) == 0) {
    return;
  }
  Millis now = clock_.Now();
  for (const auto& [duty, fence] : ledDuties_) {
    if (fence == 0 || !isOverloaded_(duty)) {
      continue;
    }
    std::vector<std::string> ranking = Ranking(duty);
    const std::string& best = ranking.front();
    LeaderCandidate own = CandidateFor(duty, options_.node_);
    LeaderCandidate other = CandidateFor(duty, best);
    HandOverInput input{ true,
                         LoadWithFurtherDuty(own),
                         LoadWithFurtherDuty(other),
                         now - ledSince_[duty],
                         now - members_.at(best).since_ };
    if (best != options_.node_ &&
        ShouldHandOver(input, options_.minLeadTime_)) {
      BeginHandOver(duty);
      return; // changes ledDuties_; the next duty follows at the next campaign
    }
  }
}

/// Stops leading before the key changes: a successor takes jobs that are
/// accepted under its leadership to be unknown to all earlier leaders.
void LeaderElection::BeginHandOver(const std::string& aDuty)
{
  Revision fence = ledDuties_.at(aDuty);
  LogDecision("hand-over",
              { { "duty", aDuty }, { "fence", std::to_string(fence) } });
  Count("hand_overs");
  handOvers_[aDuty] = fence;
  Abandon(aDuty);
  PassOn(aDuty);
}

void LeaderElection::PassOn(const std::string& aDuty)
{
  Revision fence = handOvers_.at(aDuty);
  const Leadership* leader = LeaderOf(aDuty);
  if (leader == nullptr || leader->revision_ != fence) {
    handOvers_.erase(aDuty); // another VM leads, or the duty is vacant
    return;
  }
  if (!pendingHandOvers_.insert(aDuty).second) {
    return;
  }
  Transaction transaction;
  transaction.conditions_.push_back({ keys::Leader(aDuty), fence });
  std::vector<std::string> ranking = Ranking(aDuty);
  auto other =
    std::find_if(ranking.begin(), ranking.end(), [this](const auto& aNode) {
      return aNode != options_.node_ && members_.at(aNode).lease_ != 0;
    });
  if (other == ranking.end()) {
    transaction.deletes_.push_back(keys::Leader(aDuty));
  } else {
    transaction.puts_.push_back(
      { keys::Leader(aDuty), *other, members_.at(*other).lease_ });
  }
  store_.Commit(transaction, [this, aDuty](const CommitResult& aResult) {
    pendingHandOvers_.erase(aDuty);
    bool isOver = aResult.end_ == CommitEnd::Committed ||
                  aResult.end_ == CommitEnd::ConditionFailed;
    if (isOver) {
      handOvers_.erase(aDuty);
    }
    LogStateChange("hand-over-ended",
                   { { "duty", aDuty },
                     { "done", isOver ? "1" : "0" },
                     { "reason", aResult.reason_ } });
  });
}

void LeaderElection::Campaign()
{
  campaignTimer_.Start(kCampaignInterval);
  ConsiderHandOvers();
  for (auto next = handOvers_.begin(); next != handOvers_.end();) {
    std::string duty = (next++)->first; // PassOn() may erase it
    PassOn(duty);
  }
  Millis now = clock_.Now();
  bool mayLead = registered_ && !leaving_ && follower_.HasSnapshot() &&
                 now - registeredAt_ >= kSettlingTime &&
                 TimeSinceRenewal() < kLease;
  for (const std::string& duty : duties_) {
    if (leaders_.count(duty) > 0) {
      vacantSince_.erase(duty);
      continue;
    }
    Millis since = vacantSince_.try_emplace(duty, now).first->second;
    if (!mayLead) {
      continue;
    }
    std::vector<std::string> ranking = Ranking(duty);
    auto own = std::find(ranking.begin(), ranking.end(), options_.node_);
    if (own - ranking.begin() <= (now - since) / kRankDelay) {
      TryToLead(duty);
      return; // the next duty once the outcome of this one is known
    }
  }
}

void LeaderElection::TryToLead(const std::string& aDuty)
{
  if (!pendingCampaigns_.insert(aDuty).second) {
    return;
  }
  Transaction transaction;
  transaction.conditions_.push_back({ keys::Leader(aDuty), 0 });
  transaction.puts_.push_back({ keys::Leader(aDuty), options_.node_, lease_ });
  // The watch shows the outcome, even if the store's answer is lost.
  store_.Commit(transaction,
                [this, aDuty, lease = lease_](const CommitResult& aResult) {
                  pendingCampaigns_.erase(aDuty);
                  if (aResult.end_ == CommitEnd::LeaseGone && lease == lease_) {
                    OnLeaseLost();
                  }
                });
}

void LeaderElection::OnSnapshot(std::vector<StoreItem> aItems)
{
  std::map<std::string, Leadership, std::less<>> before;
  std::swap(before, leaders_);
  auto membersBefore = std::exchange(members_, {});
  unreadableMembers_.clear();
  for (const StoreItem& item : aItems) {
    Apply(item);
  }
  for (auto& [name, member] : members_) {
    auto known = membersBefore.find(name);
    if (known != membersBefore.end() && known->second.lease_ == member.lease_) {
      member.since_ = known->second.since_;
    }
  }
  for (const auto& [duty, leadership] : before) {
    UpdateDuty(duty);
  }
}

void LeaderElection::OnEvent(const StoreEvent& aEvent)
{
  if (aEvent.deleted_) {
    Remove(aEvent.item_.key_);
  } else {
    Apply(aEvent.item_);
  }
}

void LeaderElection::Apply(const StoreItem& aItem)
{
  std::string node(keys::SuffixAfter(aItem.key_, keys::kNodePrefix));
  if (!node.empty()) {
    ApplyMember(node, aItem);
    return;
  }
  std::string duty(keys::SuffixAfter(aItem.key_, keys::kLeaderPrefix));
  if (!duty.empty()) {
    lastLeader_[duty] = aItem.value_;
    leaders_[duty] = { aItem.value_, aItem.revision_, aItem.lease_ };
    if (aItem.value_ == options_.node_) {
      EndLeaseOfEarlierProcess(aItem.lease_);
    }
    UpdateDuty(duty);
  }
}

/// Adds or updates a member. One whose entry cannot be read is not a member.
void LeaderElection::ApplyMember(const std::string& aNode,
                                 const StoreItem& aItem)
{
  auto read = [](const Json& aJson) {
    auto peers = ParseEndpoint(aJson.at("peers").get<std::string>());
    auto share = Field<double>(aJson, "share", 1.0);
    auto linkMbps = Field<double>(aJson, "link_mbps", 0.0);
    if (!peers || !(share > 0) || !(linkMbps >= 0)) {
      throw std::invalid_argument("no valid address, share or bandwidth");
    }
    Member member{ *peers, share, linkMbps };
    return member;
  };
  auto member =
    ReadJson<Member>(aItem.value_, kOwnDocument, "read a member", aNode, read);
  if (!member) {
    LogStateChange("member-unreadable",
                   { { "vm", aNode }, { "error", member.error().Text() } });
    members_.erase(aNode);
    unreadableMembers_.insert(aNode);
    return;
  }
  unreadableMembers_.erase(aNode);
  auto known = members_.find(aNode);
  bool isSameProcess =
    known != members_.end() && known->second.lease_ == aItem.lease_;
  member->lease_ = aItem.lease_;
  member->since_ = isSameProcess ? known->second.since_ : clock_.Now();
  members_[aNode] = std::move(*member);
}

void LeaderElection::Remove(std::string_view aKey)
{
  std::string node(keys::SuffixAfter(aKey, keys::kNodePrefix));
  members_.erase(node);
  unreadableMembers_.erase(node);
  std::string duty(keys::SuffixAfter(aKey, keys::kLeaderPrefix));
  if (!duty.empty()) {
    leaders_.erase(duty);
    UpdateDuty(duty);
  }
}

/// Ends a lease that an earlier process of this VM held, so that its duties get
/// a leader before the lease expires. That process has ended, as this one has
/// its name.
void LeaderElection::EndLeaseOfEarlierProcess(LeaseId aLease)
{
  if (aLease == 0 || ownLeases_.count(aLease) > 0) {
    return;
  }
  LogStateChange("earlier-process", { { "lease", std::to_string(aLease) } });
  store_.EndLease(aLease, [] {});
}

void LeaderElection::UpdateDuty(const std::string& aDuty)
{
  auto found = leaders_.find(aDuty);
  // A leadership of an earlier process of this VM is not continued: with the
  // same fence, run numbers would be assigned twice.
  bool isOwn = found != leaders_.end() &&
               found->second.node_ == options_.node_ &&
               ownLeases_.count(found->second.lease_) > 0;
  Revision revision = isOwn ? found->second.revision_ : 0;
  auto abandoned = abandoned_.find(aDuty);
  if (abandoned != abandoned_.end() && abandoned->second == revision) {
    revision = 0;
  }
  Revision& ledFence = ledDuties_[aDuty];
  if (ledFence == revision) {
    return;
  }
  if (ledFence != 0) {
    LogStateChange(
      "leadership-lost",
      { { "duty", aDuty }, { "fence", std::to_string(ledFence) } });
    ledFence = 0;
    onLeadership_(aDuty, 0);
  }
  if (revision != 0 && !leaving_) {
    LogStateChange(
      "leadership",
      { { "duty", aDuty }, { "fence", std::to_string(revision) } });
    ledDuties_[aDuty] = revision;
    ledSince_[aDuty] = clock_.Now();
    onLeadership_(aDuty, revision);
  }
}

Millis LeaderElection::TimeAsMember() const
{
  return registered_ ? clock_.Now() - registeredAt_ : Millis(0);
}

bool LeaderElection::IsConfirmed() const
{
  return lease_ != 0 && TimeSinceRenewal() < kLease - kLeaseMargin;
}

void LeaderElection::Abandon(const std::string& aDuty)
{
  abandoned_[aDuty] = ledDuties_[aDuty];
  UpdateDuty(aDuty);
}

void LeaderElection::Leave(std::function<void()> aOnEnd)
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
