#include "acaciasill/net/backend_client.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

#include <strings.h>
#include <unistd.h>

#include <asio.hpp>
#include <curl/curl.h>

namespace acaciasill::net {
namespace {

constexpr std::size_t max_response_headers = 100;
constexpr std::size_t max_idle_handles = 256;

struct easy_deleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
struct multi_deleter {
  void operator()(CURLM* handle) const { curl_multi_cleanup(handle); }
};
struct list_deleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using easy_handle = std::unique_ptr<CURL, easy_deleter>;
using multi_handle = std::unique_ptr<CURLM, multi_deleter>;
using header_list = std::unique_ptr<curl_slist, list_deleter>;

// One exchange in progress.
struct exchange {
  std::uint64_t id = 0;
  easy_handle handle;
  backend_request request;
  header_list headers;
  backend_callback done;
  backend_response response;
  std::size_t max_body_bytes = 0;
  bool too_large = false;
};

std::size_t take_body(char* bytes, std::size_t size, std::size_t count, void* user) {
  auto& state = *static_cast<exchange*>(user);
  const std::size_t length = size * count;
  if (state.response.body.size() + length > state.max_body_bytes) {
    state.too_large = true;
    return 0;
  }
  state.response.body.append(bytes, length);
  return length;
}

std::string_view trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

std::size_t take_header(char* bytes, std::size_t size, std::size_t count, void* user) {
  auto& state = *static_cast<exchange*>(user);
  const std::string_view line(bytes, size * count);
  if (line.substr(0, 5) == "HTTP/") {
    // A new status line starts a new header block, after an interim response.
    state.response.headers.clear();
    return line.size();
  }
  const auto colon = line.find(':');
  if (colon != std::string_view::npos && state.response.headers.size() < max_response_headers) {
    state.response.headers.push_back(
        {std::string(trim(line.substr(0, colon))), std::string(trim(line.substr(colon + 1)))});
  }
  return line.size();
}

void append_line(header_list& list, const std::string& line) {
  curl_slist* longer = curl_slist_append(list.get(), line.c_str());
  assert(longer != nullptr && "out of memory");
  static_cast<void>(list.release());
  list.reset(longer);
}

// A field without a value needs a semicolon, or libcurl would leave it out.
std::string header_line(const std::string& name, const std::string& value) {
  std::string line = name;
  line += value.empty() ? ";" : ": ";
  line += value;
  return line;
}

bool is_content_type(const std::string& name) {
  return strcasecmp(name.c_str(), "content-type") == 0;
}

header_list make_header_list(const std::vector<wire::header_field>& fields) {
  header_list list;
  bool has_content_type = false;
  for (const auto& [name, value] : fields) {
    has_content_type = has_content_type || is_content_type(name);
    append_line(list, header_line(name, value));
  }
  // A field name with nothing behind it keeps libcurl from adding a field of its own.
  append_line(list, "Expect:");
  if (!has_content_type) {
    append_line(list, "Content-Type:");
  }
  return list;
}

backend_end end_of(CURLcode code, const exchange& state) {
  if (state.too_large) {
    return backend_end::too_large;
  }
  switch (code) {
  case CURLE_OK:
    return backend_end::answered;
  case CURLE_COULDNT_CONNECT:
  case CURLE_COULDNT_RESOLVE_HOST:
  case CURLE_UNSUPPORTED_PROTOCOL:
  case CURLE_URL_MALFORMAT:
    return backend_end::not_sent;
  case CURLE_OPERATION_TIMEDOUT:
    return backend_end::timed_out;
  default:
    return backend_end::broken;
  }
}

// Sets the options that are the same for all exchanges of a handle's life.
void configure_once(CURL* handle) {
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &take_body);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &take_header);
}

void configure_method(CURL* handle, const backend_request& request) {
  // Takes the handle back from whatever method it had before.
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, nullptr);
  curl_easy_setopt(handle, CURLOPT_HTTPGET, 1L);
  if (request.method == "GET" && request.body.empty()) {
    return;
  }
  if (request.method == "HEAD") {
    curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    return;
  }
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT" ||
      request.method == "PATCH") {
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
  }
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void configure(exchange& state) {
  CURL* handle = state.handle.get();
  const auto& request = state.request;
  curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(handle, CURLOPT_PRIVATE, &state);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(std::max<std::int64_t>(1, request.timeout.count())));
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &state);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &state);
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, state.headers.get());
  curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, request.repeatable ? 0L : 1L);
  configure_method(handle, request);
}

} // namespace

