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

/// A fault in a TOML document.
struct Fault
{
  /// 1-based; the line of the table if the field is missing, 0 if unknown.
  std::uint32_t line_ = 0;
  std::string field_;    ///< dotted path
  std::string expected_; ///< what was expected

  /// Returns for example "line 12: services.stitch.pool: expected the name of a
  /// pool".
  std::string Text() const;
};

/// Parses TOML. On a syntax error it adds a fault whose field is aWhat, and
/// returns nothing.
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

/// Reads one table. Every getter marks its key as known; Finish() reports the
/// other keys of the table. A getter that finds a value of the wrong type or
/// out of range reports a fault and returns what it returns for a missing
/// field. Such items within a list or table are left out.
class TableReader
{
public:
  TableReader(const toml::table& aTable,
              std::string aPath,
              std::vector<Fault>& aFaults);

  /// Reads a string; a missing field yields aDefault.
  std::string Text(std::string_view aKey, std::string_view aDefault);
  /// Reads a string that must exist and not be empty.
  std::string RequiredText(std::string_view aKey);
  /// Reads one of aChoices; a missing field yields the first.
  std::string Choice(std::string_view aKey,
                     std::span<const std::string_view> aChoices);
  /// Reads a whole number within the bounds of aRule.
  std::int64_t Int(std::string_view aKey, const IntRule& aRule);
  /// Reads a number from 0 to 1; a missing field yields aDefault.
  double Fraction(std::string_view aKey, double aDefault);
  bool Bool(std::string_view aKey, bool aDefault);
  /// Returns nothing if the field is missing or is not a boolean.
  std::optional<bool> OptionalBool(std::string_view aKey);
  /// Reads a list of strings; a missing field yields an empty list.
  std::vector<std::string> Texts(std::string_view aKey);
  /// Returns the names and tables below a key, for example [services.*]. The
  /// pointers are valid as long as the document.
  std::vector<std::pair<std::string, const toml::table*>> Tables(
    std::string_view aKey);

  /// Reports every unknown key with the most similar known one.
  void Finish();
  /// Reports a fault of a field of this table.
  void Report(std::string_view aKey, std::string_view aExpected);
  /// Returns the line of a field, or of the table if the field is missing.
  std::uint32_t LineOf(std::string_view aKey) const;
  /// Returns the dotted path of a field from the root of the document.
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
