#include "coltsfootshed/Node/JobApi.h"

#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Store/Keys.h"
#include "coltsfootshed/Support/JsonReader.h"

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
  Count("requests_" + request.method_);
  if (asksWaiting) {
    ShowWaiting(aExchange, *queue);
  } else if (request.method_ == "POST") {
    Submit(aExchange, *queue, job);
  } else if (request.method_ == "GET") {
    Show(aExchange, *queue, job);
  } else if (request.method_ == "DELETE") {
    Cancel(aExchange, job);
  } else {
    aExchange->Reply(JsonAnswer(405, "{}"));
  }
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
                    const std::string& aJob)
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
  Transaction transaction;
  transaction.conditions_.push_back({ keys::Job(aJob), 0 });
  transaction.puts_.push_back({ keys::Job(aJob), EncodeRecord(record) });
  std::uint64_t version = config_->version_;
  Millis configAge = freshness_.Age();
  store_.Commit(
    transaction,
    [this, aExchange, record = std::move(record), version, configAge](
      const CommitResult& aResult) {
      bool accepted = aResult.end_ == CommitEnd::Committed;
      bool duplicate = aResult.end_ == CommitEnd::ConditionFailed;
      bool unknown = aResult.end_ == CommitEnd::Unknown;
      LogDecision(accepted    ? "job-accepted"
                  : duplicate ? "job-known"
                  : unknown   ? "job-unknown-outcome"
                              : "job-rejected",
                  { { "job", record.id_ },
                    { "queue", record.queue_ },
                    { "service", record.service_ },
                    { "config", std::to_string(version) },
                    { "config_age_ms", std::to_string(configAge.count()) },
                    { "reason", aResult.reason_ } });
      if (accepted || duplicate) {
        aExchange->Reply(JsonAnswer(200, "{}"));
      } else if (unknown) {
        // The job may be stored, now or later, so the answer must
        // not say that it is rejected.
        noWritesBefore_ = clock_.Now() + kWritePauseAfterUnknown;
        aExchange->Reply(JsonAnswer(504, "{}"));
      } else {
        aExchange->Reply(Unavailable());
      }
      if (accepted) {
        leaderRpc_.AnnounceJob(record, aResult.revision_);
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

void JobApi::Cancel(const Exchange& aExchange, const std::string& aJob)
{
  store_.Get(
    keys::Job(aJob),
    [this, aExchange, aJob](const Result<std::optional<StoreItem>>& aItem) {
      if (!aItem) {
        aExchange->Reply(Unavailable());
        return;
      }
      auto record = aItem->has_value() ? DecodeRecord((*aItem)->value_)
                                       : Fail("cancel", aJob, "no such job");
      if (!record) {
        LogDecision("cancel-no-job",
                    { { "job", aJob }, { "error", record.error().Text() } });
        aExchange->Reply(JsonAnswer(410, "{}"));
        return;
      }
      MarkCancelled(aExchange, record->service_, aJob);
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
                    aExchange->Reply(JsonAnswer(200, "{}"));
                  } else if (aResult.end_ == CommitEnd::Unknown) {
                    aExchange->Reply(JsonAnswer(504, "{}"));
                  } else {
                    aExchange->Reply(Unavailable());
                  }
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
