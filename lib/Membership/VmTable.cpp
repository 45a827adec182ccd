#include "coltsfootshed/Membership/VmTable.h"

namespace coltsfootshed {

void VmTable::MergeList(std::span<const VmRecord> aList)
{
  for (const VmRecord& record : aList) {
    auto [known, added] = records_.try_emplace(record.name_, record);
    if (!added && record.revision_ > known->second.revision_) {
      known->second = record;
    }
    auto mark = marks_.find(record.name_);
    if (mark != marks_.end() && record.revision_ > mark->second) {
      marks_.erase(mark);
    }
  }
}

bool VmTable::MergeMark(const LeavingMark& aMark)
{
  const VmRecord* record = Find(aMark.vm_);
  if (record != nullptr && record->revision_ > aMark.revision_) {
    return false;
  }
  auto [known, added] = marks_.try_emplace(aMark.vm_, aMark.revision_);
  if (added) {
    return true;
  }
  bool newer = aMark.revision_ > known->second;
  if (newer) {
    known->second = aMark.revision_;
  }
  return newer;
}

LeavingMark VmTable::MarkFor(std::string_view aVm) const
{
  const VmRecord* record = Find(aVm);
  std::uint64_t revision = record == nullptr ? 0 : record->revision_;
  return { std::string(aVm), revision };
}

bool VmTable::IsLeaving(std::string_view aVm) const
{
  if (marks_.contains(aVm)) {
    return true;
  }
  const VmRecord* record = Find(aVm);
  return record != nullptr && record->leaving_;
}

const VmRecord* VmTable::Find(std::string_view aVm) const
{
  auto found = records_.find(aVm);
  return found == records_.end() ? nullptr : &found->second;
}

std::vector<LeavingMark> VmTable::Marks() const
{
  std::vector<LeavingMark> marks;
  for (const auto& [vm, revision] : marks_) {
    marks.push_back({ vm, revision });
  }
  return marks;
}

} // namespace coltsfootshed
