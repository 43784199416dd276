#include "config/cluster_config.h"

#include <algorithm>

#include "base/hash.h"
#include "config/cluster_config_codec.h"

namespace chicoryvale {

const ServiceConfig* FindService(const ClusterConfig& config,
                                 const std::string& name) {
  const auto found =
      std::ranges::find(config.services, name, &ServiceConfig::name);
  return found == config.services.end() ? nullptr : &*found;
}

std::string EncodeConfig(const ClusterConfig& config) { return Encode(config); }

bool DecodeConfig(const std::string& bytes, ClusterConfig* config) {
  return Decode(bytes, config);
}

std::uint64_t HashConfig(const ClusterConfig& config) {
  return HashBytes(EncodeConfig(config));
}

}  // namespace chicoryvale
