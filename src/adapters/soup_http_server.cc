#include "adapters/soup_http_server.h"

#include <string>
#include <utility>

#include "adapters/socket_address.h"

namespace chicoryvale {
namespace {

// Binds a socket with a backlog of its own: GLib's default is 10.
Result<GObjectPtr<GSocket>> Listen(const SoupHttpServerOptions& options) {
  auto address = ToSocketAddress(options.bind);
  if (!address) return tl::unexpected(address.error());
  GError* error = nullptr;
  GObjectPtr<GSocket> socket(
      g_socket_new(g_socket_address_get_family(address->get()),
                   G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error));
  if (socket != nullptr) {
    g_socket_set_listen_backlog(socket.get(), options.listen_backlog);
  }
  if (socket == nullptr ||
      !g_socket_bind(socket.get(), address->get(), TRUE, &error) ||
      !g_socket_listen(socket.get(), &error)) {
    const GErrorPtr owned(error);
    return MakeError(
        ErrorKind::kUpstreamUnavailable,
        "cannot listen on " + options.bind.host_port + ": " + owned->message);
  }
  return socket;
}

Address LocalAddressOf(GSocket* socket) {
  const GObjectPtr<GSocketAddress> address(
      g_socket_get_local_address(socket, nullptr));
  return FromSocketAddress(address.get());
}

void CopyHeader(const char* name, const char* value, gpointer data) {
  static_cast<std::vector<HttpHeader>*>(data)->push_back({name, value});
}

HttpRequest ToRequest(SoupServerMessage* message, const char* path,
                      std::size_t max_body_bytes) {
  HttpRequest request;
  request.method = soup_server_message_get_method(message);
  request.path = path;
  soup_message_headers_foreach(soup_server_message_get_request_headers(message),
                               CopyHeader, &request.headers);
  SoupMessageBody* body = soup_server_message_get_request_body(message);
  const auto size = static_cast<std::size_t>(body->length);
  if (size > max_body_bytes) {
    request.too_large = true;
    return request;
  }
  GBytes* bytes = soup_message_body_flatten(body);
  gsize length = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &length));
  if (length > 0) request.body.assign(data, length);
  g_bytes_unref(bytes);
  return request;
}

void WriteResponse(SoupServerMessage* message, const HttpResponse& response,
                   bool close) {
  soup_server_message_set_status(message, static_cast<guint>(response.status),
                                 nullptr);
  SoupMessageHeaders* headers =
      soup_server_message_get_response_headers(message);
  for (const HttpHeader& header : response.headers) {
    soup_message_headers_replace(headers, header.name.c_str(),
                                 header.value.c_str());
  }
  if (close) soup_message_headers_replace(headers, "Connection", "close");
  soup_server_message_set_response(message, response.content_type.c_str(),
                                   SOUP_MEMORY_COPY, response.body.data(),
                                   response.body.size());
}

}  // namespace

Result<std::unique_ptr<SoupHttpServer>> SoupHttpServer::Make(
    const SoupHttpServerOptions& options) {
  auto socket = Listen(options);
  if (!socket) return tl::unexpected(socket.error());
  std::unique_ptr<SoupHttpServer> server(new SoupHttpServer());
  server->m_options = options;
  server->m_local = LocalAddressOf(socket->get());
  server->m_server = soup_server_new("server-header", "chicoryvale", nullptr);
  g_signal_connect(server->m_server, "request-started",
                   G_CALLBACK(&SoupHttpServer::OnRequestStarted), server.get());
  soup_server_add_handler(server->m_server, nullptr, &SoupHttpServer::OnRequest,
                          server.get(), nullptr);
  GError* error = nullptr;
  if (!soup_server_listen_socket(server->m_server, socket->get(),
                                 static_cast<SoupServerListenOptions>(0),
                                 &error)) {
    const GErrorPtr owned(error);
    return MakeError(ErrorKind::kUpstreamUnavailable, owned->message);
  }
  return server;
}

SoupHttpServer::~SoupHttpServer() {
  if (m_server == nullptr) return;
  soup_server_disconnect(m_server);
  g_object_unref(m_server);
}

void SoupHttpServer::OnSetHandler(Handler handler) {
  m_handler = std::move(handler);
}

void SoupHttpServer::OnStopAccepting() { m_accepting = false; }

void SoupHttpServer::OnRequestStarted(SoupServer*, SoupServerMessage* message,
                                      gpointer data) {
  g_signal_connect(message, "got-headers",
                   G_CALLBACK(&SoupHttpServer::OnGotHeaders), data);
}

void SoupHttpServer::OnGotHeaders(SoupServerMessage* message, gpointer data) {
  auto* self = static_cast<SoupHttpServer*>(data);
  SoupMessageHeaders* headers =
      soup_server_message_get_request_headers(message);
  const goffset length = soup_message_headers_get_content_length(headers);
  if (length > static_cast<goffset>(self->m_options.max_body_bytes)) {
    soup_server_message_set_status(
        message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, nullptr);
  }
}

void SoupHttpServer::OnRequest(SoupServer*, SoupServerMessage* message,
                               const char* path, GHashTable*, gpointer data) {
  static_cast<SoupHttpServer*>(data)->Handle(message, path);
}

void SoupHttpServer::Handle(SoupServerMessage* message, const char* path) {
  const HttpRequest request =
      ToRequest(message, path, m_options.max_body_bytes);
  soup_server_message_pause(message);
  ++*m_in_flight;
  std::shared_ptr<SoupServerMessage> owned(
      static_cast<SoupServerMessage*>(g_object_ref(message)), g_object_unref);
  m_handler(request, [this, owned,
                      in_flight = m_in_flight](const HttpResponse& response) {
    --*in_flight;
    WriteResponse(owned.get(), response, !m_accepting);
    soup_server_message_unpause(owned.get());
  });
}

}  // namespace chicoryvale
