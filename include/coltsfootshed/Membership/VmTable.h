/// \file
/// VMs as this process knows them: the platform's list, which lags, combined
/// with all other signs that a VM is leaving.
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

/// One VM as the platform lists it without --platform. See PoolVm for the other
/// mode.
struct VmRecord
{
  std::string name_;
  std::string dataCentre_;
  std::string rack_;
  Endpoint endpoint_;
  bool leaving_ = false;
  std::string lastRebootOperation_; ///< id of its latest reboot, empty if none
  std::uint64_t revision_ = 0;      ///< grows with each change of this VM
};

/// Changes of the VM list since a revision.
struct VmListPage
{
  std::uint64_t revision_ = 0; ///< from which to ask for the next changes
  std::vector<VmRecord> vms_;
};

/// A sign that a VM is leaving, seen while its record had the given revision.
struct LeavingMark
{
  std::string vm_;
  std::uint64_t revision_ = 0;
};

/// Keeps the record with the highest revision of each VM, in whatever order
/// they arrive. A leaving mark holds until a record newer than the mark
/// arrives.
class VmTable
{
public:
  /// Merges a list read from the platform, which may be out of date.
  void MergeList(std::span<const VmRecord> aList);
  /// Merges a mark from a target's answer or from a peer. Returns true if it is
  /// new or newer than the mark held for the VM.
  bool MergeMark(const LeavingMark& aMark);
  /// Returns the mark for a VM that has just declared that it is leaving. Its
  /// revision is 0 if the VM has no record.
  LeavingMark MarkFor(std::string_view aVm) const;

  /// Returns true if a mark is in force for the VM or its record says so.
  bool IsLeaving(std::string_view aVm) const;
  /// Returns the record of a VM, or null if there is none.
  const VmRecord* Find(std::string_view aVm) const;
  /// Returns all marks in force, to be sent to peers.
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
