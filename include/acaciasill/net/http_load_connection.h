#ifndef ACACIASILL_NET_HTTP_LOAD_CONNECTION_H
#define ACACIASILL_NET_HTTP_LOAD_CONNECTION_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>

// The load tool's HTTP/1.1 client: one connection with one call at a time, kept open between
// calls. It costs little, so that the client is not what a measurement measures.
namespace acaciasill::net {

// How an attempt ended as seen by the caller.
enum class load_end : std::uint8_t {
  answered, // A whole HTTP response arrived.
  not_sent, // The connection could not be opened.
  broken,   // The connection failed before the response was whole.
  given_up, // The caller closed the connection, having waited long enough.
};

// The parts of a response that the load tool looks at.
struct load_response {
  load_end end = load_end::broken;
  unsigned status = 0;
  // The headers x-outcome and x-result-code.
  std::string outcome;
  std::string result_code;
  std::string body;
  bool keep_alive = false;

  bool operator==(const load_response&) const = default;
};

// One connection. All functions run on the thread of its io_context; create it with
// std::make_shared. The callback runs exactly once for each call.
class http_load_connection : public std::enable_shared_from_this<http_load_connection> {
public:
  using on_response = std::function<void(load_response)>;

  http_load_connection(asio::io_context& io, asio::ip::tcp::endpoint target);
  ~http_load_connection();
  http_load_connection(const http_load_connection&) = delete;
  http_load_connection& operator=(const http_load_connection&) = delete;

  // Sends the whole text of a request, connecting first where needed.
  void send(std::string request, on_response callback);

  // Closes the connection; a call in flight ends with load_end::given_up.
  void give_up();

  // Whether another call can go out on it without connecting again.
  bool is_open() const { return open_; }

private:
  struct parser;

  void connect();
  void write();
  void read();
  void finish(load_end end);
  void close();

  asio::ip::tcp::socket socket_;
  asio::ip::tcp::endpoint target_;
  std::unique_ptr<parser> parser_;
  std::string request_;
  std::string buffer_;
  on_response callback_;
  bool open_ = false;
};

// The text of a request with a content-length where there is a body. Header lines end with CRLF.
std::string format_request(const std::string& method, const std::string& host,
                           const std::string& target, const std::string& header_lines,
                           const std::string& body);

} // namespace acaciasill::net

#endif
