/// \file
/// Parts of an account's cap, and the messages by which they are divided among
/// services.
#ifndef COLTSFOOTSHED_ACCOUNTS_CAPSHARES_H
#define COLTSFOOTSHED_ACCOUNTS_CAPSHARES_H

#include "coltsfootshed/Store/KeyValueStore.h"
#include "coltsfootshed/Targets/Target.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootshed {

/// A part of a cap, in billionths. Above kWholeCap if more runs than a lowered
/// cap allows.
using CapShare = std::int64_t;
inline constexpr CapShare kWholeCap = 1000000000;

/// Returns aShare * aNumerator / aDenominator without overflow, rounded down;
/// at most what JSON holds exactly. aDenominator is not 0.
CapShare ScaleShare(CapShare aShare,
                    std::int64_t aNumerator,
                    std::int64_t aDenominator);

/// Caps by account.
using Caps = std::map<std::string, Resources, std::less<>>;

/// Shares of one service, by account.
using CapShares = std::map<std::string, CapShare, std::less<>>;

/// Sent to the leader of a service.
struct CapOrder
{
  std::uint64_t number_ = 0; ///< rises with each order of one sender
  Revision table_ = 0;       ///< revision of the table of shares
  /// Digest of the caps under which all leaders have reported; empty: it is not
  /// known that all have.
  std::string settledCaps_;
  /// Accounts for which that is not enough, as more runs than their cap allows.
  std::vector<std::string> unsettled_;
  /// The service's shares in that table; nothing if the leader has them.
  std::optional<CapShares> shares_;
  /// Limits below the shares, which are to be taken back.
  CapShares ceilings_;
  /// The most that the service can get, by account, as runs that do not end by
  /// themselves have the rest; the whole cap for accounts that are not listed.
  CapShares attainable_;
};

/// What one account uses in a service, as shares of its cap.
struct AccountUse
{
  std::string account_;
  CapShare limit_ = 0;   ///< beyond which the leader starts nothing
  CapShare used_ = 0;    ///< by runs
  CapShare asked_ = 0;   ///< by runs and by tasks that could start now
  CapShare lasting_ = 0; ///< by runs that do not end by themselves
  /// The limit under which the next unit of work starts once all but the
  /// lasting runs have ended; 0: nothing waits for the cap. A unit is a task,
  /// or all tasks of a gang.
  CapShare needed_ = 0;
  std::uint64_t starts_ = 0; ///< units started by this leader so far
};

/// Returned by the leader of a service.
struct CapReport
{
  Fence leader_ = 0;   ///< fence of the leader
  Revision table_ = 0; ///< revision of the table that it follows
  std::string caps_;   ///< digest of the caps that it applies
  std::vector<AccountUse> accounts_;
};

/// JSON forms for calls between entry VMs. The readers throw std::exception if
/// a field is malformed.
nlohmann::json ToJson(const CapOrder& aOrder);
CapOrder CapOrderFrom(const nlohmann::json& aJson);
nlohmann::json ToJson(const CapReport& aReport);
CapReport CapReportFrom(const nlohmann::json& aJson);

/// Shares of all services, as stored.
struct CapTable
{
  /// The caps that leaders may apply, by account: no leader applies a higher
  /// one, and the uses in all services are within these.
  Caps settledCaps_;
  /// By account, then service.
  std::map<std::string, CapShares, std::less<>> shares_;

  bool operator==(const CapTable&) const = default;
  CapShares SharesOf(std::string_view aService) const;
};

std::string EncodeCapTable(const CapTable& aTable);
Result<CapTable> DecodeCapTable(std::string_view aText);

} // namespace coltsfootshed

#endif
