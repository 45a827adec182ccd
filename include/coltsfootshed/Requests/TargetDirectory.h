/// \file
/// Finds the VMs that may get new requests for each pool, from the document,
/// the VM list, the leaving marks and the data centre's fleet records.
#ifndef COLTSFOOTSHED_REQUESTS_TARGETDIRECTORY_H
#define COLTSFOOTSHED_REQUESTS_TARGETDIRECTORY_H

#include "coltsfootshed/Config/Document.h"
#include "coltsfootshed/Fleet/FleetState.h"
#include "coltsfootshed/Membership/VmTable.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

class TargetDirectory
{
public:
  explicit TargetDirectory(std::string aDataCentre);

  void SetDocument(std::shared_ptr<const Document> aDocument);
  /// Null until the first configuration is in force.
  const Document* CurrentDocument() const { return document_.get(); }
  void MergeVms(std::span<const VmRecord> aVms);
  /// Returns true if the mark is newer than what is known of its VM.
  bool MergeMark(const LeavingMark& aMark);
  /// Replaces the fleet records by newer ones.
  void SetRecords(FleetState aRecords);

  /// VMs of this data centre that may get new requests for a pool, in order of
  /// name. Valid until the next call of a function that is not const.
  std::span<const std::string> Members(std::string_view aPool) const;
  const VmTable& Vms() const { return vms_; }
  const FleetState& Records() const { return records_; }

private:
  void Update();
  bool IsLocalTarget(std::string_view aVm) const;

  std::string dataCentre_;
  std::shared_ptr<const Document> document_;
  VmTable vms_;
  FleetState records_;
  std::map<std::string, std::vector<std::string>, std::less<>> members_;
};

} // namespace coltsfootshed

#endif
