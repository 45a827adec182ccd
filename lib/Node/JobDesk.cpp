#include "coltsfootshed/Node/JobDesk.h"

#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Store/Keys.h"

#include <nlohmann/json.hpp>

namespace coltsfootshed {

/// Seconds after which a client may come back while the store is away.
static constexpr const char* kRetryAfter = "1";

/// Jobs are rejected this long after a write that got no answer.
static constexpr Millis kWritePause{ 500 };

static HttpAnswer JsonAnswer(int aCode, std::string aBody)
{
  return { aCode,
           { { "Content-Type", "application/json" } },
           std::move(aBody) };
}

static HttpAnswer Unavailable()
{
  HttpAnswer answer = JsonAnswer(503, "{}");
  answer.headers_.emplace_back("Retry-After", kRetryAfter);
  return answer;
}

JobDesk::JobDesk(const Clock& aClock,
                 const Clock& aTimeOfDay,
                 KeyValueStore& aStore,
                 LeaderLinks& aLinks,
                 const WireFormat& aFormat,
                 ReachesStore aReachesStore)
  : clock_(aClock)
  , timeOfDay_(aTimeOfDay)
  , store_(aStore)
  , links_(aLinks)
  , format_(aFormat)
  , reachesStore_(std::move(aReachesStore))
{
}

/// While the store is away a write would only end without an answer, and its
/// client could not be told to come back; a rejection can.
bool JobDesk::MayWrite() const
{
  return reachesStore_() && clock_.Now() >= noWriteBefore_;
}

void JobDesk::Serve(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  if (config_ == nullptr) {
    aExchange->Reply(Unavailable());
    return;
  }
  std::string_view path = PathOf(request.target_);
  auto host = FindHeader(request.headers_, "Host");
  const QueueConfig* queue = config_->Find(host.value_or(""), path);
  if (queue == nullptr) {
    LogDecision("no-queue",
                { { "path", std::string(path) },
                  { "host", std::string(host.value_or("")) },
                  { "config", std::to_string(config_->version_) } });
    aExchange->Reply(JsonAnswer(404, "{}"));
    return;
  }
  std::string job(path.substr(queue->prefix_.size()));
  Count("requests_" + request.method_);
  if (job.empty() && request.method_ == "GET") {
    ShowWaiting(aExchange, *queue);
  } else if (!IsJobId(job)) {
    // The path lies below the queue, perhaps in one that is not known yet.
    LogDecision("no-queue",
                { { "path", std::string(path) },
                  { "nearest", queue->name_ },
                  { "config", std::to_string(config_->version_) } });
    aExchange->Reply(JsonAnswer(404, "{}"));
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

void JobDesk::Submit(const Exchange& aExchange,
                     const QueueConfig& aQueue,
                     const std::string& aJob)
{
  auto spec = format_.readJob_(aExchange->Request().body_);
  if (!spec) {
    LogDecision("job-malformed",
                { { "job", aJob }, { "error", spec.error().Text() } });
    aExchange->Reply(JsonAnswer(
      400, nlohmann::json{ { "error", spec.error().Text() } }.dump()));
    return;
  }
  if (!MayWrite()) {
    LogDecision("job-rejected",
                { { "job", aJob },
                  { "queue", aQueue.name_ },
                  { "reason", "the store is away" } });
    Count("jobs_rejected_store_away");
    aExchange->Reply(Unavailable());
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
  record.aim_ = aQueue.aim_;
  record.acceptedAt_ = timeOfDay_.Now();
  record.advised_ = aQueue.advised_;
  Transaction transaction;
  transaction.conditions_.push_back({ keys::Job(aJob), 0 });
  transaction.puts_.push_back({ keys::Job(aJob), EncodeRecord(record) });
  std::uint64_t version = config_->version_;
  store_.Commit(transaction,
                [this, aExchange, record = std::move(record), version](
                  const CommitResult& aResult) {
                  bool accepted = aResult.end_ == CommitEnd::Committed;
                  bool known = aResult.end_ == CommitEnd::ConditionFailed;
                  bool unknown = aResult.end_ == CommitEnd::Unknown;
                  LogDecision(accepted  ? "job-accepted"
                              : known   ? "job-known"
                              : unknown ? "job-unknown-outcome"
                                        : "job-rejected",
                              { { "job", record.id_ },
                                { "queue", record.queue_ },
                                { "service", record.service_ },
                                { "config", std::to_string(version) },
                                { "reason", aResult.reason_ } });
                  if (accepted || known) {
                    aExchange->Reply(JsonAnswer(200, "{}"));
                  } else if (unknown) {
                    // It may be stored, now or later: not a rejection.
                    noWriteBefore_ = clock_.Now() + kWritePause;
                    aExchange->Reply(JsonAnswer(504, "{}"));
                  } else {
                    aExchange->Reply(Unavailable());
                  }
                  if (accepted) {
                    links_.AnnounceJob(record, aResult.revision_);
                  }
                });
}

void JobDesk::Show(const Exchange& aExchange,
                   const QueueConfig& aQueue,
                   const std::string& aJob)
{
  links_.AskState(
    aQueue.service_,
    aJob,
    [this, aExchange, asked = aQueue.service_, aJob](
      const StateAnswer& aAnswer) {
      if (aAnswer && aAnswer->has_value()) {
        aExchange->Reply(
          JsonAnswer(200, format_.writeState_(NameOf(**aAnswer))));
        return;
      }
      ShowFromStore(aExchange, aAnswer ? asked : std::string(), aJob);
    });
}

/// The leader of the queue's service, aAsked, does not know the job, or is
/// empty if no leader answered.
void JobDesk::ShowFromStore(const Exchange& aExchange,
                            const std::string& aAsked,
                            const std::string& aJob)
{
  store_.Get(
    keys::Job(aJob),
    [this, aExchange, aAsked, aJob](
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
      if (aAsked.empty() || aAsked == record->service_) {
        ShowSaved(aExchange, record->service_, aJob);
        return;
      }
      // Its queue went to another service after it was accepted.
      links_.AskState(record->service_,
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

static std::string_view StateIn(const std::optional<StoreItem>& aProgress)
{
  if (!aProgress) {
    return "queued";
  }
  auto json = nlohmann::json::parse(aProgress->value_, nullptr, false);
  auto state = ParseJobState(
    json.is_object() ? json.value("state", std::string()) : std::string());
  return state ? NameOf(*state) : "running";
}

void JobDesk::ShowSaved(const Exchange& aExchange,
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
      aExchange->Reply(JsonAnswer(200, format_.writeState_(StateIn(*aItem))));
    });
}

void JobDesk::Cancel(const Exchange& aExchange, const std::string& aJob)
{
  store_.Get(
    keys::Job(aJob),
    [this, aExchange, aJob](const Result<std::optional<StoreItem>>& aItem) {
      if (!aItem) {
        aExchange->Reply(Unavailable());
        return;
      }
      auto record = aItem->has_value()
                      ? DecodeRecord((*aItem)->value_)
                      : Fail("cancel", aJob, "there is no such job");
      if (!record) {
        LogDecision("cancel-no-job",
                    { { "job", aJob }, { "error", record.error().Text() } });
        aExchange->Reply(JsonAnswer(410, "{}"));
        return;
      }
      MarkCancelled(aExchange, record->service_, aJob);
    });
}

void JobDesk::MarkCancelled(const Exchange& aExchange,
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
                    links_.AnnounceCancel(aService, aJob);
                    aExchange->Reply(JsonAnswer(200, "{}"));
                  } else if (aResult.end_ == CommitEnd::Unknown) {
                    aExchange->Reply(JsonAnswer(504, "{}"));
                  } else {
                    aExchange->Reply(Unavailable());
                  }
                });
}

void JobDesk::ShowWaiting(const Exchange& aExchange, const QueueConfig& aQueue)
{
  links_.AskWaiting(aQueue.service_,
                    aQueue.name_,
                    [this, aExchange](const Result<int>& aWaiting) {
                      aExchange->Reply(
                        aWaiting
                          ? JsonAnswer(200, format_.writeWaiting_(*aWaiting))
                          : Unavailable());
                    });
}

} // namespace coltsfootshed
