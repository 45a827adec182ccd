/// \file
/// Collects the lines of the decision log while it exists.
#ifndef COLTSFOOTSHED_UNITTESTS_SUPPORT_LOGCAPTURE_H
#define COLTSFOOTSHED_UNITTESTS_SUPPORT_LOGCAPTURE_H

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>
#include <sstream>
#include <string>
#include <vector>

namespace coltsfootshed {

class LogCapture
{
public:
  LogCapture()
    : previous_(spdlog::default_logger())
  {
    auto logger = std::make_shared<spdlog::logger>(
      "capture", std::make_shared<spdlog::sinks::ostream_sink_st>(text_));
    logger->set_pattern("{%v}");
    spdlog::set_default_logger(std::move(logger));
  }
  ~LogCapture() { spdlog::set_default_logger(previous_); }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  std::vector<std::string> Lines() const
  {
    std::vector<std::string> lines;
    std::istringstream text(text_.str());
    for (std::string line; std::getline(text, line);) {
      lines.push_back(std::move(line));
    }
    return lines;
  }
  /// Returns how many lines contain aText.
  int Count(const std::string& aText) const
  {
    int count = 0;
    for (const std::string& line : Lines()) {
      count += line.find(aText) != std::string::npos ? 1 : 0;
    }
    return count;
  }

private:
  std::ostringstream text_;
  std::shared_ptr<spdlog::logger> previous_;
};

} // namespace coltsfootshed

#endif
