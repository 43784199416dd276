#include "config/cluster_config.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

namespace chicoryvale {
namespace {

ClusterConfig SmallConfig() {
  ServiceConfig service;
  service.name = "macchie.EyepieceDesk";
  service.shards = {{{{{"127.0.0.1:9000"}, "a", false}}}};
  ClusterConfig config;
  config.version = 7;
  config.schema_text = "syntax = \"proto3\";";
  config.services = {service};
  return config;
}

TEST(ClusterConfigTest, DecodesToTheSameConfiguration) {
  ClusterConfig decoded;
  ASSERT_TRUE(DecodeConfig(EncodeConfig(SmallConfig()), &decoded));
  EXPECT_EQ(decoded, SmallConfig());
}

TEST(ClusterConfigTest, RefusesEveryTruncation) {
  const std::string bytes = EncodeConfig(SmallConfig());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    ClusterConfig decoded;
    EXPECT_FALSE(DecodeConfig(bytes.substr(0, size), &decoded)) << size;
  }
}

TEST(ClusterConfigTest, RefusesContainerSizeBeyondTheInput) {
  std::string bytes = EncodeConfig(SmallConfig());
  bytes.replace(sizeof(std::uint64_t), sizeof(std::uint64_t),
                std::string(sizeof(std::uint64_t), '\x7f'));
  ClusterConfig decoded;
  EXPECT_FALSE(DecodeConfig(bytes, &decoded));
}

}  // namespace
}  // namespace chicoryvale
