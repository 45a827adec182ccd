#include "coltsfootshed/Node/JobApi.h"

#include "coltsfootshed/Accounts/Credentials.h"
#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Store/Keys.h"
#include "coltsfootshed/Support/JsonReader.h"

#include <algorithm>

namespace coltsfootshed {

/// Value of the Retry-After header of each answer 503.
static constexpr const char* kRetryAfterSeconds = "1";

/// New jobs are rejected for this long after a write that got no answer.
static constexpr Millis kWritePauseAfterUnknown{ 500 };

static HttpAnswer JsonAnswer(int aCode, std::string aBody)
{
  return { aCode,
           { { "Content-Type", "application/json" } },
           std::move(aBody) };
}

static HttpAnswer Unavailable()
{
  HttpAnswer answer = JsonAnswer(503, "{}");
  answer.headers_.emplace_back("Retry-After", kRetryAfterSeconds);
  return answer;
}

/// Returns the answer to a cancel whose mark was not written for certain.
static HttpAnswer NotMarked(CommitEnd aEnd)
{
  return aEnd == CommitEnd::Unknown ? JsonAnswer(504, "{}") : Unavailable();
}

/// What has become of a request to submit a job.
enum class SubmitOutcome
{
  Accepted,
  AlreadyStored,    ///< by an earlier request for the same job
  AlreadyCancelled, ///< was not stored, and will not be
  Rejected,
  Unknown ///< may be stored, or may still be
};

static std::string_view NameOf(SubmitOutcome aOutcome)
{
  switch (aOutcome) {
    case SubmitOutcome::Accepted:
      return "job-accepted";
    case SubmitOutcome::AlreadyStored:
      return "job-known";
    case SubmitOutcome::AlreadyCancelled:
      return "job-cancelled-before";
    case SubmitOutcome::Rejected:
      return "job-rejected";
    case SubmitOutcome::Unknown:
      break;
  }
  return "job-unknown-outcome";
}

/// Returns the item of aKey in the state that made a transaction fail, or null.
static const StoreItem* FindCurrent(const CommitResult& aResult,
                                    std::string_view aKey)
{
  auto found = std::find_if(aResult.current_.begin(),
                            aResult.current_.end(),
                            [&](const StoreItem& aItem) {
                              return aItem.key_ == aKey && aItem.revision_ != 0;
                            });
  return found == aResult.current_.end() ? nullptr : &*found;
}

/// Returns the outcome of the transaction that stores a job if neither the job
/// nor its cancel mark exists.
static SubmitOutcome OutcomeOf(const CommitResult& aResult,
                               std::string_view aJob)
{
  switch (aResult.end_) {
    case CommitEnd::Committed:
      return SubmitOutcome::Accepted;
    case CommitEnd::ConditionFailed:
      if (FindCurrent(aResult, keys::Job(aJob)) != nullptr) {
        return SubmitOutcome::AlreadyStored;
      }
      return FindCurrent(aResult, keys::Cancel(aJob)) != nullptr
               ? SubmitOutcome::AlreadyCancelled
               : SubmitOutcome::Unknown;
    case CommitEnd::Unknown:
      return SubmitOutcome::Unknown;
    default:
      return SubmitOutcome::Rejected;
  }
}

JobApi::JobApi(const Clock& aClock,
               const Clock& aWallClock,
               KeyValueStore& aStore,
               LeaderRpc& aLeaderRpc,
               const WireFormat& aFormat,
               ConfigReader& aConfigReader,
               const ConfigFreshness& aFreshness,
               ReachesStore aReachesStore)
  : clock_(aClock)
  , wallClock_(aWallClock)
  , store_(aStore)
  , leaderRpc_(aLeaderRpc)
  , format_(aFormat)
  , configReader_(aConfigReader)
  , freshness_(aFreshness)
  , reachesStore_(std::move(aReachesStore))
{
}

/// Returns whether new jobs may be written to the store. While the store is
/// unavailable, a write would end without an answer, and its client could not
/// be told to retry, as the job may be stored. A job that is rejected without a
/// write can be retried.
bool JobApi::MayWrite() const
{
  return reachesStore_() && clock_.Now() >= noWritesBefore_;
}

void JobApi::Serve(const Exchange& aExchange)
{
  if (config_ == nullptr) {
    aExchange->Reply(Unavailable());
    return;
  }
  if (!freshness_.IsCurrent() && reachesStore_()) {
    configReader_.Read([this, aExchange] { ServeWithKnownConfig(aExchange); });
    return;
  }
  ServeWithKnownConfig(aExchange);
}

void JobApi::ServeWithKnownConfig(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  Observe("config_age_ms", freshness_.Age());
  std::string_view path = PathOf(request.target_);
  auto host = FindHeader(request.headers_, "Host");
  const QueueConfig* queue = config_->Find(host.value_or(""), path);
  std::string job(queue == nullptr ? std::string_view()
                                   : path.substr(queue->prefix_.size()));
  bool asksWaiting =
    queue != nullptr && job.empty() && request.method_ == "GET";
  // A path without a job's id may belong to a queue that this VM's
  // configuration lacks yet.
  bool isKnown = asksWaiting || (queue != nullptr && IsJobId(job));
  if (isKnown ? !freshness_.MayShowJobs() : !freshness_.IsCurrent()) {
    RejectConfigOld(aExchange);
    return;
  }
  if (!isKnown) {
    RejectUnknownQueue(aExchange, queue == nullptr ? "" : queue->name_);
    return;
  }
  std::optional<std::string> account = IdentifyCaller(aExchange, *queue);
  if (!account) {
    return;
  }
  Count("requests_" + request.method_);
  if (asksWaiting) {
    ShowWaiting(aExchange, *queue);
  } else if (request.method_ == "POST") {
    Submit(aExchange, *queue, job, *account);
  } else if (request.method_ == "GET") {
    Show(aExchange, *queue, job);
  } else if (request.method_ == "DELETE") {
    Cancel(aExchange, *queue, job);
  } else {
    aExchange->Reply(JsonAnswer(405, "{}"));
  }
}

std::optional<std::string> JobApi::IdentifyCaller(const Exchange& aExchange,
                                                  const QueueConfig& aQueue)
{
  if (!config_->hasAccounts_ || aQueue.public_) {
    return std::string();
  }
  auto key = ReadApiKey(aExchange->Request().headers_);
  const std::string* account = key ? config_->keys_.Find(*key) : nullptr;
  if (account != nullptr) {
    return *account;
  }
  if (!freshness_.IsCurrent()) {
    // A newer configuration may have the key, or make the queue public.
    RejectConfigOld(aExchange);
  } else {
    RejectCaller(aExchange, key ? "unknown API key" : TextOf(key.error()));
  }
  return std::nullopt;
}

void JobApi::RejectCaller(const Exchange& aExchange, std::string_view aReason)
{
  LogDecision(
    "caller-rejected",
    { { "path", std::string(PathOf(aExchange->Request().target_)) },
      { "reason", std::string(aReason) },
      { "config", std::to_string(config_->version_) },
      { "config_age_ms", std::to_string(freshness_.Age().count()) } });
  Count("requests_rejected_credentials");
  Json body = { { "error", aReason } };
  HttpAnswer answer = JsonAnswer(401, body.dump());
  answer.headers_.emplace_back("WWW-Authenticate", "Bearer");
  aExchange->Reply(answer);
}

/// Replies to a request that the known configuration is too old to decide.
void JobApi::RejectConfigOld(const Exchange& aExchange)
{
  LogDecision(
    "config-old",
    { { "path", std::string(PathOf(aExchange->Request().target_)) },
      { "config", std::to_string(config_->version_) },
      { "config_age_ms", std::to_string(freshness_.Age().count()) } });
  Count("requests_rejected_config_old");
  aExchange->Reply(Unavailable());
}

/// Replies to a request whose path belongs to no queue. aNearestQueue is the
/// queue whose prefix matches, if there is one.
void JobApi::RejectUnknownQueue(const Exchange& aExchange,
                                const std::string& aNearestQueue)
{
  const HttpRequest& request = aExchange->Request();
  auto host = FindHeader(request.headers_, "Host");
  LogDecision(
    "no-queue",
    { { "path", std::string(PathOf(request.target_)) },
      { "host", std::string(host.value_or("")) },
      { "nearest", aNearestQueue },
      { "config", std::to_string(config_->version_) },
      { "config_age_ms", std::to_string(freshness_.Age().count()) } });
  aExchange->Reply(JsonAnswer(404, "{}"));
}

void JobApi::Submit(const Exchange& aExchange,
                    const QueueConfig& aQueue,
                    const std::string& aJob,
                    const std::string& aAccount)
{
  auto spec = format_.readJob_(aExchange->Request().body_);
  if (!spec) {
    LogDecision("job-malformed",
                { { "job", aJob }, { "error", spec.error().Text() } });
    // The error may quote bytes of the body that are no UTF-8.
    Json body = { { "error", spec.error().Text() } };
    aExchange->Reply(JsonAnswer(
      400, body.dump(-1, ' ', false, Json::error_handler_t::replace)));
    return;
  }
  if (!MayWrite()) {
    LogDecision("job-rejected",
                { { "job", aJob },
                  { "queue", aQueue.name_ },
                  { "reason", "the store is unavailable" } });
    Count("jobs_rejected_store_away");
    aExchange->Reply(Unavailable());
    return;
  }
  if (!freshness_.IsCurrent()) {
    RejectConfigOld(aExchange);
    return;
  }
  JobRecord record;
  record.id_ = aJob;
  record.queue_ = aQueue.name_;
  record.service_ = aQueue.service_;
  record.spec_ = std::move(*spec);
  record.priority_ = aQueue.priority_;
  record.maxAttempts_ = aQueue.maxAttempts_;
  record.stretch_ = aQueue.stretch_;
  record.objectiveBase_ = aQueue.objectiveBase_;
  record.acceptedAt_ = wallClock_.Now();
  record.needsTickets_ = aQueue.needsTickets_;
  record.account_ = aAccount;
  Transaction transaction;
  transaction.conditions_.push_back({ keys::Job(aJob), 0 });
  transaction.conditions_.push_back({ keys::Cancel(aJob), 0 });
  transaction.puts_.push_back({ keys::Job(aJob), EncodeRecord(record) });
  std::uint64_t version = config_->version_;
  Millis configAge = freshness_.Age();
  store_.Commit(
    transaction,
    [this, aExchange, record = std::move(record), version, configAge](
      const CommitResult& aResult) {
      SubmitOutcome outcome = OutcomeOf(aResult, record.id_);
      LogDecision(NameOf(outcome),
                  { { "job", record.id_ },
                    { "queue", record.queue_ },
                    { "service", record.service_ },
                    { "account", record.account_ },
                    { "config", std::to_string(version) },
                    { "config_age_ms", std::to_string(configAge.count()) },
                    { "reason", aResult.reason_ } });
      switch (outcome) {
        case SubmitOutcome::Accepted:
          aExchange->Reply(JsonAnswer(200, "{}"));
          leaderRpc_.AnnounceJob(record, aResult.revision_);
          break;
        case SubmitOutcome::AlreadyStored:
          aExchange->Reply(JsonAnswer(200, "{}"));
          break;
        case SubmitOutcome::AlreadyCancelled:
          // No Retry-After: the job would be rejected again.
          aExchange->Reply(
            JsonAnswer(503, R"({"error":"the job was cancelled before"})"));
          break;
        case SubmitOutcome::Unknown:
          // The job may be stored, now or later, so the answer must not say
          // that it is rejected.
          if (aResult.end_ == CommitEnd::Unknown) {
            noWritesBefore_ = clock_.Now() + kWritePauseAfterUnknown;
          }
          aExchange->Reply(JsonAnswer(504, "{}"));
          break;
        case SubmitOutcome::Rejected:
          aExchange->Reply(Unavailable());
          break;
      }
    });
}

void JobApi::Show(const Exchange& aExchange,
                  const QueueConfig& aQueue,
                  const std::string& aJob)
{
  leaderRpc_.AskState(
    aQueue.service_,
    aJob,
    [this, aExchange, askedService = aQueue.service_, aJob](
      const StateAnswer& aAnswer) {
      if (aAnswer && aAnswer->has_value()) {
        aExchange->Reply(
          JsonAnswer(200, format_.writeState_(NameOf(**aAnswer))));
        return;
      }
      ShowFromStore(aExchange, aAnswer ? askedService : std::string(), aJob);
    });
}

/// Replies with the state of a job that the leader of the queue's service,
/// aAskedService, does not know. aAskedService is empty if no leader answered.
void JobApi::ShowFromStore(const Exchange& aExchange,
                           const std::string& aAskedService,
                           const std::string& aJob)
{
  store_.Get(
    keys::Job(aJob),
    [this, aExchange, aAskedService, aJob](
      const Result<std::optional<StoreItem>>& aItem) {
      if (!aItem) {
        LogDecision("state-unknown",
                    { { "job", aJob }, { "error", aItem.error().Text() } });
        aExchange->Reply(Unavailable());
        return;
      }
      if (!aItem->has_value()) {
        LogDecision("state-no-job", { { "job", aJob } });
        aExchange->Reply(JsonAnswer(410, "{}"));
        return;
      }
      auto record = DecodeRecord((*aItem)->value_);
      if (!record) {
        LogDecision("state-unknown",
                    { { "job", aJob }, { "error", record.error().Text() } });
        aExchange->Reply(JsonAnswer(500, "{}"));
        return;
      }
      if (aAskedService.empty() || aAskedService == record->service_) {
        ShowSaved(aExchange, record->service_, aJob);
        return;
      }
      // The queue was assigned to another service after the job was accepted.
      leaderRpc_.AskState(record->service_,
                          aJob,
                          [this, aExchange, service = record->service_, aJob](
                            const StateAnswer& aAnswer) {
                            if (aAnswer && aAnswer->has_value()) {
                              aExchange->Reply(JsonAnswer(
                                200, format_.writeState_(NameOf(**aAnswer))));
                              return;
                            }
                            ShowSaved(aExchange, service, aJob);
                          });
    });
}

/// Returns the name of the job state in a progress record. A job without a
/// record is queued; one whose record has no known state counts as running.
static std::string_view SavedStateName(
  const std::optional<StoreItem>& aProgress)
{
  if (!aProgress) {
    return "queued";
  }
  auto name = ReadJson<std::string>(
    aProgress->value_,
    kOwnDocument,
    "read saved progress",
    aProgress->key_,
    [](const Json& aJson) { return aJson.at("state").get<std::string>(); });
  auto state = ParseJobState(name.value_or(""));
  return state ? NameOf(*state) : "running";
}

/// Replies with the state in the job's saved progress.
void JobApi::ShowSaved(const Exchange& aExchange,
                       const std::string& aService,
                       const std::string& aJob)
{
  store_.Get(
    keys::Progress(aService, aJob),
    [this, aExchange, aJob](const Result<std::optional<StoreItem>>& aItem) {
      if (!aItem) {
        LogDecision("state-unknown",
                    { { "job", aJob }, { "error", aItem.error().Text() } });
        aExchange->Reply(Unavailable());
        return;
      }
      aExchange->Reply(
        JsonAnswer(200, format_.writeState_(SavedStateName(*aItem))));
    });
}

void JobApi::Cancel(const Exchange& aExchange,
                    const QueueConfig& aQueue,
                    const std::string& aJob)
{
  store_.Get(keys::Job(aJob),
             [this, aExchange, service = aQueue.service_, aJob](
               const Result<std::optional<StoreItem>>& aItem) {
               if (!aItem) {
                 aExchange->Reply(Unavailable());
               } else if (aItem->has_value()) {
                 CancelStored(aExchange, **aItem, aJob);
               } else {
                 CancelUnknown(aExchange, service, aJob);
               }
             });
}

void JobApi::CancelStored(const Exchange& aExchange,
                          const StoreItem& aItem,
                          const std::string& aJob)
{
  auto record = DecodeRecord(aItem.value_);
  if (!record) {
    LogDecision("cancel-unreadable",
                { { "job", aJob }, { "error", record.error().Text() } });
    aExchange->Reply(JsonAnswer(500, "{}"));
    return;
  }
  MarkCancelled(aExchange, record->service_, aJob);
}

/// Cancels a job that is not in the store. A request to submit it may still be
/// on its way to the store, or to an entry VM; the cancel mark makes it fail,
/// so that the answer stays true.
void JobApi::CancelUnknown(const Exchange& aExchange,
                           const std::string& aService,
                           const std::string& aJob)
{
  Transaction transaction;
  transaction.conditions_.push_back({ keys::Job(aJob), 0 });
  transaction.puts_.push_back({ keys::Cancel(aJob), aService });
  store_.Commit(
    transaction, [this, aExchange, aJob](const CommitResult& aResult) {
      const StoreItem* stored = FindCurrent(aResult, keys::Job(aJob));
      if (stored != nullptr) {
        CancelStored(aExchange, *stored, aJob);
        return;
      }
      bool marked = aResult.end_ == CommitEnd::Committed;
      LogDecision("cancel-no-job",
                  { { "job", aJob },
                    { "marked", marked ? "1" : "0" },
                    { "reason", aResult.reason_ } });
      aExchange->Reply(marked ? JsonAnswer(410, "{}")
                              : NotMarked(aResult.end_));
    });
}

void JobApi::MarkCancelled(const Exchange& aExchange,
                           const std::string& aService,
                           const std::string& aJob)
{
  Transaction transaction;
  transaction.puts_.push_back({ keys::Cancel(aJob), aService });
  store_.Commit(transaction,
                [this, aExchange, aService, aJob](const CommitResult& aResult) {
                  bool marked = aResult.end_ == CommitEnd::Committed;
                  LogDecision("cancel",
                              { { "job", aJob },
                                { "marked", marked ? "1" : "0" },
                                { "reason", aResult.reason_ } });
                  if (marked) {
                    leaderRpc_.AnnounceCancel(aService, aJob);
                  }
                  aExchange->Reply(marked ? JsonAnswer(200, "{}")
                                          : NotMarked(aResult.end_));
                });
}

void JobApi::ShowWaiting(const Exchange& aExchange, const QueueConfig& aQueue)
{
  leaderRpc_.AskWaiting(
    aQueue.service_,
    aQueue.name_,
    [this, aExchange, queue = aQueue.name_](const Result<int>& aWaiting) {
      if (!aWaiting) {
        LogDecision(
          "waiting-unknown",
          { { "queue", queue }, { "error", aWaiting.error().Text() } });
      }
      aExchange->Reply(aWaiting
                         ? JsonAnswer(200, format_.writeWaiting_(*aWaiting))
                         : Unavailable());
    });
}

} // namespace coltsfootshed
