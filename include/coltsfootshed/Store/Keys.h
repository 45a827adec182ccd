/// \file
/// Where the project's state lies in the store.
#ifndef COLTSFOOTSHED_STORE_KEYS_H
#define COLTSFOOTSHED_STORE_KEYS_H

#include <string>
#include <string_view>

namespace coltsfootshed::keys {

/// Entry VMs and leaders, all under leases.
inline constexpr const char* kMembersPrefix = "cf/n/";
inline constexpr const char* kNodePrefix = "cf/n/node/";
inline constexpr const char* kLeaderPrefix = "cf/n/lead/";
/// Accepted jobs and cancel marks, written by the VM that answers the client.
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
inline std::string Cancel(std::string_view aId)
{
  return kCancelPrefix + std::string(aId);
}
/// Progress of jobs, written by the leader of their service.
inline std::string ProgressPrefix(std::string_view aService)
{
  return "cf/p/" + std::string(aService) + '/';
}
inline std::string Progress(std::string_view aService, std::string_view aId)
{
  return ProgressPrefix(aService) + std::string(aId);
}
/// Targets on which runs of a service may exist.
inline std::string Roster(std::string_view aService)
{
  return "cf/t/" + std::string(aService);
}
/// The duty of moving and maintaining VMs; no service has this name.
inline constexpr const char* kPoolsDuty = "~pools";
/// Which VMs have begun the maintenance of their wave.
inline std::string Pools()
{
  return "cf/pools";
}
/// The rest of aKey after aPrefix, or an empty text if it does not start so.
inline std::string_view After(std::string_view aKey, std::string_view aPrefix)
{
  return aKey.substr(0, aPrefix.size()) == aPrefix ? aKey.substr(aPrefix.size())
                                                   : std::string_view();
}

} // namespace coltsfootshed::keys

#endif
