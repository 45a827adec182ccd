/// \file
/// Simulates a flood of one class on a logical clock and checks that the other
/// classes keep their throughput and latency. A shared first-in-first-out queue
/// and a fixed split of the slots are simulated for comparison.

#include "Support/ManualClock.h"
#include "coltsfootshed/Admission/ServiceQueue.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <map>
#include <memory>
#include <random>

namespace coltsfootshed {

namespace {

constexpr std::int64_t kSlots = 16;
constexpr std::int64_t kLimit = 512;
constexpr Millis kDeadline{ 2000 };
constexpr Millis kRunTime{ 20000 };
constexpr double kFloodPerMs = 4.0;
/// Arrivals per millisecond without a flood: 9 of 16 slots busy.
constexpr std::array<double, kClassCount> kUsualPerMs = { 0.20, 0.15, 0.10 };

/// A policy that shares slots among classes.
class Policy
{
public:
  virtual ~Policy() = default;
  virtual void Offer(const QueuedRequest& aRequest) = 0;
  virtual std::optional<QueuedRequest> Take() = 0;
  virtual void Finish(RequestClass, Millis) {}
  virtual std::int64_t Waiting() const = 0;
};

class ServiceQueuePolicy final : public Policy
{
public:
  explicit ServiceQueuePolicy(const Clock& aClock)
    : queue_(aClock, kLimit)
  {
    queue_.SetSlots(kSlots);
  }
  void Offer(const QueuedRequest& aRequest) override { queue_.Offer(aRequest); }
  std::optional<QueuedRequest> Take() override
  {
    std::vector<RequestId> dropped;
    return queue_.TakeNext(dropped);
  }
  void Finish(RequestClass aClass, Millis aTime) override
  {
    queue_.OnFinished(aClass, aTime);
  }
  std::int64_t Waiting() const override { return queue_.Waiting(); }

private:
  ServiceQueue queue_;
};

/// One queue for all classes, served in order of arrival.
class SharedFifo final : public Policy
{
public:
  void Offer(const QueuedRequest& aRequest) override
  {
    if (Waiting() < kLimit) {
      queue_.push_back(aRequest);
    }
  }
  std::optional<QueuedRequest> Take() override
  {
    if (queue_.empty() || running_ == kSlots) {
      return std::nullopt;
    }
    QueuedRequest next = queue_.front();
    queue_.pop_front();
    ++running_;
    return next;
  }
  void Finish(RequestClass, Millis) override { --running_; }
  std::int64_t Waiting() const override { return std::int64_t(queue_.size()); }

private:
  std::deque<QueuedRequest> queue_;
  std::int64_t running_ = 0;
};

/// A third of the slots and a separate queue for each class.
class FixedSplit final : public Policy
{
public:
  void Offer(const QueuedRequest& aRequest) override
  {
    Part(aRequest.class_).Offer(aRequest);
  }
  std::optional<QueuedRequest> Take() override
  {
    for (std::size_t i = 0; i < kClassCount; ++i) {
      if (running_[i] < kSlots / std::int64_t(kClassCount)) {
        if (auto next = parts_[i].Take()) {
          ++running_[i];
          return next;
        }
      }
    }
    return std::nullopt;
  }
  void Finish(RequestClass aClass, Millis aTime) override
  {
    --running_[std::size_t(aClass)];
    Part(aClass).Finish(aClass, aTime);
  }
  std::int64_t Waiting() const override
  {
    return parts_[0].Waiting() + parts_[1].Waiting() + parts_[2].Waiting();
  }

private:
  SharedFifo& Part(RequestClass aClass) { return parts_[std::size_t(aClass)]; }

  std::array<SharedFifo, kClassCount> parts_;
  std::array<std::int64_t, kClassCount> running_{};
};

struct ClassResult
{
  std::size_t offered_ = 0;
  std::vector<std::int64_t> times_;

