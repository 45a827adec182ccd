/// \file
/// Tests what an entry VM answers to clients while its configuration is old, or
/// while writes of jobs are on their way to the store.

#include "coltsfootshed/Node/JobsNode.h"
#include "Documents.h"
#include "Support/FakeStore.h"
#include "coltsfootshed/Http/Client.h"
#include "coltsfootshed/Store/Keys.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace coltsfootshed {

namespace {

/// There are no targets in these tests.
class NoTargets final : public TargetCalls
{
public:
  void Hold(const TargetInfo&,
            const HoldOrder&,
            std::function<void(HoldAnswer)>) override
  {
  }
  void Start(const TargetInfo&,
             const StartOrder&,
             std::function<void(OrderAnswer)>) override
  {
  }
  void Stop(const TargetInfo&,
            const StopOrder&,
            std::function<void(OrderAnswer)>) override
  {
  }
  void Pace(const TargetInfo&,
            const PaceOrder&,
            std::function<void(OrderAnswer)>) override
  {
  }
};

constexpr const char* kConfig =
  R"({"Version":1,"Services":[{"Name":"s"}],
      "Routes":[{"Name":"q","Host":"h","Prefix":"/q/","Service":"s"}]})";
constexpr const char* kNewConfig =
  R"({"Version":2,"Services":[{"Name":"s"}],
      "Routes":[{"Name":"n","Host":"h","Prefix":"/n/","Service":"s"}]})";
/// As kConfig, with an account and a public queue.
constexpr const char* kAccountsConfig =
  R"({"Version":2,"Services":[{"Name":"s"}],
      "Tenants":[{"Name":"a","Weight":3,"ApiKeys":["old","key"]}],
      "Routes":[{"Name":"q","Host":"h","Prefix":"/q/","Service":"s"},
                {"Name":"p","Host":"h","Prefix":"/p/","Service":"s",
                 "Public":true}]})";
/// As kAccountsConfig; a key has been replaced by another.
constexpr const char* kChangedKeysConfig =
  R"({"Version":3,"Services":[{"Name":"s"}],
      "Tenants":[{"Name":"a","Weight":3,"ApiKeys":["key","new"]}],
      "Routes":[{"Name":"q","Host":"h","Prefix":"/q/","Service":"s"}]})";
constexpr const char* kJobId = "0123456789abcdef";
constexpr const char* kJobPath = "/q/0123456789abcdef";
constexpr const char* kJob = R"({"Spec":"s","Steps":[{"Count":1,"Cpu":1}]})";

} // namespace

class JobsNodeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JobsNodeTest);
  CPPUNIT_TEST(UnknownQueueIsNotDeniedWithAnOldConfiguration);
  CPPUNIT_TEST(ConfigurationIsReadIfItsWatchIsLate);
  CPPUNIT_TEST(KnownQueueIsServedWhileTheStoreIsSilent);
  CPPUNIT_TEST(KnownQueueIsRefusedIfOnlyItsConfigurationIsOld);
  CPPUNIT_TEST(JobIsNotAcceptedWithAnOldConfiguration);
  CPPUNIT_TEST(MalformedJobsAreRejected);
  CPPUNIT_TEST(WaitingJobsAreNotCountedWithOldKnowledge);
  CPPUNIT_TEST(WaitingJobsAreNotCountedByALeaderThatMayBeReplaced);
  CPPUNIT_TEST(AVmWithAnUnreadableEntryMayHaveReplacedTheLeader);
  CPPUNIT_TEST(WaitingJobsOfAMovedQueueAreCounted);
  CPPUNIT_TEST(JobsOfAQueueThatWasAwayAreCounted);
  CPPUNIT_TEST(ACancelledJobIsNotStoredByALateWrite);
  CPPUNIT_TEST(AJobIsNotAcceptedAfterItsCancel);
  CPPUNIT_TEST(AJobStoredDuringItsCancelIsCancelled);
  CPPUNIT_TEST(ACancelThatIsNotStoredIsNotConfirmed);
  CPPUNIT_TEST(AJobWithAnUnreadableRecordIsNotDenied);
  CPPUNIT_TEST(CallsNeedAKeyUnlessTheirQueueIsPublic);
  CPPUNIT_TEST(ARevokedKeyStopsWorkingOnOpenConnections);
  CPPUNIT_TEST(AnUnknownKeyIsNotDeniedWithAnOldConfiguration);
  CPPUNIT_TEST(ANewKeyIsReadIfTheWatchIsLate);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Millis kConfigDeadline{ 2000 };
  static constexpr Millis kMargin{ 200 };
  /// Contact times with which a VM counts as in touch with the store from the
  /// first moment, and never.
  static constexpr Millis kNoContactTime{ 0 };
  static constexpr Millis kEndlessContactTime{ 100000 };
  /// Far more than a busy machine needs.
  static constexpr Millis kLimit{ 20000 };
  static constexpr StoreTimeouts kTimeouts{ Millis(1200), Millis(100) };

