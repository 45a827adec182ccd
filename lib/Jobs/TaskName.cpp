#include "coltsfootshed/Jobs/TaskName.h"

#include <charconv>

namespace coltsfootshed {

std::string TaskName::StepText() const
{
  return job_ + '.' + std::to_string(occurrence_) + '.' + std::to_string(step_);
}

std::string TaskName::Text() const
{
  return StepText() + '.' + std::to_string(index_);
}

std::optional<TaskName> ParseTaskName(std::string_view aText)
{
  std::size_t dot = aText.find('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  TaskName name;
  name.job_ = aText.substr(0, dot);
  const char* at = aText.data() + dot;
  const char* end = aText.data() + aText.size();
  for (int* number : { &name.occurrence_, &name.step_, &name.index_ }) {
    if (at == end || *at != '.') {
      return std::nullopt;
    }
    auto parsed = std::from_chars(at + 1, end, *number);
    if (parsed.ec != std::errc() || *number < 0) {
      return std::nullopt;
    }
    at = parsed.ptr;
  }
  if (at != end) {
    return std::nullopt;
  }
  return name;
}

} // namespace coltsfootshed
