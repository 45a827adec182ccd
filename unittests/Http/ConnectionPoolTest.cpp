/// \file
/// Tests which idle connections a client keeps.

#include "Support/FreeAddress.h"
#include "Support/ManualClock.h"
#include "coltsfootshed/Http/Client.h"
#include "coltsfootshed/Http/Server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <event2/event.h>
#include <optional>

namespace coltsfootshed {

class ConnectionPoolTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConnectionPoolTest);
  CPPUNIT_TEST(TheConnectionOfTheLastAnswerIsKept);
  CPPUNIT_TEST(AnIdentifiedConnectionIsNotAskedAgain);
  CPPUNIT_TEST(ConnectionsThatNobodyUsesAreClosed);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    base_ = event_base_new();
    client_ = std::make_unique<HttpClient>(base_, clock_, kMaxIdle);
    for (int i = 0; i < 2; ++i) {
      servers_[i] = std::make_unique<HttpServer>(
        base_,
        ServerLimits(),
        [this](const std::shared_ptr<ServerExchange>& aExchange) {
          waiting_.push_back(aExchange);
        });
      peers_[i] = FreeAddress();
      CPPUNIT_ASSERT(servers_[i]->Listen(peers_[i]).has_value());
    }
  }
  void tearDown() override
  {
    client_.reset();
    waiting_.clear();
    servers_[0].reset();
    servers_[1].reset();
    event_base_free(base_);
  }

  /// LOST, review/11: a full pool dropped each connection that could have been
  /// identified, and kept those that nobody could use.
  void TheConnectionOfTheLastAnswerIsKept()
  {
    Call(peers_[0], kMaxIdle, Reuse::Never);
    ConnectionId last = Call(peers_[0], 1, Reuse::Never);
    client_->Identify(peers_[0], last, 7);
    CPPUNIT_ASSERT_EQUAL(kMaxIdle, client_->IdleConnections());
    std::optional<CallResult> result;
    CPPUNIT_ASSERT(client_->CallIdentified(
      peers_[0], kRequest, kTimeout, 7, [&](CallResult aResult) {
        result = std::move(aResult);
      }));
    RunUntil([&] { return result.has_value(); });
    CPPUNIT_ASSERT_EQUAL(last, result->connection_);
  }

  /// A question over a connection that leads to a former process gets no answer
  /// of the current one.
  void AnIdentifiedConnectionIsNotAskedAgain()
  {
    ConnectionId unknown = Call(peers_[0], 1, Reuse::Never);
    ConnectionId identified = Call(peers_[0], 1, Reuse::Never);
    client_->Identify(peers_[0], identified, 7);
    CPPUNIT_ASSERT_EQUAL(unknown, Call(peers_[0], 1, Reuse::Unidentified));
    client_->Identify(peers_[0], unknown, 7);
    ConnectionId opened = Call(peers_[0], 1, Reuse::Unidentified);
    CPPUNIT_ASSERT(opened != unknown && opened != identified);
  }

  /// Connections to targets that had left stayed open as long as the process.
  void ConnectionsThatNobodyUsesAreClosed()
  {
    Call(peers_[0], kMaxIdle, Reuse::Never);
    clock_.Advance(Millis(31000));
    Call(peers_[1], 1, Reuse::Any);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), client_->IdleConnections());
    RunUntil([&] { return servers_[0]->Connections() == 0; });
  }

private:
  static constexpr std::size_t kMaxIdle = 3;
  static constexpr Millis kTimeout{ 20000 };
  const HttpRequest kRequest{ "POST", "/", {}, "{}" };

  /// Makes aCount calls at once. Returns the connection of the last answer.
  ConnectionId Call(const Endpoint& aPeer, std::size_t aCount, Reuse aReuse)
  {
    std::size_t ended = 0;
    ConnectionId last = 0;
    for (std::size_t i = 0; i < aCount; ++i) {
      client_->Call(
        aPeer, kRequest, kTimeout, aReuse, [&](const CallResult& aResult) {
          CPPUNIT_ASSERT(aResult.end_ == CallEnd::Answered);
          last = aResult.connection_;
          ++ended;
        });
    }
    RunUntil([&] { return ended == aCount; });
    return last;
  }

  template<typename Condition>
  void RunUntil(const Condition& aCondition)
  {
    constexpr Millis kLimit{ 20000 }; ///< far more than a busy machine needs
    Millis end = SteadyClock().Now() + kLimit;
    while (!aCondition()) {
      CPPUNIT_ASSERT(SteadyClock().Now() < end);
      for (const auto& exchange : std::exchange(waiting_, {})) {
        exchange->Reply({ 200, {}, "{}" });
      }
      timeval poll{ 0, 5000 };
      event_base_loopexit(base_, &poll);
      event_base_dispatch(base_);
    }
  }

  ManualClock clock_;
  event_base* base_ = nullptr;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<HttpServer> servers_[2];
  Endpoint peers_[2];
  std::vector<std::shared_ptr<ServerExchange>> waiting_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionPoolTest);

} // namespace coltsfootshed
