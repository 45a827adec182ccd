#include "coltsfootshed/Support/TableReader.h"

#include "coltsfootshed/Support/Nearest.h"

#include <algorithm>
#include <utility>

namespace coltsfootshed {

std::string Fault::Text() const
{
  std::string place = line_ == 0 ? "" : "line " + std::to_string(line_) + ": ";
  return place + field_ + ": expected " + expected_;
}

std::optional<toml::table> ParseToml(std::string_view aText,
                                     std::string_view aWhat,
                                     std::vector<Fault>& aFaults)
{
  try {
    return toml::parse(aText);
  } catch (const toml::parse_error& error) {
    aFaults.push_back({ error.source().begin.line,
                        std::string(aWhat),
                        "TOML, but: " + std::string(error.description()) });
    return std::nullopt;
  }
}

TableReader::TableReader(const toml::table& aTable,
                         std::string aPath,
                         std::vector<Fault>& aFaults)
  : table_(aTable)
  , path_(std::move(aPath))
  , faults_(aFaults)
{
}

const toml::node* TableReader::Find(std::string_view aKey)
{
  known_.emplace(aKey);
  return table_.get(aKey);
}

std::string TableReader::PathOf(std::string_view aKey) const
{
  if (path_.empty()) {
    return std::string(aKey);
  }
  return path_ + "." + std::string(aKey);
}

std::uint32_t TableReader::LineOf(std::string_view aKey) const
{
  const toml::node* node = table_.get(aKey);
  const toml::source_region& region =
    node != nullptr ? node->source() : table_.source();
  return region.begin.line;
}

void TableReader::Report(std::string_view aKey, std::string_view aExpected)
{
  faults_.push_back({ LineOf(aKey), PathOf(aKey), std::string(aExpected) });
}

std::string TableReader::Text(std::string_view aKey, std::string_view aDefault)
{
  const toml::node* node = Find(aKey);
  if (node == nullptr) {
    return std::string(aDefault);
  }
  if (auto text = node->value_exact<std::string>()) {
    return *text;
  }
  Report(aKey, "a text in quotes");
  return std::string(aDefault);
}

std::string TableReader::RequiredText(std::string_view aKey)
{
  std::string text = Text(aKey, "");
  if (table_.get(aKey) == nullptr) {
    Report(aKey, "a text, but the field is missing");
  } else if (text.empty() && table_.get(aKey)->is_string()) {
    Report(aKey, "a text that is not empty");
  }
  return text;
}

std::string TableReader::Choice(std::string_view aKey,
                                std::span<const std::string_view> aChoices)
{
  std::string text = Text(aKey, aChoices.front());
  if (std::find(aChoices.begin(), aChoices.end(), text) != aChoices.end()) {
    return text;
  }
  std::string expected = "one of";
  for (std::string_view choice : aChoices) {
    expected += " \"" + std::string(choice) + "\"";
  }
  Report(aKey, expected);
  return std::string(aChoices.front());
}

std::int64_t TableReader::Int(std::string_view aKey, const IntRule& aRule)
{
  const toml::node* node = Find(aKey);
  if (node == nullptr) {
    return aRule.default_;
  }
  auto number = node->value_exact<std::int64_t>();
  if (number && *number >= aRule.min_ && *number <= aRule.max_) {
    return *number;
  }
  Report(aKey,
         "a whole number from " + std::to_string(aRule.min_) + " to " +
           std::to_string(aRule.max_));
  return aRule.default_;
}

double TableReader::Fraction(std::string_view aKey, double aDefault)
{
  const toml::node* node = Find(aKey);
  if (node == nullptr) {
    return aDefault;
  }
  auto number = node->value<double>();
  if (number && *number >= 0.0 && *number <= 1.0) {
    return *number;
  }
  Report(aKey, "a number from 0 to 1");
  return aDefault;
}

bool TableReader::Bool(std::string_view aKey, bool aDefault)
{
  return OptionalBool(aKey).value_or(aDefault);
}

std::optional<bool> TableReader::OptionalBool(std::string_view aKey)
{
  const toml::node* node = Find(aKey);
  if (node == nullptr) {
    return std::nullopt;
  }
  if (auto flag = node->value_exact<bool>()) {
    return flag;
  }
  Report(aKey, "true or false");
  return std::nullopt;
}

std::vector<std::string> TableReader::Texts(std::string_view aKey)
{
  const toml::node* node = Find(aKey);
  std::vector<std::string> out;
  if (node == nullptr) {
    return out;
  }
  if (!node->is_array()) {
    Report(aKey, "a list of texts");
    return out;
  }
  for (const toml::node& item : *node->as_array()) {
    auto text = item.value_exact<std::string>();
    if (!text) {
      faults_.push_back(
        { item.source().begin.line, PathOf(aKey), "a list of texts only" });
      continue;
    }
    out.push_back(*text);
  }
  return out;
}

std::vector<std::pair<std::string, const toml::table*>> TableReader::Tables(
  std::string_view aKey)
{
  const toml::node* node = Find(aKey);
  std::vector<std::pair<std::string, const toml::table*>> out;
  if (node == nullptr) {
    return out;
  }
  if (!node->is_table()) {
    Report(aKey, "a table");
    return out;
  }
  for (const auto& [name, child] : *node->as_table()) {
    if (!child.is_table()) {
      faults_.push_back({ child.source().begin.line,
                          PathOf(aKey) + "." + std::string(name.str()),
                          "a table" });
      continue;
    }
    out.emplace_back(std::string(name.str()), child.as_table());
  }
  return out;
}

void TableReader::Finish()
{
  for (const auto& [key, node] : table_) {
    if (known_.contains(key.str())) {
      continue;
    }
    std::string nearest = Nearest(key.str(), known_);
    std::string hint =
      nearest.empty() ? "" : " (did you mean \"" + nearest + "\"?)";
    Report(key.str(), "a known field" + hint);
  }
}

} // namespace coltsfootshed
