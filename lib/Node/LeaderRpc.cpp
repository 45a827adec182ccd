#include "coltsfootshed/Node/LeaderRpc.h"

#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Support/JsonReader.h"

#include <charconv>

namespace coltsfootshed {

/// Entry VMs answer each other within milliseconds. After this timeout,
/// the caller reads the state of a job from the store.
static constexpr Millis kCallTimeout{ 600 };
static constexpr std::size_t kIdleConnections = 2;
static constexpr int kOk = 200;
static constexpr int kMalformed = 400;
static constexpr int kNotFound = 404;
/// The called VM does not lead the service.
static constexpr int kNotLeader = 409;
/// A pool manager with a higher fence has called before.
static constexpr int kSuperseded = 412;

static constexpr const char* kJobPath = "/job";
static constexpr const char* kCancelPath = "/cancel";
static constexpr const char* kStatePath = "/state";
static constexpr const char* kWaitingPath = "/waiting";
static constexpr const char* kPoolPath = "/pool";
static constexpr const char* kMetricsPath = "/metrics";
/// Header of an answer about waiting jobs: a list of services that may have
/// more of them.
static constexpr const char* kOtherServices = "Other-Services";

LeaderRpc::LeaderRpc(event_base* aBase,
                     const Clock& aClock,
                     const LeaderElection& aElection,
                     FindLocal aFindLocal,
                     Millis aMaxJobsAge)
  : election_(aElection)
  , findLocal_(std::move(aFindLocal))
  , maxJobsAge_(aMaxJobsAge)
  , httpClient_(aBase, aClock, kIdleConnections)
{
}

void LeaderRpc::Call(const std::string& aService,
                     HttpRequest aRequest,
                     std::function<void(Result<HttpAnswer>)> aOnAnswer)
{
  const Leadership* leader = election_.LeaderOf(aService);
  auto peer =
    leader == nullptr ? std::nullopt : election_.PeerEndpointOf(leader->node_);
  if (!peer) {
    aOnAnswer(Fail("reach the leader", aService, "no leader is known"));
    return;
  }
  aRequest.headers_.emplace_back("Host", peer->Text());
  httpClient_.Call(
    *peer,
    aRequest,
    kCallTimeout,
    Reuse::Any,
    [this, peer = *peer, onAnswer = std::move(aOnAnswer)](CallResult aResult) {
      if (aResult.end_ != CallEnd::Answered) {
        httpClient_.CloseIdle(peer);
        onAnswer(Fail("reach the leader", peer.Text(), "no answer"));
        return;
      }
      if (aResult.answer_.code_ == kNotLeader) {
        onAnswer(Fail(
          "reach the leader", peer.Text(), "it no longer leads the service"));
        return;
      }
      onAnswer(std::move(aResult.answer_));
    });
}

void LeaderRpc::AnnounceJob(const JobRecord& aRecord, Revision aCreated)
{
  if (ServiceLeader* local = findLocal_(aRecord.service_)) {
    if (election_.IsConfirmed()) {
      local->AddJob(aRecord, aCreated);
    }
    return;
  }
  Call(aRecord.service_,
       { "POST",
         std::string(kJobPath) + "?created=" + std::to_string(aCreated),
         {},
         EncodeRecord(aRecord) },
       [id = aRecord.id_](const Result<HttpAnswer>& aAnswer) {
         if (!aAnswer) {
           LogDecision("job-not-announced",
                       { { "job", id }, { "error", aAnswer.error().Text() } });
         }
       });
}

void LeaderRpc::AnnounceCancel(const std::string& aService,
                               const std::string& aJob)
{
  if (ServiceLeader* local = findLocal_(aService)) {
    local->CancelJob(aJob);
    return;
  }
  Call(aService,
       { "POST",
         std::string(kCancelPath) + "?service=" + aService + "&job=" + aJob,
         {},
         {} },
       [aJob](const Result<HttpAnswer>& aAnswer) {
         if (!aAnswer) {
           LogDecision(
             "cancel-not-announced",
             { { "job", aJob }, { "error", aAnswer.error().Text() } });
         }
       });
}

static StateAnswer LocalState(const ServiceLeader& aLeader,
                              std::string_view aJob)
{
  if (!aLeader.IsLoaded()) {
    return Fail("ask for a job's state", "", "the leader is still loading");
  }
  return aLeader.State().StateOf(aJob);
}

void LeaderRpc::AskState(const std::string& aService,
                         const std::string& aJob,
                         std::function<void(StateAnswer)> aOnAnswer)
{
  if (const ServiceLeader* local = findLocal_(aService)) {
    aOnAnswer(LocalState(*local, aJob));
    return;
  }
  Call(aService,
       { "GET",
         std::string(kStatePath) + "?service=" + aService + "&job=" + aJob,
         {},
         {} },
       [onAnswer = std::move(aOnAnswer)](const Result<HttpAnswer>& aAnswer) {
         if (!aAnswer) {
           onAnswer(tl::unexpected(aAnswer.error()));
         } else if (aAnswer->code_ == kNotFound) {
           onAnswer(std::optional<JobState>());
         } else if (auto state = ParseJobState(aAnswer->body_)) {
           onAnswer(state);
         } else {
           onAnswer(Fail("ask for a job's state", "", "malformed answer"));
         }
       });
}

/// The answers of several services to the same question.
struct WaitingTotal
{
  int count_ = 0;
  std::size_t missing_ = 0; ///< answers
  std::optional<Error> error_;
  std::function<void(Result<int>)> onAnswer_;
};

void LeaderRpc::AskWaiting(const std::string& aService,
                           const std::string& aQueue,
                           std::function<void(Result<int>)> aOnAnswer)
{
  auto onFirst = [this, aQueue, onAnswer = std::move(aOnAnswer)](
                   const Result<WaitingJobs>& aFirst) {
    if (!aFirst) {
      onAnswer(tl::unexpected(aFirst.error()));
      return;
    }
    if (aFirst->otherServices_.empty()) {
      onAnswer(aFirst->count_);
      return;
    }
    auto total = std::make_shared<WaitingTotal>();
    total->count_ = aFirst->count_;
    total->missing_ = aFirst->otherServices_.size();
    total->onAnswer_ = onAnswer;
    for (const std::string& service : aFirst->otherServices_) {
      AskOneService(
        service, aQueue, false, [total](const Result<WaitingJobs>& aNext) {
          if (aNext) {
            total->count_ += aNext->count_;
          } else {
            total->error_ = aNext.error();
          }
          if (--total->missing_ > 0) {
            return;
          }
          total->onAnswer_(total->error_
                             ? Result<int>(tl::unexpected(*total->error_))
                             : Result<int>(total->count_));
        });
    }
  };
  AskOneService(aService, aQueue, true, std::move(onFirst));
}

static std::string EncodeServices(const std::set<std::string>& aServices)
{
  return Json(aServices).dump(-1, ' ', true);
}

/// Returns the services that an answer names, or an error if they cannot be
/// read.
static Result<std::set<std::string>> ServicesIn(const HttpAnswer& aAnswer)
{
  using Services = std::set<std::string>;
  auto field = FindHeader(aAnswer.headers_, kOtherServices);
  if (!field) {
    return Services();
  }
  return ReadJson<Services>(
    std::string(*field),
    kOwnDocument,
    "read services",
    "",
    [](const Json& aJson) { return aJson.get<Services>(); });
}

void LeaderRpc::AskOneService(const std::string& aService,
                              const std::string& aQueue,
                              bool aIsAssigned,
                              OnWaiting aOnAnswer)
{
  const ServiceLeader* local = findLocal_(aService);
  if (local != nullptr) {
    if (local->KnowsJobs(maxJobsAge_)) {
      aOnAnswer(WaitingJobs{ local->State().Waiting(aQueue),
                             aIsAssigned ? local->EarlierServicesOf(aQueue)
                                         : std::set<std::string>() });
    } else {
      aOnAnswer(Fail(
        "count waiting jobs", aService, "this leader may lack some of them"));
    }
    return;
  }
  Call(aService,
       { "GET",
         std::string(kWaitingPath) + "?service=" + aService +
           "&queue=" + aQueue + (aIsAssigned ? "" : "&earlier=1"),
         {},
         {} },
       [onAnswer = std::move(aOnAnswer)](const Result<HttpAnswer>& aAnswer) {
         if (!aAnswer) {
           onAnswer(tl::unexpected(aAnswer.error()));
           return;
         }
         if (aAnswer->code_ != kOk) {
           onAnswer(Fail("ask for waiting jobs", "", aAnswer->body_));
           return;
         }
         int waiting = 0;
         const std::string& body = aAnswer->body_;
         auto parsed =
           std::from_chars(body.data(), body.data() + body.size(), waiting);
         if (parsed.ec != std::errc()) {
           onAnswer(Fail("ask for waiting jobs", "", "malformed answer"));
           return;
         }
         auto others = ServicesIn(*aAnswer);
         if (!others) {
           onAnswer(tl::unexpected(others.error()));
           return;
         }
         onAnswer(WaitingJobs{ waiting, std::move(*others) });
       });
}

/// Encodes what stands in the body of a pool request. Without more it is the
/// list of vacating targets alone, as earlier versions read it.
static std::string EncodeBody(const PoolRequest& aRequest)
{
  if (!aRequest.caps_ && aRequest.gone_.empty()) {
    return Json(aRequest.vacating_).dump();
  }
  Json json = { { "vacating", aRequest.vacating_ } };
  if (!aRequest.gone_.empty()) {
    json["gone"] = aRequest.gone_;
  }
  if (aRequest.caps_) {
    json["caps"] = ToJson(*aRequest.caps_);
  }
  return json.dump();
}

static Result<PoolRequest> DecodeBody(Fence aManagerFence,
                                      const std::string& aText)
{
  auto read = [&](const Json& aJson) {
    PoolRequest request;
    request.managerFence_ = aManagerFence;
    request.vacating_ = (aJson.is_array() ? aJson : aJson.at("vacating"))
                          .get<std::vector<std::string>>();
    if (auto gone = aJson.find("gone"); gone != aJson.end()) {
      request.gone_ = gone->get<std::vector<std::string>>();
    }
    if (auto caps = aJson.find("caps"); caps != aJson.end()) {
      request.caps_ = CapOrderFrom(*caps);
    }
    return request;
  };
  return ReadJson<PoolRequest>(
    aText, kOwnDocument, "read a pool request", "", read);
}

/// Passes a request of the pool manager to a leader of this process, and
/// returns how busy its pool is.
static Result<PoolReport> ApplyAndReport(ServiceLeader& aLeader,
                                         const std::string& aService,
                                         const PoolRequest& aRequest)
{
  if (!aLeader.ApplyPoolRequest(aRequest)) {
    return Fail("ask for a pool report",
                aService,
                "a manager with a higher fence has asked");
  }
  return aLeader.State().Report();
}

void LeaderRpc::AskPool(const std::string& aService,
                        const PoolRequest& aRequest,
                        std::function<void(Result<PoolReport>)> aOnAnswer)
{
  ServiceLeader* local = findLocal_(aService);
  if (local != nullptr && local->IsLoaded() && election_.IsConfirmed()) {
    aOnAnswer(ApplyAndReport(*local, aService, aRequest));
    return;
  }
  Call(aService,
       { "POST",
         std::string(kPoolPath) + "?service=" + aService +
           "&fence=" + std::to_string(aRequest.managerFence_),
         {},
         EncodeBody(aRequest) },
       [onAnswer = std::move(aOnAnswer)](const Result<HttpAnswer>& aAnswer) {
         if (!aAnswer) {
           onAnswer(tl::unexpected(aAnswer.error()));
           return;
         }
         if (aAnswer->code_ != kOk) {
           onAnswer(Fail("ask for a pool report", "", aAnswer->body_));
           return;
         }
         onAnswer(DecodeReport(aAnswer->body_));
       });
}

/// Returns a number of the query string, or 0 if there is none.
static std::uint64_t NumberValue(std::string_view aTarget, const char* aName)
{
  std::string text = QueryValue(aTarget, aName);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

HttpAnswer LeaderRpc::Answer(const HttpRequest& aRequest)
{
  std::string_view path = PathOf(aRequest.target_);
  if (path == kMetricsPath) {
    return { kOk, { { "Content-Type", "text/plain" } }, MetricsText() };
  }
  if (path == kJobPath) {
    auto record = DecodeRecord(aRequest.body_);
    if (!record) {
      return { kMalformed, {}, record.error().Text() };
    }
    ServiceLeader* local = findLocal_(record->service_);
    Revision revision = NumberValue(aRequest.target_, "created");
    // A leader that may have been replaced takes no new jobs, as its successor
    // starts them without checking whether they already run elsewhere.
    if (local == nullptr || !election_.IsConfirmed()) {
      return { kNotLeader, {}, {} };
    }
    local->AddJob(std::move(*record), revision);
    return { kOk, {}, {} };
  }
  std::string job = QueryValue(aRequest.target_, "job");
  ServiceLeader* local = findLocal_(QueryValue(aRequest.target_, "service"));
  if (local == nullptr || !local->IsLoaded()) {
    return { kNotLeader, {}, {} };
  }
  if (path == kCancelPath) {
    local->CancelJob(job);
    return { kOk, {}, {} };
  }
  if (path == kPoolPath) {
    // If this leader has been replaced, its report may lack runs that its
    // successor has started.
    if (!election_.IsConfirmed()) {
      return { kNotLeader, {}, {} };
    }
    std::string service = QueryValue(aRequest.target_, "service");
    auto request =
      DecodeBody(NumberValue(aRequest.target_, "fence"), aRequest.body_);
    if (!request) {
      return { kMalformed, {}, request.error().Text() };
    }
    auto report = ApplyAndReport(*local, service, *request);
    return report ? HttpAnswer{ kOk, {}, EncodeReport(*report) }
                  : HttpAnswer{ kSuperseded, {}, report.error().Text() };
  }
  if (path == kStatePath) {
    auto state = local->State().StateOf(job);
    return state ? HttpAnswer{ kOk, {}, std::string(NameOf(*state)) }
                 : HttpAnswer{ kNotFound, {}, {} };
  }
  if (path == kWaitingPath) {
    if (!local->KnowsJobs(maxJobsAge_)) {
      return { kNotLeader, {}, {} };
    }
    std::string queue = QueryValue(aRequest.target_, "queue");
    std::string waiting = std::to_string(local->State().Waiting(queue));
    if (!QueryValue(aRequest.target_, "earlier").empty()) {
      return { kOk, {}, waiting };
    }
    if (!local->KnowsQueue(queue)) {
      return { kNotFound, {}, "unknown queue" };
    }
    std::set<std::string> others = local->EarlierServicesOf(queue);
    Headers headers;
    if (!others.empty()) {
      headers.emplace_back(kOtherServices, EncodeServices(others));
    }
    return { kOk, headers, waiting };
  }
  return { kNotFound, {}, "unknown path" };
}

void LeaderRpc::Serve(const std::shared_ptr<ServerExchange>& aExchange)
{
  aExchange->Reply(Answer(aExchange->Request()));
}

} // namespace coltsfootshed
