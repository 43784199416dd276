#ifndef CHICORYVALE_SRC_ADAPTERS_HTTP_MESSAGE_TEXT_H_
#define CHICORYVALE_SRC_ADAPTERS_HTTP_MESSAGE_TEXT_H_

#include <string>
#include <string_view>
#include <vector>

#include "ports/http.h"

namespace chicoryvale {

/// Returns the request line and headers of a request in wire format, up to and
/// including the empty line. Adds a Content-Length header if `body_bytes` is
/// not 0 or the method is one that usually has a body. Thread safe.
std::string FormatRequestHead(std::string_view method, std::string_view target,
                              const std::vector<HttpHeader>& headers,
                              std::size_t body_bytes);

/// Returns `response` in wire format, with a "Connection: close" header if
/// `close` is set, and without the body if `is_to_head` says that the request
/// was a HEAD. Thread safe.
std::string FormatResponse(const HttpResponse& response, bool close,
                           bool is_to_head = false);

/// Returns whether the header `name` must not be forwarded, either because it
/// applies to a single connection (RFC 9110, section 7.6.1) or because each
/// sender sets it itself, as with Content-Length. Thread safe.
bool IsHopByHopHeader(std::string_view name);

/// Returns whether two header names are equal, ignoring the case of ASCII
/// letters. Thread safe.
bool HeaderNamesEqual(std::string_view left, std::string_view right);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_HTTP_MESSAGE_TEXT_H_
