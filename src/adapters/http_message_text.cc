#include "adapters/http_message_text.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>
#include <ostream>

namespace chicoryvale {
namespace {

constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Transfer-Encoding",
    "Content-Length",
    "TE",
    "Trailer",
    "Upgrade",
    "Proxy-Authenticate",
    "Proxy-Authorization"};

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

void AppendHeaders(const std::vector<HttpHeader>& headers, std::string* text) {
  for (const HttpHeader& header : headers) {
    text->append(header.name).append(": ").append(header.value).append("\r\n");
  }
}

boost::beast::string_view ToBeastView(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

std::string FormatRequestHead(std::string_view method, std::string_view target,
                              const std::vector<HttpHeader>& headers,
                              std::size_t body_bytes) {
  std::string text;
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendHeaders(headers, &text);
  const bool usually_has_body =
      method == "POST" || method == "PUT" || method == "PATCH";
  if (body_bytes > 0 || usually_has_body) {
    text.append("Content-Length: ")
        .append(std::to_string(body_bytes))
        .append("\r\n");
  }
  return text.append("\r\n");
}

std::string FormatResponse(const HttpResponse& response, bool close,
                           bool is_to_head) {
  const auto status = static_cast<boost::beast::http::status>(response.status);
  const auto reason_phrase = boost::beast::http::obsolete_reason(status);
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " ";
  text.append(reason_phrase.data(), reason_phrase.size()).append("\r\n");
  if (!response.content_type.empty()) {
    text.append("Content-Type: ").append(response.content_type).append("\r\n");
  }
  AppendHeaders(response.headers, &text);
  const bool may_have_body =
      response.status != kNoContent && response.status != kNotModified;
  if (may_have_body) {
    text.append("Content-Length: ")
        .append(std::to_string(response.body.size()))
        .append("\r\n");
  }
  if (close) text.append("Connection: close\r\n");
  text.append("\r\n");
  if (may_have_body && !is_to_head) text.append(response.body);
  return text;
}

bool IsHopByHopHeader(std::string_view name) {
  return std::ranges::any_of(kHopByHopHeaders,
                             [name](std::string_view hop_by_hop) {
                               return HeaderNamesEqual(hop_by_hop, name);
                             });
}

bool HeaderNamesEqual(std::string_view left, std::string_view right) {
  return boost::beast::iequals(ToBeastView(left), ToBeastView(right));
}

}  // namespace chicoryvale
