#ifndef CHICORYVALE_SRC_ADAPTERS_SOCKET_ADDRESS_H_
#define CHICORYVALE_SRC_ADAPTERS_SOCKET_ADDRESS_H_

#include <gio/gio.h>

#include <memory>

#include "base/ids.h"
#include "chicoryvale/error.h"

namespace chicoryvale {

/// Releases a reference to a GObject.
struct GObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};

/// Owns one reference to a GObject of type T.
template <typename T>
using GObjectPtr = std::unique_ptr<T, GObjectUnref>;

/// Releases a GError.
struct GErrorFree {
  void operator()(GError* error) const { g_error_free(error); }
};

/// Owns a GError.
using GErrorPtr = std::unique_ptr<GError, GErrorFree>;

/// Returns the socket address of `address`, an IP number and a port; an IPv6
/// number stands in brackets. kMalformedRequest if it is anything else.
Result<GObjectPtr<GSocketAddress>> ToSocketAddress(const Address& address);

/// Returns the IP number and port of `address`; empty for other families.
Address FromSocketAddress(GSocketAddress* address);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_SOCKET_ADDRESS_H_
