#include "platform_transfer.h"

#include <algorithm>
#include <cassert>
#include <new>
#include <string_view>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "acaciasill/net/http_text.h"

namespace acaciasill::net {
namespace {

constexpr std::size_t max_header_lines = 100;
// Limit on the heads and trailers of one transfer, in bytes.
constexpr std::size_t max_header_bytes = 65536;
constexpr support::milliseconds max_connect_timeout{1000};

void initialise_curl() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
  assert(result == CURLE_OK && "libcurl initialisation failed");
  (void)result;
}

std::string strip(std::string_view text) {
  return std::string(absl::StripAsciiWhitespace(absl::string_view(text.data(), text.size())));
}

// Adds a line of the head or of a trailer, as libcurl passes it. Returns false if the line is none
// that HTTP allows.
bool add_header_line(std::vector<wire::header_field>& headers, std::string_view line) {
  if (line.starts_with("HTTP/")) {
    // The fields of an interim response do not belong to the final one.
    headers.clear();
    return true;
  }
  const bool continues_value = line.starts_with(' ') || line.starts_with('\t');
  if (continues_value && !headers.empty()) {
    auto& value = headers.back().value;
    const auto continuation = strip(line);
    value.append(value.empty() || continuation.empty() ? "" : " ").append(continuation);
    return true;
  }
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) {
    return strip(line).empty();
  }
  if (!is_field_name(line.substr(0, colon))) {
    return false;
  }
  if (headers.size() < max_header_lines) {
    headers.push_back({std::string(line.substr(0, colon)), strip(line.substr(colon + 1))});
  }
  return true;
}

// Whether libcurl reports the error before it sends any byte of the request.
bool is_before_sending(CURLcode code) {
  return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
         code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL;
}

} // namespace

platform_transfer::platform_transfer(const std::string& url, const platform_exchange& request,
                                     support::milliseconds timeout, bool fresh_connection)
    : body_(request.body) {
  initialise_curl();
  easy_.reset(curl_easy_init());
  if (!easy_) {
    throw std::bad_alloc();
  }
  CURL* easy = easy_.get();
  // Suppresses the Expect header, which would cost a round trip before each larger body.
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const auto& field : request.headers) {
    list = curl_slist_append(list, absl::StrCat(field.name, ": ", field.value).c_str());
  }
  headers_.reset(list);
  curl_easy_setopt(easy, CURLOPT_URL, absl::StrCat(url, request.target).c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers_.get());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(std::min(timeout, max_connect_timeout).count()));
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, fresh_connection ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &platform_transfer::append_body);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &platform_transfer::append_header);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  if (request.method != "GET") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body_.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body_.data());
  }
}

transfer_result platform_transfer::extract_result(CURLcode code) {
  long status = 0;
  long request_bytes = 0;
  curl_easy_getinfo(easy_.get(), CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo(easy_.get(), CURLINFO_REQUEST_SIZE, &request_bytes);
  transfer_result result;
  result.maybe_sent = request_bytes > 0 && !is_before_sending(code);
  if (code == CURLE_OK && status >= 200) {
    response_.status = static_cast<std::uint16_t>(status);
    result.response = std::move(response_);
  }
  return result;
}

std::size_t platform_transfer::append_body(const char* bytes, std::size_t size, std::size_t count,
                                           void* transfer) {
  auto& body = static_cast<platform_transfer*>(transfer)->response_.body;
  const std::size_t total = size * count;
  if (body.size() + total > max_platform_body_bytes) {
    return 0; // Makes libcurl abort the transfer with an error.
  }
  body.append(bytes, total);
  return total;
}

std::size_t platform_transfer::append_header(const char* bytes, std::size_t size, std::size_t count,
                                             void* transfer) {
  constexpr std::size_t abort_transfer = 0;
  auto& self = *static_cast<platform_transfer*>(transfer);
  const std::string_view line(bytes, size * count);
  self.header_bytes_ += line.size();
  const bool is_valid =
      self.header_bytes_ <= max_header_bytes && add_header_line(self.response_.headers, line);
  return is_valid ? line.size() : abort_transfer;
}

transfer_multi::transfer_multi() {
  initialise_curl();
  multi_.reset(curl_multi_init());
  if (!multi_) {
    throw std::bad_alloc();
  }
}

void transfer_multi::add(platform_transfer& transfer) {
  curl_multi_add_handle(multi_.get(), transfer.handle());
}

void transfer_multi::remove(platform_transfer& transfer) {
  curl_multi_remove_handle(multi_.get(), transfer.handle());
}

void transfer_multi::perform() {
  int running = 0;
  curl_multi_perform(multi_.get(), &running);
}

void transfer_multi::poll(support::milliseconds timeout) {
  curl_multi_poll(multi_.get(), nullptr, 0, static_cast<int>(timeout.count()), nullptr);
}

void transfer_multi::wake() {
  curl_multi_wakeup(multi_.get());
}

std::optional<transfer_multi::finished> transfer_multi::next_finished() {
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(multi_.get(), &left)) {
    if (message->msg == CURLMSG_DONE) {
      return finished{message->easy_handle, message->data.result};
    }
  }
  return std::nullopt;
}

} // namespace acaciasill::net
