/// \file
/// What this process knows of VMs: the platform's lagging list, joined with
/// every sign that a VM is leaving.
#ifndef COLTSFOOTSHED_MEMBERSHIP_VMTABLE_H
#define COLTSFOOTSHED_MEMBERSHIP_VMTABLE_H

#include "coltsfootshed/Settings/Settings.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

/// One VM as the platform lists it.
struct VmRecord
{
  std::string name_;
  std::string dataCentre_;
  std::string rack_;
  Endpoint endpoint_;
  bool leaving_ = false;
  std::string rebooted_; ///< operation of its latest reboot, empty if none
  std::uint64_t revision_ = 0; ///< grows with each change of this VM
};

/// Changes of the VM list.
struct VmListPage
{
  std::uint64_t revision_ = 0; ///< ask for changes since this one next
  std::vector<VmRecord> vms_;
};

/// A sign that a VM is leaving, seen when its record had revision_.
struct LeavingMark
{
  std::string vm_;
  std::uint64_t revision_ = 0;
};

/// Records only move to higher revisions, whatever order they arrive in. A
/// leaving mark holds until a record newer than the mark says otherwise.
class VmTable
{
public:
  /// Takes a list as read from the platform, which may be an old one.
  void MergeList(std::span<const VmRecord> aList);
  /// Takes a sign from a target's answer or from a peer. Returns true if it
  /// was news.
  bool MergeMark(const LeavingMark& aMark);
  /// The mark for a VM that declared now that it is leaving.
  LeavingMark MarkFor(std::string_view aVm) const;

  bool IsLeaving(std::string_view aVm) const;
  const VmRecord* Find(std::string_view aVm) const;
  /// All marks in force, to be told to peers.
  std::vector<LeavingMark> Marks() const;
  const std::map<std::string, VmRecord, std::less<>>& All() const
  {
    return records_;
  }

private:
  std::map<std::string, VmRecord, std::less<>> records_;
  std::map<std::string, std::uint64_t, std::less<>> marks_;
};

} // namespace coltsfootshed

#endif
