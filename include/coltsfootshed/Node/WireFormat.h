/// \file
/// How the documents of one platform are read and written. The platform's
/// adapter provides it; nothing else knows the platform's field names and keys.
#ifndef COLTSFOOTSHED_NODE_WIREFORMAT_H
#define COLTSFOOTSHED_NODE_WIREFORMAT_H

#include "coltsfootshed/Jobs/JobSpec.h"
#include "coltsfootshed/Node/JobsConfig.h"
#include "coltsfootshed/Targets/Target.h"

namespace coltsfootshed {

struct WireFormat
{
  std::string operatorPrefix_;   ///< prefix of all keys that operators write
  std::string configKey_;        ///< key of the current configuration
  std::string wavePrefix_;       ///< followed by a wave's number
  std::string waveStatusPrefix_; ///< followed by a wave's number
  std::string registryPrefix_;   ///< followed by a target's id

  Result<JobsConfig> (*readConfig_)(std::string_view aText) = nullptr;
  Result<WaveConfig> (*readWave_)(std::string_view aText) = nullptr;
  std::string (*writeWaveStatus_)(bool aComplete) = nullptr;
  Result<TargetInfo> (*readTarget_)(std::string_view aId,
                                    std::string_view aText) = nullptr;
  Result<JobSpec> (*readJob_)(std::string_view aText) = nullptr;
  /// aState is the name of a JobState.
  std::string (*writeState_)(std::string_view aState) = nullptr;
  std::string (*writeWaiting_)(int aWaiting) = nullptr;
};

} // namespace coltsfootshed

#endif
