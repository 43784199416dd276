#include "adapters/platform_list.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "adapters/socket_address.h"

namespace chicoryvale {
namespace {

using nlohmann::json;

/// Returns the string at `key` of `object`; empty if there is none.
std::string StringAt(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_string()) return "";
  return found->get<std::string>();
}

Result<PlatformVm> ParseVm(const json& entry) {
  if (!entry.is_object()) {
    return MakeError(ErrorKind::kMalformedRequest, "is not an object");
  }
  PlatformVm vm{{StringAt(entry, "address")},
                StringAt(entry, "availability_zone"),
                PlatformVmState::kLive};
  if (!ToSocketAddress(vm.address)) {
    return MakeError(ErrorKind::kMalformedRequest,
                     "address is not an IP address with a port");
  }
  if (vm.availability_zone.empty()) {
    return MakeError(ErrorKind::kMalformedRequest,
                     "availability_zone is missing");
  }
  const std::string state = StringAt(entry, "state");
  if (state == "leaving") {
    vm.state = PlatformVmState::kLeaving;
  } else if (state != "live") {
    return MakeError(ErrorKind::kMalformedRequest,
                     R"(state is neither "live" nor "leaving")");
  }
  return vm;
}

}  // namespace

Result<std::vector<PlatformVm>> ParsePlatformList(const std::string& text) {
  if (text.size() > kMaxPlatformListBytes) {
    return MakeError(ErrorKind::kMalformedRequest, "the list is too large");
  }
  const json document = json::parse(text, nullptr, false);
  const auto list =
      document.is_object() ? document.find("vms") : document.end();
  if (!document.is_object() || list == document.end() || !list->is_array()) {
    return MakeError(ErrorKind::kMalformedRequest,
                     R"(there is no JSON object with an array "vms")");
  }
  if (list->size() > kMaxPlatformVms) {
    return MakeError(ErrorKind::kMalformedRequest, "the list has too many VMs");
  }
  std::vector<PlatformVm> vms;
  vms.reserve(list->size());
  for (const json& entry : *list) {
    Result<PlatformVm> vm = ParseVm(entry);
    if (!vm) {
      return MakeError(
          ErrorKind::kMalformedRequest,
          "vms[" + std::to_string(vms.size()) + "]: " + vm.error().message);
    }
    vms.push_back(std::move(*vm));
  }
  std::ranges::sort(vms, {}, &PlatformVm::address);
  const auto duplicate =
      std::ranges::adjacent_find(vms, {}, &PlatformVm::address);
  if (duplicate != vms.end()) {
    return MakeError(ErrorKind::kMalformedRequest,
                     duplicate->address.host_port + " is listed twice");
  }
  return vms;
}

}  // namespace chicoryvale
