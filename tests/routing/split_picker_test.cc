// Shares of the services in a traffic split.

#include "routing/split_picker.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicoryvale {
namespace {

constexpr int kRequests = 1200;
constexpr double kMaxShareError = 0.02;

Route MakeRoute(const std::string& host, const std::string& path_prefix,
                int services) {
  Route route;
  route.name = "r";
  route.host = host;
  route.path_prefix = path_prefix;
  for (int i = 0; i < services; ++i) {
    route.services.push_back({"s" + std::to_string(i), 10});
  }
  return route;
}

class SplitStateTest : public testing::Test {
 protected:
  // Sends requests to `routes` in turn, and checks that each service of each
  // route gets the same number.
  void ExpectEqualShares(const std::vector<Route>& routes) {
    std::vector<std::map<std::string, int>> picks(routes.size());
    for (int i = 0; i < kRequests; ++i) {
      for (std::size_t r = 0; r < routes.size(); ++r) {
        ++picks[r][m_picker.Pick(routes[r])];
      }
    }
    for (std::size_t r = 0; r < routes.size(); ++r) {
      for (const WeightedService& service : routes[r].services) {
        EXPECT_NEAR(picks[r][service.name],
                    kRequests / static_cast<double>(routes[r].services.size()),
                    kRequests * kMaxShareError)
            << "route " << r << ", " << service.name;
      }
    }
  }

  SplitPicker m_picker{1};
};

// review/7: the state of a split was kept by the name of its route. With routes
// of one name, gateways read beyond the services of the shorter split.
TEST_F(SplitStateTest, RoutesOfOneNameOnTwoHostsHaveTheirOwnShares) {
  ExpectEqualShares({MakeRoute("a", "/x/", 6), MakeRoute("b", "/x/", 2)});
  ExpectEqualShares({MakeRoute("a", "/y/", 2), MakeRoute("b", "/y/", 6)});
}

TEST_F(SplitStateTest, RoutesOfOneNameOnOneHostHaveTheirOwnShares) {
  ExpectEqualShares({MakeRoute("a", "/x/", 6), MakeRoute("a", "/y/", 2)});
}

TEST_F(SplitStateTest, RoutesWithoutANameHaveTheirOwnShares) {
  std::vector<Route> routes = {MakeRoute("a", "/x/", 2),
                               MakeRoute("b", "/x/", 5)};
  for (Route& route : routes) route.name.clear();
  ExpectEqualShares(routes);
}

// A request may hold the route of the previous configuration.
TEST_F(SplitStateTest, ARouteWithOtherServicesStartsAnew) {
  ExpectEqualShares({MakeRoute("a", "/x/", 6)});
  ExpectEqualShares({MakeRoute("a", "/x/", 2)});
  ExpectEqualShares({MakeRoute("a", "/x/", 4)});
}

}  // namespace
}  // namespace chicoryvale