public:
  void setUp() override
  {
    base_ = event_base_new();
    store_ = std::make_unique<FakeStore>(base_);
    store_->Change(format_.configKey_, kConfig);
    client_ = std::make_unique<HttpClient>(base_, clock_, 4);
  }
  void tearDown() override
  {
    node_.reset();
    client_.reset();
    store_.reset();
    event_base_free(base_);
  }

  /// Incident CONFIG: a client was told that a queue does not exist, by a VM
  /// that could not know.
  void UnknownQueueIsNotDeniedWithAnOldConfiguration()
  {
    Start(kEndlessContactTime);
    CPPUNIT_ASSERT_EQUAL(404, Call("GET", "/n/").code_);
    MakeConfigOld();
    store_->silentKey_ = format_.configKey_;
    for (const char* path : { "/n/", "/n/0123456789abcdef", "/q/no-job-id" }) {
      HttpAnswer answer = Call("GET", path);
      CPPUNIT_ASSERT_EQUAL(503, answer.code_);
      CPPUNIT_ASSERT(FindHeader(answer.headers_, "Retry-After").has_value());
    }
  }

  /// The watch is lost, but the store answers other calls.
  void ConfigurationIsReadIfItsWatchIsLate()
  {
    Start(kNoContactTime);
    MakeConfigOld();
    CPPUNIT_ASSERT_EQUAL(200, Call("GET", "/n/").code_);
    CPPUNIT_ASSERT_EQUAL(404, Call("GET", "/q/").code_);
    CPPUNIT_ASSERT_EQUAL(404, Call("POST", kJobPath, kJob).code_);
    CPPUNIT_ASSERT_EQUAL(200, Ready());
  }

  void KnownQueueIsServedWhileTheStoreIsSilent()
  {
    Start(kNoContactTime);
    store_->silent_ = true;
    RunFor(kConfigDeadline + kMargin);
    CPPUNIT_ASSERT_EQUAL(200, Call("GET", "/q/").code_);
    CPPUNIT_ASSERT_EQUAL(503, Call("GET", "/n/").code_);
  }

  void KnownQueueIsRefusedIfOnlyItsConfigurationIsOld()
  {
    Start(kNoContactTime);
    CPPUNIT_ASSERT_EQUAL(200, Ready());
    MakeConfigOld();
    store_->silentKey_ = format_.configKey_;
    CPPUNIT_ASSERT_EQUAL(503, Call("GET", "/q/").code_);
    CPPUNIT_ASSERT_EQUAL(503, Call("POST", kJobPath, kJob).code_);
    CPPUNIT_ASSERT_EQUAL(503, Ready());
  }

  void JobIsNotAcceptedWithAnOldConfiguration()
  {
    Start(kEndlessContactTime);
    LoseWatch();
    // The configuration has not changed, and can be read.
    CPPUNIT_ASSERT_EQUAL(200, Call("POST", kJobPath, kJob).code_);
    // The same request again, whose job is known.
    CPPUNIT_ASSERT_EQUAL(200, Call("POST", kJobPath, kJob).code_);
    MakeConfigOld();
    store_->silentKey_ = format_.configKey_;
    constexpr const char* kOther = "/q/fedcba9876543210";
    CPPUNIT_ASSERT_EQUAL(503, Call("POST", kOther, kJob).code_);
    CPPUNIT_ASSERT(store_->items_.count(keys::Job("fedcba9876543210")) == 0);
    CPPUNIT_ASSERT_EQUAL(200, Call("GET", "/q/").code_);
  }

  /// Finding MIXED: a client was told that no job waits, by a VM that could not
  /// know. Here the leader's watch for jobs gets no answers.
  void WaitingJobsAreNotCountedWithOldKnowledge()
  {
    Start(kNoContactTime);
    store_->silentPrefix_ = keys::kWorkPrefix;
    RunFor(NodeSettings().jobVisibilityDeadline_ + kMargin);
    HttpAnswer answer = Call("GET", "/q/");
    CPPUNIT_ASSERT_EQUAL(503, answer.code_);
    CPPUNIT_ASSERT(FindHeader(answer.headers_, "Retry-After").has_value());
  }

  /// The store answers another VM, which may lead by now.
  void WaitingJobsAreNotCountedByALeaderThatMayBeReplaced()
  {
    Start(kNoContactTime);
    store_->Change(keys::Node("vm2"), R"({"peers":"127.0.0.1:9"})");
    RunFor(kMargin);
    CPPUNIT_ASSERT_EQUAL(200, Call("GET", "/q/").code_);
    store_->silent_ = true;
    RunFor(kConfigDeadline + kMargin);
    CPPUNIT_ASSERT_EQUAL(503, Call("GET", "/q/").code_);
  }

  void AVmWithAnUnreadableEntryMayHaveReplacedTheLeader()
  {
    Start(kNoContactTime);
    store_->Change(keys::Node("vm2"), R"({"peers":7})");
    RunFor(kMargin);
    store_->silent_ = true;
    RunFor(kConfigDeadline + kMargin);
    CPPUNIT_ASSERT_EQUAL(503, Call("GET", "/q/").code_);
  }

  /// review/10, MIXED: a queue was assigned to another service, and from then
  /// on clients were told that no job waits, as only that service was asked.
  void WaitingJobsOfAMovedQueueAreCounted()
  {
    StartWithTwoServices();
    CPPUNIT_ASSERT_EQUAL(200, Call("POST", kJobPath, kJob).code_);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"Waiting":1})"), WaitingAt("/q/"));
    store_->Change(format_.configKey_, TwoServices(2, "q", "t"));
    RunFor(kMargin);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"Waiting":1})"), WaitingAt("/q/"));
    // New jobs go to the other service, and are counted with the old ones.
    CPPUNIT_ASSERT_EQUAL(200, Call("POST", "/q/fedcba9876543210", kJob).code_);
    RunFor(kMargin);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"Waiting":2})"), WaitingAt("/q/"));
    // Another VM learns where the rest is, and asks there.
    HttpAnswer assigned = Call("GET", "/waiting?service=t&queue=q", "", peers_);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), assigned.body_);
    CPPUNIT_ASSERT(FindHeader(assigned.headers_, "Other-Services") ==
                   std::string_view(R"(["s"])"));
    HttpAnswer earlier =
      Call("GET", "/waiting?service=s&queue=q&earlier=1", "", peers_);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), earlier.body_);
    // Once the old job is gone, nobody asks its service any more.
    store_->Remove(keys::Job(kJobId));
    Millis end = clock_.Now() + kLimit;
    while (FindHeader(assigned.headers_, "Other-Services")) {
      CPPUNIT_ASSERT(clock_.Now() < end);
      RunFor(Millis(20));
      assigned = Call("GET", "/waiting?service=t&queue=q", "", peers_);
    }
  }

  /// As above, with a version in between that lacks the queue.
  void JobsOfAQueueThatWasAwayAreCounted()
  {
    StartWithTwoServices();
    CPPUNIT_ASSERT_EQUAL(200, Call("POST", kJobPath, kJob).code_);
    store_->Change(format_.configKey_, TwoServices(2, "n", "s"));
    RunFor(kMargin);
    store_->Change(format_.configKey_, TwoServices(3, "q", "t"));
    RunFor(kMargin);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"Waiting":1})"), WaitingAt("/q/"));
  }

  /// The error in the answer quotes the body, which may not be UTF-8.
  void MalformedJobsAreRejected()
  {
    Start(kNoContactTime);
    const std::string deep(500000, '[');
    for (const std::string& body : { std::string("{\"Spec\":\"\xff\"}"),
                                     std::string("\xff\xfe"),
                                     std::string("{\"Steps\":") + deep,
                                     std::string("[]") }) {
      CPPUNIT_ASSERT_EQUAL(400, Call("POST", kJobPath, body.c_str()).code_);
    }
    CPPUNIT_ASSERT_EQUAL(200, Call("POST", kJobPath, kJob).code_);
  }

  /// Review case 4, UNASKED: the write of a job is carried out after a client
  /// was told that there is no such job.
  void ACancelledJobIsNotStoredByALateWrite()
  {
    Start(kNoContactTime);
    store_->lateKey_ = keys::Job(kJobId);
    CPPUNIT_ASSERT_EQUAL(504, Call("POST", kJobPath, kJob).code_);
    CPPUNIT_ASSERT_EQUAL(410, Call("DELETE", kJobPath).code_);
    store_->CarryOutLateWrites();
    CPPUNIT_ASSERT(!IsStored(keys::Job(kJobId)));
    CPPUNIT_ASSERT_EQUAL(410, Call("GET", kJobPath).code_);
  }

  /// A request to submit the job may arrive after the one to cancel it.
  void AJobIsNotAcceptedAfterItsCancel()
  {
    Start(kNoContactTime);
    CPPUNIT_ASSERT_EQUAL(410, Call("DELETE", kJobPath).code_);
    HttpAnswer answer = Call("POST", kJobPath, kJob);
    CPPUNIT_ASSERT_EQUAL(503, answer.code_);
    // Another try would be rejected as well.
    CPPUNIT_ASSERT(!FindHeader(answer.headers_, "Retry-After").has_value());
    CPPUNIT_ASSERT(!IsStored(keys::Job(kJobId)));
    CPPUNIT_ASSERT_EQUAL(410, Call("DELETE", kJobPath).code_);
  }

  /// The job is stored after the cancel has found none, and before the cancel
  /// is stored.
  void AJobStoredDuringItsCancelIsCancelled()
  {
    Start(kNoContactTime);
    store_->lateKey_ = keys::Job(kJobId);
    CPPUNIT_ASSERT_EQUAL(504, Call("POST", kJobPath, kJob).code_);
    store_->onRead_ = [this](std::string_view aKey) {
      if (aKey == keys::Job(kJobId)) {
        store_->CarryOutLateWrites();
      }
    };
    CPPUNIT_ASSERT_EQUAL(200, Call("DELETE", kJobPath).code_);
    CPPUNIT_ASSERT(IsStored(keys::Job(kJobId)));
    CPPUNIT_ASSERT(IsStored(keys::Cancel(kJobId)));
  }

  /// "No such job" is not known unless the cancel is in the store.
  void ACancelThatIsNotStoredIsNotConfirmed()
  {
    Start(kNoContactTime);
    store_->lateKey_ = keys::Cancel(kJobId);
    CPPUNIT_ASSERT_EQUAL(504, Call("DELETE", kJobPath).code_);
    store_->lateKey_.clear();
    CPPUNIT_ASSERT_EQUAL(200, Call("POST", kJobPath, kJob).code_);
    store_->CarryOutLateWrites();
    CPPUNIT_ASSERT(!IsStored(keys::Cancel(kJobId)));
  }

  /// The job exists, and a later version may be able to read and run it.
  void AJobWithAnUnreadableRecordIsNotDenied()
  {
    Start(kNoContactTime);
    store_->Change(keys::Job(kJobId), R"({"id":7})");
    CPPUNIT_ASSERT_EQUAL(500, Call("DELETE", kJobPath).code_);
    CPPUNIT_ASSERT_EQUAL(500, Call("GET", kJobPath).code_);
  }

  void CallsNeedAKeyUnlessTheirQueueIsPublic()
  {
    StartWithAccounts();
    struct Row
    {
      const char* key_;
      const char* method_;
      const char* path_;
      int code_;
    };
    const Row rows[] = {
      { "", "POST", kJobPath, 401 },       { "none", "POST", kJobPath, 401 },
      { "", "GET", "/q/", 401 },           { "none", "GET", kJobPath, 401 },
      { "none", "DELETE", kJobPath, 401 }, { "key", "POST", kJobPath, 200 },
      { "old", "GET", "/q/", 200 },        { "", "GET", "/p/", 200 },
      { "none", "GET", "/p/", 200 },       { "key", "GET", "/no/", 404 },
      { "", "GET", "/no/", 404 }
    };
    for (const Row& row : rows) {
      CPPUNIT_ASSERT_EQUAL(row.code_,
                           CodeWith(row.key_, row.method_, row.path_));
    }
    auto record = DecodeRecord(store_->items_.at(keys::Job(kJobId)).value_);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), record->account_);
  }

  void ARevokedKeyStopsWorkingOnOpenConnections()
  {
    StartWithAccounts();
    CPPUNIT_ASSERT_EQUAL(200, CodeWith("old", "GET", "/q/"));
    store_->Change(format_.configKey_, kChangedKeysConfig);
    RunFor(kMargin);
    CPPUNIT_ASSERT_EQUAL(401, CodeWith("old", "GET", "/q/"));
    CPPUNIT_ASSERT_EQUAL(401, CodeWith("old", "POST", kJobPath));
    CPPUNIT_ASSERT_EQUAL(200, CodeWith("new", "GET", "/q/"));
  }

  /// The key may have been added by a configuration that this VM lacks.
  void AnUnknownKeyIsNotDeniedWithAnOldConfiguration()
  {
    StartWithAccounts();
    store_->silent_ = true;
    RunFor(kConfigDeadline + kMargin);
    CPPUNIT_ASSERT_EQUAL(503, CodeWith("new", "GET", "/q/"));
    CPPUNIT_ASSERT_EQUAL(503, CodeWith("", "GET", "/q/"));
    CPPUNIT_ASSERT_EQUAL(200, CodeWith("old", "GET", "/q/"));
  }

  void ANewKeyIsReadIfTheWatchIsLate()
  {
    StartWithAccounts();
    MakeConfigOld(kChangedKeysConfig);
    CPPUNIT_ASSERT_EQUAL(200, CodeWith("new", "GET", "/q/"));
    CPPUNIT_ASSERT_EQUAL(401, CodeWith("old", "GET", "/q/"));
  }

