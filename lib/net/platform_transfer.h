#ifndef ACACIASILL_LIB_NET_PLATFORM_TRANSFER_H
#define ACACIASILL_LIB_NET_PLATFORM_TRANSFER_H

#include <memory>
#include <optional>
#include <string>

#include <curl/curl.h>

#include "acaciasill/net/platform_protocol.h"
#include "acaciasill/support/time.h"

namespace acaciasill::net {

struct easy_deleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};

struct multi_deleter {
  void operator()(CURLM* handle) const { curl_multi_cleanup(handle); }
};

struct header_list_deleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

// Result of one HTTP transfer.
struct transfer_result {
  // Complete response, if one arrived.
  std::optional<http_response> response;
  // Whether any byte of the request may have reached the server.
  bool maybe_sent = true;
};

// One HTTP request and the response received so far. Neither copyable nor movable, because libcurl
// holds its address.
class platform_transfer {
public:
  platform_transfer(const std::string& url, const platform_exchange& request,
                    support::milliseconds timeout, bool fresh_connection);
  platform_transfer(const platform_transfer&) = delete;
  platform_transfer& operator=(const platform_transfer&) = delete;

  CURL* handle() const { return easy_.get(); }

  // Moves the result out. Must be called once, after the transfer ended with the code.
  transfer_result extract_result(CURLcode code);

private:
  static std::size_t append_body(const char* bytes, std::size_t size, std::size_t count,
                                 void* transfer);
  static std::size_t append_header(const char* bytes, std::size_t size, std::size_t count,
                                   void* transfer);

  std::unique_ptr<CURL, easy_deleter> easy_;
  std::unique_ptr<curl_slist, header_list_deleter> headers_;
  std::string body_;
  http_response response_;
  // Bytes of the heads and trailers received so far.
  std::size_t header_bytes_ = 0;
};

// Runs transfers on one thread; only wake may be called from other threads.
class transfer_multi {
public:
  // A completed transfer.
  struct finished {
    CURL* handle = nullptr;
    CURLcode code = CURLE_OK;
  };

  transfer_multi();

  void add(platform_transfer& transfer);
  void remove(platform_transfer& transfer);
  void perform();
  void poll(support::milliseconds timeout);
  void wake();

  // Returns the next completed transfer, or nullopt.
  std::optional<finished> next_finished();

private:
  std::unique_ptr<CURLM, multi_deleter> multi_;
};

} // namespace acaciasill::net

#endif