  std::int64_t Quantile(double aFraction)
  {
    std::sort(times_.begin(), times_.end());
    return times_.empty()
             ? 0
             : times_[std::size_t(aFraction * (times_.size() - 1))];
  }
};
using Results = std::array<ClassResult, kClassCount>;

/// Offers the usual load, with a flood of the class aFlood if it is given.
Results Simulate(Policy& aPolicy,
                 ManualClock& aClock,
                 std::optional<RequestClass> aFlood)
{
  std::mt19937 random(7);
  Results results;
  std::multimap<Millis, QueuedRequest> running;
  std::map<RequestId, Millis> startedAt;
  RequestId last = 0;
  for (Millis end = aClock.Now() + kRunTime; aClock.Now() < end;
       aClock.Advance(Millis(1))) {
    Millis now = aClock.Now();
    while (!running.empty() && running.begin()->first <= now) {
      QueuedRequest done = running.begin()->second;
      running.erase(running.begin());
      aPolicy.Finish(done.class_, now - startedAt[done.id_]);
      auto& result = results[std::size_t(done.class_)];
      result.times_.push_back((now - done.arrived_).count());
    }
    for (std::size_t i = 0; i < kClassCount; ++i) {
      auto cls = static_cast<RequestClass>(i);
      double rate = aFlood == cls ? kFloodPerMs : kUsualPerMs[i];
      int count = std::poisson_distribution<int>(rate)(random);
      for (int j = 0; j < count; ++j) {
        ++results[i].offered_;
        aPolicy.Offer({ ++last, cls, "t", 1, now, now + kDeadline, false });
      }
    }
    CPPUNIT_ASSERT(aPolicy.Waiting() <= kLimit * std::int64_t(kClassCount));
    while (auto next = aPolicy.Take()) {
      startedAt[next->id_] = now;
      int work = std::uniform_int_distribution<int>(10, 30)(random);
      running.emplace(now + Millis(work), *next);
    }
  }
  return results;
}

/// Effect of a flood on the other classes, for the worst of them.
struct FloodImpact
{
  /// Served fraction with the flood, divided by that without.
  double throughput_ = 1.0;
  /// 99th percentile of the time to the answer, divided likewise.
  double p99_ = 1.0;
};

template<typename Make>
FloodImpact WorstImpact(const char* aName,
                        RequestClass aFlood,
                        Make aMakePolicy)
{
  ManualClock baselineClock;
  auto baselinePolicy = aMakePolicy(baselineClock);
  Results baseline = Simulate(*baselinePolicy, baselineClock, std::nullopt);
  ManualClock floodClock;
  auto floodPolicy = aMakePolicy(floodClock);
  Results flood = Simulate(*floodPolicy, floodClock, aFlood);
  FloodImpact impact;
  for (std::size_t i = 0; i < kClassCount; ++i) {
    if (static_cast<RequestClass>(i) == aFlood) {
      continue;
    }
    double baselineServed =
      double(baseline[i].times_.size()) / double(baseline[i].offered_);
    double floodServed =
      double(flood[i].times_.size()) / double(flood[i].offered_);
    double p99 =
      double(flood[i].Quantile(0.99)) / double(baseline[i].Quantile(0.99));
    impact.throughput_ =
      std::min(impact.throughput_, floodServed / baselineServed);
    impact.p99_ = std::max(impact.p99_, p99);
  }
  std::cerr << "\n  " << aName << ", " << ClassName(aFlood)
            << " flood: others keep " << impact.throughput_
            << " of their throughput, p99 grows by a factor of " << impact.p99_
            << "; flood served " << flood[std::size_t(aFlood)].times_.size()
            << std::flush;
  return impact;
}

} // namespace

class FloodTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FloodTest);
  CPPUNIT_TEST(OthersKeepTheirServiceInABackgroundFlood);
  CPPUNIT_TEST(OthersKeepTheirServiceInAnUrgentFlood);
  CPPUNIT_TEST_SUITE_END();

  static void CheckFlood(RequestClass aFlood)
  {
    FloodImpact serviceQueue =
      WorstImpact("service queue", aFlood, [](const Clock& aClock) {
        return std::make_unique<ServiceQueuePolicy>(aClock);
      });
    FloodImpact fifo = WorstImpact("shared queue", aFlood, [](const Clock&) {
      return std::make_unique<SharedFifo>();
    });
    FloodImpact split = WorstImpact("fixed split", aFlood, [](const Clock&) {
      return std::make_unique<FixedSplit>();
    });
    std::cerr << "\n";
    CPPUNIT_ASSERT(serviceQueue.throughput_ >= 0.95);
    CPPUNIT_ASSERT(serviceQueue.p99_ <= 1.25);
    CPPUNIT_ASSERT(serviceQueue.throughput_ > fifo.throughput_);
    CPPUNIT_ASSERT(serviceQueue.p99_ < split.p99_ * 1.25);
  }

public:
  void OthersKeepTheirServiceInABackgroundFlood()
  {
    CheckFlood(RequestClass::Background);
  }
  void OthersKeepTheirServiceInAnUrgentFlood()
  {
    CheckFlood(RequestClass::Urgent);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FloodTest);

} // namespace coltsfootshed
