/// \file
/// The keys under which this program keeps its state in the store.
#ifndef COLTSFOOTSHED_STORE_KEYS_H
#define COLTSFOOTSHED_STORE_KEYS_H

#include <string>
#include <string_view>

namespace coltsfootshed::keys {

/// Members (entry VMs) and leaders of duties; all have a lease.
inline constexpr const char* kElectionPrefix = "cf/n/";
inline constexpr const char* kNodePrefix = "cf/n/node/";
inline constexpr const char* kLeaderPrefix = "cf/n/lead/";
/// Accepted jobs and cancel marks, written by the VM that serves the client.
inline constexpr const char* kWorkPrefix = "cf/w/";
inline constexpr const char* kJobPrefix = "cf/w/j/";
inline constexpr const char* kCancelPrefix = "cf/w/x/";

inline std::string Node(std::string_view aNode)
{
  return kNodePrefix + std::string(aNode);
}
inline std::string Leader(std::string_view aDuty)
{
  return kLeaderPrefix + std::string(aDuty);
}
inline std::string Job(std::string_view aId)
{
  return kJobPrefix + std::string(aId);
}
/// Key of a job's cancel mark; its value is the job's service. A job that is
/// not stored when it is cancelled gets one too, and then cannot be stored
/// while the mark exists.
inline std::string Cancel(std::string_view aId)
{
  return kCancelPrefix + std::string(aId);
}
/// Prefix of the progress of a service's jobs, written by its leader.
inline std::string ProgressPrefix(std::string_view aService)
{
  return "cf/p/" + std::string(aService) + '/';
}
inline std::string Progress(std::string_view aService, std::string_view aId)
{
  return ProgressPrefix(aService) + std::string(aId);
}
/// List of the targets on which runs of a service may exist.
inline std::string Roster(std::string_view aService)
{
  return "cf/t/" + std::string(aService);
}
/// The duty of moving and maintaining VMs; no service has this name.
inline constexpr const char* kPoolsDuty = "~pools";
/// State of the pool manager: which VMs have begun the maintenance of their
/// wave, and which got orders recently.
inline std::string PoolManagerState()
{
  return "cf/pools";
}
/// Shares of the services in the caps of accounts, written by the pool manager.
inline std::string CapShares()
{
  return "cf/caps";
}
/// Returns the rest of aKey after aPrefix, or an empty text if aKey does not
/// start with it.
inline std::string_view SuffixAfter(std::string_view aKey,
                                    std::string_view aPrefix)
{
  return aKey.substr(0, aPrefix.size()) == aPrefix ? aKey.substr(aPrefix.size())
                                                   : std::string_view();
}

} // namespace coltsfootshed::keys

#endif
