#ifndef CHICORYVALE_SRC_ADAPTERS_UPSTREAM_MESSAGES_H_
#define CHICORYVALE_SRC_ADAPTERS_UPSTREAM_MESSAGES_H_

#include <libsoup/soup.h>

#include <optional>

#include "ports/upstream_transport.h"

namespace chicoryvale {

/// Returns the HTTP message of `request` in the published protocol, owned by
/// the caller; null if its address, service and method give no URL.
SoupMessage* MakeUpstreamMessage(const SubRequest& request);

/// Returns the outcome that the headers of a received answer and its `body`
/// tell: kMalformed if a header is not the number that it should be.
SubOutcome ReadUpstreamAnswer(SoupMessage* message, GBytes* body);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_UPSTREAM_MESSAGES_H_
