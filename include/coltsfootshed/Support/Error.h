/// \file
/// The error that operations across the system return: what was being done,
/// with which peer, and why it failed.
#ifndef COLTSFOOTSHED_SUPPORT_ERROR_H
#define COLTSFOOTSHED_SUPPORT_ERROR_H

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace coltsfootshed {

/// A failed operation. Texts are lower case without a full stop.
struct Error
{
  std::string operation_; ///< what was being done, for example "submit config"
  std::string peer_;      ///< address or name of the other end, may be empty
  std::string reason_;    ///< why it failed

  /// Returns one line for logs and operators.
  std::string Text() const
  {
    if (peer_.empty()) {
      return operation_ + ": " + reason_;
    }
    return operation_ + " (" + peer_ + "): " + reason_;
  }
};

template<typename T>
using Result = tl::expected<T, Error>;

/// Makes the Error of a failed Result.
inline tl::unexpected<Error> Fail(std::string aOperation,
                                  std::string aPeer,
                                  std::string aReason)
{
  return tl::unexpected<Error>(
    Error{ std::move(aOperation), std::move(aPeer), std::move(aReason) });
}

} // namespace coltsfootshed

#endif
