#include "coltsfootshed/Requests/TargetDirectory.h"

#include <algorithm>
#include <utility>

namespace coltsfootshed {

TargetDirectory::TargetDirectory(std::string aDataCentre)
  : dataCentre_(std::move(aDataCentre))
{
}

void TargetDirectory::SetDocument(std::shared_ptr<const Document> aDocument)
{
  document_ = std::move(aDocument);
  Update();
}

void TargetDirectory::MergeVms(std::span<const VmRecord> aVms)
{
  vms_.MergeList(aVms);
  Update();
}

bool TargetDirectory::MergeMark(const LeavingMark& aMark)
{
  bool changed = vms_.MergeMark(aMark);
  if (changed) {
    Update();
  }
  return changed;
}

void TargetDirectory::SetRecords(FleetState aRecords)
{
  records_ = std::move(aRecords);
  Update();
}

std::span<const std::string> TargetDirectory::Members(
  std::string_view aPool) const
{
  auto found = members_.find(aPool);
  if (found == members_.end()) {
    return {};
  }
  return found->second;
}

bool TargetDirectory::IsLocalTarget(std::string_view aVm) const
{
  const VmRecord* record = vms_.Find(aVm);
  return record != nullptr && record->dataCentre_ == dataCentre_ &&
         !vms_.IsLeaving(aVm);
}

/// A VM's fleet record overrides the document, which only says in which pool
/// the VM should be.
void TargetDirectory::Update()
{
  members_.clear();
  if (document_ == nullptr) {
    return;
  }
  for (const auto& [name, pool] : document_->pools_) {
    for (const std::string& vm : pool.vms_) {
      auto record = records_.vms_.find(vm);
      bool recorded = record != records_.vms_.end();
      bool out = recorded && record->second.state_ != VmState::Serving;
      bool drained = std::find(pool.drain_.begin(), pool.drain_.end(), vm) !=
                     pool.drain_.end();
      if (!out && !drained && IsLocalTarget(vm)) {
        members_[recorded ? record->second.pool_ : name].push_back(vm);
      }
    }
  }
  for (auto& [name, vms] : members_) {
    std::sort(vms.begin(), vms.end());
  }
}

} // namespace coltsfootshed