struct backend_client::implementation {
  // A socket of libcurl's that this class waits on. libcurl keeps the ownership.
  struct watched_socket {
    explicit watched_socket(asio::io_context& context, curl_socket_t native)
        : descriptor(context, native) {}
    ~watched_socket() {
      if (descriptor.is_open()) {
        static_cast<void>(descriptor.release());
      }
    }
    watched_socket(const watched_socket&) = delete;
    watched_socket& operator=(const watched_socket&) = delete;
    asio::posix::stream_descriptor descriptor;
    int wanted = 0;
    bool reading = false;
    bool writing = false;
  };

  implementation(asio::io_context& context, std::size_t max_connections, std::size_t max_body_bytes)
      : context_(context), timer_(context), max_body_bytes_(max_body_bytes),
        multi_(curl_multi_init()) {
    assert(multi_ && "libcurl cannot start");
    curl_multi_setopt(multi_.get(), CURLMOPT_SOCKETFUNCTION, &implementation::on_socket);
    curl_multi_setopt(multi_.get(), CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_.get(), CURLMOPT_TIMERFUNCTION, &implementation::on_timer);
    curl_multi_setopt(multi_.get(), CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS, static_cast<long>(max_connections));
    curl_multi_setopt(multi_.get(), CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(max_connections));
  }

  ~implementation() {
    for (auto& [id, state] : exchanges_) {
      curl_multi_remove_handle(multi_.get(), state->handle.get());
    }
    exchanges_.clear();
    multi_.reset();
  }

  implementation(const implementation&) = delete;
  implementation& operator=(const implementation&) = delete;

  static int on_socket(CURL* /*easy*/, curl_socket_t native, int what, void* user,
                       void* /*socket_data*/) {
    static_cast<implementation*>(user)->watch(native, what);
    return 0;
  }

  static int on_timer(CURLM* /*multi*/, long timeout_ms, void* user) {
    static_cast<implementation*>(user)->arm_timer(timeout_ms);
    return 0;
  }

  static int on_close(void* user, curl_socket_t native) {
    static_cast<implementation*>(user)->forget_socket(native);
    return ::close(native);
  }

  // Takes a socket out of the event loop before it is closed. A handler that runs may still hold
  // the object, and the next socket may get the same number at once.
  void forget_socket(curl_socket_t native) {
    if (const auto found = sockets_.find(native); found != sockets_.end()) {
      found->second->wanted = 0;
      static_cast<void>(found->second->descriptor.release());
      sockets_.erase(found);
    }
  }

  void watch(curl_socket_t native, int what) {
    if (what == CURL_POLL_REMOVE) {
      // The connection usually goes on to the next exchange, so that its socket stays registered
      // until libcurl closes it.
      if (const auto found = sockets_.find(native); found != sockets_.end()) {
        found->second->wanted = 0;
      }
      return;
    }
    auto& socket = sockets_[native];
    if (!socket) {
      socket = std::make_shared<watched_socket>(context_, native);
    }
    socket->wanted = what;
    wait(native, socket);
  }

  void wait(curl_socket_t native, const std::shared_ptr<watched_socket>& socket) {
    if ((socket->wanted & CURL_POLL_IN) != 0 && !socket->reading) {
      socket->reading = true;
      wait_for(native, socket, asio::posix::descriptor_base::wait_read, CURL_CSELECT_IN);
    }
    if ((socket->wanted & CURL_POLL_OUT) != 0 && !socket->writing) {
      socket->writing = true;
      wait_for(native, socket, asio::posix::descriptor_base::wait_write, CURL_CSELECT_OUT);
    }
  }

  void wait_for(curl_socket_t native, const std::shared_ptr<watched_socket>& socket,
                asio::posix::descriptor_base::wait_type kind, int event) {
    const std::weak_ptr<watched_socket> weak = socket;
    socket->descriptor.async_wait(kind, [this, native, weak, event](asio::error_code error) {
      const auto self = weak.lock();
      if (!self || error == asio::error::operation_aborted) {
        return;
      }
      (event == CURL_CSELECT_IN ? self->reading : self->writing) = false;
      if (self->wanted == 0) {
        return;
      }
      act(native, event);
      // Only the socket that is still watched under this number may wait again: libcurl may have
      // closed it and opened another with the same number.
      if (const auto found = sockets_.find(native);
          found != sockets_.end() && found->second == self) {
        wait(native, self);
      }
    });
  }

  // Follows libcurl's timer lazily: it moves with every exchange, and a timer that fires too early
  // does no harm, so that only an earlier moment is worth a system call.
  void arm_timer(long timeout_ms) {
    if (timeout_ms < 0) {
      wanted_expiry_.reset();
      return;
    }
    if (timeout_ms == 0) {
      act_soon();
      return;
    }
    const auto expiry = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
    wanted_expiry_ = expiry;
    if (!armed_expiry_ || expiry < *armed_expiry_) {
      start_timer(expiry);
    }
  }

