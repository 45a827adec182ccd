/// \file
/// Reads one TOML table field by field, and collects every fault with its
/// line, field and what was expected.
#ifndef COLTSFOOTSHED_SUPPORT_TABLEREADER_H
#define COLTSFOOTSHED_SUPPORT_TABLEREADER_H

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace coltsfootshed {

/// One fault in a TOML document.
struct Fault
{
  std::uint32_t line_ = 0; ///< 1-based; 0 if the document lacks the field
  std::string field_;      ///< dotted path
  std::string expected_;   ///< what was expected

  /// "line 12: services.stitch.pool: expected the name of a pool"
  std::string Text() const;
};

/// Parses TOML; a syntax error becomes a fault of aWhat.
std::optional<toml::table> ParseToml(std::string_view aText,
                                     std::string_view aWhat,
                                     std::vector<Fault>& aFaults);

/// Bounds and default of a whole number field.
struct IntRule
{
  std::int64_t min_;
  std::int64_t max_;
  std::int64_t default_;
};

/// Reader of one table. Every getter marks its key as known; Finish() reports
/// the keys that nobody asked for.
class TableReader
{
public:
  TableReader(const toml::table& aTable,
              std::string aPath,
              std::vector<Fault>& aFaults);

  /// Text; a missing field yields aDefault.
  std::string Text(std::string_view aKey, std::string_view aDefault);
  /// Text that must be there.
  std::string RequiredText(std::string_view aKey);
  /// One of aChoices; a missing field yields the first.
  std::string Choice(std::string_view aKey,
                     std::span<const std::string_view> aChoices);
  /// Whole number within the bounds of aRule.
  std::int64_t Int(std::string_view aKey, const IntRule& aRule);
  /// Number from 0 to 1; a missing field yields aDefault.
  double Fraction(std::string_view aKey, double aDefault);
  bool Bool(std::string_view aKey, bool aDefault);
  std::optional<bool> OptionalBool(std::string_view aKey);
  /// List of texts; a missing field yields an empty list.
  std::vector<std::string> Texts(std::string_view aKey);
  /// Names and tables below a key, for example [services.*].
  std::vector<std::pair<std::string, const toml::table*>> Tables(
    std::string_view aKey);

  /// Reports every unknown key with the nearest known one.
  void Finish();
  /// Reports a fault of a field of this table.
  void Report(std::string_view aKey, std::string_view aExpected);
  /// Line of a field, or of the table if the field is missing.
  std::uint32_t LineOf(std::string_view aKey) const;
  std::string PathOf(std::string_view aKey) const;

private:
  const toml::node* Find(std::string_view aKey);

  const toml::table& table_;
  std::string path_;
  std::vector<Fault>& faults_;
  std::set<std::string, std::less<>> known_;
};

} // namespace coltsfootshed

#endif
