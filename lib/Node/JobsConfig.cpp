#include "coltsfootshed/Node/JobsConfig.h"

#include <algorithm>
#include <numeric>

namespace coltsfootshed {

const QueueConfig* JobsConfig::Find(std::string_view aHost,
                                    std::string_view aPath) const
{
  aHost = aHost.substr(0, aHost.find(':'));
  const QueueConfig* best = nullptr;
  for (const QueueConfig& queue : queues_) {
    bool matches = queue.host_ == aHost &&
                   aPath.substr(0, queue.prefix_.size()) == queue.prefix_;
    if (matches &&
        (best == nullptr || queue.prefix_.size() > best->prefix_.size())) {
      best = &queue;
    }
  }
  return best;
}

void JobsConfig::IndexQueues()
{
  queuesByName_.resize(queues_.size());
  std::iota(queuesByName_.begin(), queuesByName_.end(), 0U);
  std::sort(queuesByName_.begin(),
            queuesByName_.end(),
            [this](std::uint32_t aLeft, std::uint32_t aRight) {
              return queues_[aLeft].name_ < queues_[aRight].name_;
            });
}

const QueueConfig* JobsConfig::FindByName(std::string_view aName) const
{
  auto found =
    std::lower_bound(queuesByName_.begin(),
                     queuesByName_.end(),
                     aName,
                     [this](std::uint32_t aIndex, std::string_view aText) {
                       return queues_[aIndex].name_ < aText;
                     });
  bool isKnown = found != queuesByName_.end() && queues_[*found].name_ == aName;
  return isKnown ? &queues_[*found] : nullptr;
}

std::set<std::string> JobsConfig::ServedServices() const
{
  std::set<std::string> names;
  for (const ServiceConfig& service : services_) {
    if (!service.spare_) {
      names.insert(service.name_);
    }
  }
  return names;
}

} // namespace coltsfootshed