  void start_timer(std::chrono::steady_clock::time_point expiry) {
    armed_expiry_ = expiry;
    timer_.expires_at(expiry);
    timer_.async_wait([this](asio::error_code error) {
      if (error) {
        return;
      }
      armed_expiry_.reset();
      if (!wanted_expiry_) {
        return;
      }
      if (*wanted_expiry_ > std::chrono::steady_clock::now()) {
        start_timer(*wanted_expiry_);
        return;
      }
      wanted_expiry_.reset();
      act(CURL_SOCKET_TIMEOUT, 0);
    });
  }

  void act_soon() {
    if (acting_soon_) {
      return;
    }
    acting_soon_ = true;
    asio::post(context_, [this, alive = std::weak_ptr<bool>(alive_)] {
      if (alive.expired()) {
        return;
      }
      acting_soon_ = false;
      act(CURL_SOCKET_TIMEOUT, 0);
    });
  }

  void act(curl_socket_t native, int event) {
    int running = 0;
    curl_multi_socket_action(multi_.get(), native, event, &running);
    collect_finished();
  }

  void collect_finished() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_.get(), &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      char* user = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &user);
      const auto result = message->data.result;
      auto& state = *reinterpret_cast<exchange*>(user);
      finish(state, end_of(result, state));
    }
  }

  void finish(exchange& state, backend_end end) {
    const auto found = exchanges_.find(state.id);
    assert(found != exchanges_.end() && "an exchange finishes once");
    const auto owned = std::move(found->second);
    exchanges_.erase(found);
    long status = 0;
    curl_easy_getinfo(owned->handle.get(), CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(multi_.get(), owned->handle.get());
    owned->response.end = end;
    owned->response.status = static_cast<std::uint16_t>(status);
    recycle(std::move(owned->handle));
    owned->done(std::move(owned->response));
  }

  void recycle(easy_handle handle) {
    if (idle_handles_.size() < max_idle_handles) {
      idle_handles_.push_back(std::move(handle));
    }
  }

  easy_handle take_handle() {
    if (idle_handles_.empty()) {
      easy_handle fresh(curl_easy_init());
      assert(fresh && "out of memory");
      configure_once(fresh.get());
      curl_easy_setopt(fresh.get(), CURLOPT_CLOSESOCKETFUNCTION, &implementation::on_close);
      curl_easy_setopt(fresh.get(), CURLOPT_CLOSESOCKETDATA, this);
      return fresh;
    }
    auto handle = std::move(idle_handles_.back());
    idle_handles_.pop_back();
    return handle;
  }

  std::uint64_t send(backend_request request, backend_callback done) {
    auto state = std::make_unique<exchange>();
    state->id = ++last_id_;
    state->handle = take_handle();
    state->request = std::move(request);
    state->headers = make_header_list(state->request.headers);
    state->done = std::move(done);
    state->max_body_bytes = max_body_bytes_;
    configure(*state);
    CURL* handle = state->handle.get();
    const std::uint64_t id = state->id;
    exchanges_.emplace(id, std::move(state));
    // Adding a handle asks for a timeout of zero, so that the work starts from the event loop.
    curl_multi_add_handle(multi_.get(), handle);
    return id;
  }

  void cancel(std::uint64_t id) {
    if (const auto found = exchanges_.find(id); found != exchanges_.end()) {
      finish(*found->second, backend_end::cancelled);
    }
  }

  asio::io_context& context_;
  asio::steady_timer timer_;
  std::size_t max_body_bytes_;
  std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> sockets_;
  std::unordered_map<std::uint64_t, std::unique_ptr<exchange>> exchanges_;
  std::vector<easy_handle> idle_handles_;
  std::uint64_t last_id_ = 0;
  std::optional<std::chrono::steady_clock::time_point> wanted_expiry_;
  std::optional<std::chrono::steady_clock::time_point> armed_expiry_;
  bool acting_soon_ = false;
  // Ends with this object; work that was posted for it looks here first.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  multi_handle multi_;
};

backend_client::backend_client(asio::io_context& context, std::size_t max_connections,
                               std::size_t max_body_bytes)
    : implementation_(std::make_unique<implementation>(context, max_connections, max_body_bytes)) {}

backend_client::~backend_client() = default;

std::uint64_t backend_client::send(backend_request request, backend_callback done) {
  return implementation_->send(std::move(request), std::move(done));
}

void backend_client::cancel(std::uint64_t exchange) {
  implementation_->cancel(exchange);
}

} // namespace acaciasill::net
