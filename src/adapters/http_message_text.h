#ifndef CHICORYVALE_SRC_ADAPTERS_HTTP_MESSAGE_TEXT_H_
#define CHICORYVALE_SRC_ADAPTERS_HTTP_MESSAGE_TEXT_H_

#include <string>
#include <string_view>
#include <vector>

#include "ports/http.h"

namespace chicoryvale {

/// Returns the head of a request as it goes on the wire, with a Content-Length
/// if `body_bytes` is not 0 or the method is one that usually has a body.
/// Thread safe.
std::string RequestHead(std::string_view method, std::string_view target,
                        const std::vector<HttpHeader>& headers,
                        std::size_t body_bytes);

/// Returns `response` as it goes on the wire. With `close`, it tells that the
/// connection ends after it. Thread safe.
std::string ResponseText(const HttpResponse& response, bool close);

/// Whether a header concerns one connection only and is never passed on (RFC
/// 9110, section 7.6.1), or is set anew with each message. Thread safe.
bool IsHopByHopHeader(std::string_view name);

/// Compares header names, without regard to the case of ASCII letters. Thread
/// safe.
bool HeaderNamesEqual(std::string_view left, std::string_view right);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_HTTP_MESSAGE_TEXT_H_
