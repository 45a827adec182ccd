#include "coltsfootshed/Node/JobsConfig.h"

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
