#include "endpoint/metrics_page.h"

namespace chicoryvale {

MetricsPage& MetricsPage::AddValue(std::string_view group,
                                   std::string_view name, std::uint64_t value) {
  m_text += "chicoryvale_";
  m_text += group;
  m_text += '_';
  m_text += name;
  m_text += ' ';
  m_text += std::to_string(value);
  m_text += '\n';
  return *this;
}

HttpResponse MetricsPage::Response() const {
  HttpResponse response;
  response.content_type = "text/plain; charset=utf-8";
  response.body = m_text;
  return response;
}

}  // namespace chicoryvale
