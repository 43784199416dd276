#ifndef CHICORYVALE_SRC_ADAPTERS_UPSTREAM_MESSAGES_H_
#define CHICORYVALE_SRC_ADAPTERS_UPSTREAM_MESSAGES_H_

#include <libsoup/soup.h>

#include <optional>

#include "ports/upstream_transport.h"

namespace chicoryvale {

/// Returns the HTTP message for `request` in the published upstream protocol,
/// owned by the caller, or null if its address, service and method do not form
/// a valid URL.
SoupMessage* MakeUpstreamMessage(const SubRequest& request);

/// Returns the outcome of a sub-request from the status and headers of the
/// received response `message` and its `body`. The outcome is kMalformed if a
/// numeric header is not a number of its type.
SubOutcome ParseUpstreamResponse(SoupMessage* message, GBytes* body);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_UPSTREAM_MESSAGES_H_