private:
  bool IsStored(const std::string& aKey) const
  {
    return store_->items_.count(aKey) > 0;
  }

  /// Returns loopback addresses with different free ports.
  static std::array<Endpoint, 3> FreeAddresses()
  {
    std::array<Endpoint, 3> addresses;
    std::array<int, 3> sockets{};
    for (std::size_t i = 0; i < sockets.size(); ++i) {
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      socklen_t size = sizeof(address);
      auto* generic = reinterpret_cast<sockaddr*>(&address);
      sockets[i] = socket(AF_INET, SOCK_STREAM, 0);
      CPPUNIT_ASSERT(bind(sockets[i], generic, size) == 0);
      CPPUNIT_ASSERT(getsockname(sockets[i], generic, &size) == 0);
      addresses[i] = { "127.0.0.1", ntohs(address.sin_port) };
    }
    for (int each : sockets) {
      close(each);
    }
    return addresses;
  }

  /// Starts the VM and waits until it leads the service of its queue.
  void Start(Millis aContactTime)
  {
    NodeSettings settings;
    settings.node_ = "vm1";
    std::tie(settings.front_, settings.ready_, settings.peers_) =
      std::tuple_cat(FreeAddresses());
    front_ = settings.front_;
    ready_ = settings.ready_;
    peers_ = settings.peers_;
    settings.contactTime_ = aContactTime;
    settings.configDeadline_ = kConfigDeadline;
    node_ = std::make_unique<JobsNode>(
      JobsNode::Dependencies{ base_, clock_, wallClock_, *store_, targets_ },
      settings,
      kTimeouts,
      format_);
    CPPUNIT_ASSERT(node_->Listen().has_value());
    Millis end = clock_.Now() + kLimit;
    while (Call("GET", "/q/").code_ != 200) {
      CPPUNIT_ASSERT(clock_.Now() < end);
      RunFor(Millis(20));
    }
  }

  HttpAnswer Call(const char* aMethod,
                  const char* aPath,
                  const char* aBody = "",
                  std::optional<Endpoint> aServer = std::nullopt)
  {
    Headers headers = { { "Host", "h" } };
    if (!apiKey_.empty()) {
      headers.emplace_back("Authorization", "Bearer " + apiKey_);
    }
    std::optional<CallResult> result;
    client_->Call(aServer.value_or(front_),
                  { aMethod, aPath, headers, aBody },
                  kLimit,
                  Reuse::Any,
                  [&](CallResult aResult) { result = std::move(aResult); });
    while (!result) {
      event_base_loop(base_, EVLOOP_ONCE);
    }
    CPPUNIT_ASSERT(result->end_ == CallEnd::Answered);
    return result->answer_;
  }
  /// Starts a VM, then gives it a configuration with accounts.
  void StartWithAccounts()
  {
    Start(kNoContactTime);
    store_->Change(format_.configKey_, kAccountsConfig);
    Millis end = clock_.Now() + kLimit;
    while (CodeWith("", "GET", "/p/") != 200) {
      CPPUNIT_ASSERT(clock_.Now() < end);
      RunFor(Millis(20));
    }
  }

  /// Returns a configuration with the services s and t, and one queue.
  static std::string TwoServices(int aVersion,
                                 const std::string& aQueue,
                                 const std::string& aService)
  {
    return R"({"Version":)" + std::to_string(aVersion) +
           R"(,"Services":[{"Name":"s"},{"Name":"t"}],"Routes":[{"Name":")" +
           aQueue + R"(","Host":"h","Prefix":"/)" + aQueue +
           R"(/","Service":")" + aService + R"("}]})";
  }
  /// Starts a VM that leads two services, the first of which has a queue.
  void StartWithTwoServices()
  {
    store_->Change(format_.configKey_, TwoServices(1, "q", "s"));
    Start(kNoContactTime);
    Millis end = clock_.Now() + kLimit;
    while (
      Call("GET", "/waiting?service=t&queue=q&earlier=1", "", peers_).code_ !=
      200) {
      CPPUNIT_ASSERT(clock_.Now() < end);
      RunFor(Millis(20));
    }
  }
  std::string WaitingAt(const char* aPath)
  {
    Millis end = clock_.Now() + kLimit;
    HttpAnswer answer = Call("GET", aPath);
    while (answer.code_ == 503) {
      CPPUNIT_ASSERT(clock_.Now() < end);
      RunFor(Millis(20));
      answer = Call("GET", aPath);
    }
    return answer.body_;
  }

  /// Calls with an API key; an empty one stands for none.
  int CodeWith(const char* aKey, const char* aMethod, const char* aPath)
  {
    apiKey_ = aKey;
    bool submits = std::string_view(aMethod) == "POST";
    return Call(aMethod, aPath, submits ? kJob : "").code_;
  }
  int Ready() { return Call("GET", "/ready", "", ready_).code_; }

  void RunFor(Millis aTime)
  {
    Millis end = clock_.Now() + aTime;
    while (clock_.Now() < end) {
      timeval poll{ 0, 5000 };
      event_base_loopexit(base_, &poll);
      event_base_dispatch(base_);
    }
  }

  /// Waits until the known configuration is too old, while its watches get no
  /// answer.
  void LoseWatch()
  {
    store_->silentPrefix_ = format_.operatorPrefix_;
    RunFor(kConfigDeadline + kMargin);
  }
  /// Changes the configuration while its watches get no answer, and waits until
  /// the change must be in force.
  void MakeConfigOld(const char* aNewConfig = kNewConfig)
  {
    store_->silentPrefix_ = format_.operatorPrefix_;
    store_->Change(format_.configKey_, aNewConfig);
    LoseWatch();
  }

  const WireFormat format_ = platform::PlatformFormat();
  SteadyClock clock_;
  WallClock wallClock_;
  event_base* base_ = nullptr;
  NoTargets targets_;
  std::unique_ptr<FakeStore> store_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<JobsNode> node_;
  Endpoint front_;
  Endpoint ready_;
  Endpoint peers_;
  std::string apiKey_; ///< sent with each call, unless empty
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobsNodeTest);

} // namespace coltsfootshed
