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

/// Returns the socket address of `address`, which must be an IP address and a
/// port, with an IPv6 address in brackets. Returns kMalformedRequest otherwise.
Result<GObjectPtr<GSocketAddress>> ToSocketAddress(const Address& address);

/// Returns the IP address and port of `address`, or an empty Address if it is
/// null or of another family.
Address FromSocketAddress(GSocketAddress* address);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_SOCKET_ADDRESS_H_
