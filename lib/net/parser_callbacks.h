#ifndef ACACIASILL_LIB_NET_PARSER_CALLBACKS_H
#define ACACIASILL_LIB_NET_PARSER_CALLBACKS_H

#include <cstddef>

#include <http_parser.h>

namespace acaciasill::net {

// http_parser callbacks that forward to a connection; the parser's data pointer refers to it.
template <typename Connection>
http_parser_settings parser_callbacks() {
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_message_begin = [](http_parser* parser) {
    return static_cast<Connection*>(parser->data)->on_message_begin();
  };
  settings.on_header_field = [](http_parser* parser, const char* bytes, std::size_t count) {
    return static_cast<Connection*>(parser->data)->on_field_name({bytes, count});
  };
  settings.on_header_value = [](http_parser* parser, const char* bytes, std::size_t count) {
    return static_cast<Connection*>(parser->data)->on_field_value({bytes, count});
  };
  settings.on_headers_complete = [](http_parser* parser) {
    return static_cast<Connection*>(parser->data)->on_headers_complete();
  };
  settings.on_body = [](http_parser* parser, const char* bytes, std::size_t count) {
    return static_cast<Connection*>(parser->data)->on_body({bytes, count});
  };
  settings.on_message_complete = [](http_parser* parser) {
    return static_cast<Connection*>(parser->data)->on_message_complete();
  };
  return settings;
}

} // namespace acaciasill::net

#endif
