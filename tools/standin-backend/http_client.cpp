#include "http_client.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>

#include <curl/curl.h>

namespace acaciasill::standin {
namespace {

constexpr int poll_timeout_ms = 1000;
constexpr long max_idle_connections = 2000;

struct list_deleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

struct easy_deleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};

struct multi_deleter {
  void operator()(CURLM* handle) const { curl_multi_cleanup(handle); }
};

using easy_handle = std::unique_ptr<CURL, easy_deleter>;

// One request in flight.
struct transfer {
  std::uint64_t ticket = 0;
  client_request request;
  http_client::on_reply callback;
  client_reply reply;
  easy_handle handle;
  std::unique_ptr<curl_slist, list_deleter> headers;
};

std::size_t store_body(char* data, std::size_t size, std::size_t count, void* target) {
  static_cast<transfer*>(target)->reply.body.append(data, size * count);
  return size * count;
}

void add_header(transfer& target, const std::string& line) {
  // curl_slist_append returns a new head only for the first line.
  auto* grown = curl_slist_append(target.headers.get(), line.c_str());
  if (grown != target.headers.get()) {
    (void)target.headers.release();
    target.headers.reset(grown);
  }
}

void prepare(transfer& target) {
  CURL* handle = target.handle.get();
  for (const auto& line : target.request.headers) {
    add_header(target, line);
  }
  add_header(target, "Expect:");
  curl_easy_setopt(handle, CURLOPT_URL, target.request.url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(target.request.timeout.count()));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &store_body);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &target);
  curl_easy_setopt(handle, CURLOPT_PRIVATE, &target);
  if (target.request.method != "GET") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, target.request.body.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(target.request.body.size()));
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, target.request.method.c_str());
  }
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, target.headers.get());
}

} // namespace

class http_client::implementation {
public:
  implementation() : multi_(curl_multi_init()) {
    curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS, max_idle_connections);
    thread_ = std::thread([this] { run(); });
  }
  implementation(const implementation&) = delete;
  implementation& operator=(const implementation&) = delete;

  ~implementation() {
    stopping_ = true;
    curl_multi_wakeup(multi_.get());
    thread_.join();
    for (auto& [ticket, active] : active_) {
      curl_multi_remove_handle(multi_.get(), active->handle.get());
    }
  }

  std::uint64_t submit(client_request request, on_reply callback) {
    auto started = std::make_unique<transfer>();
    started->ticket = next_ticket_.fetch_add(1);
    started->request = std::move(request);
    started->callback = std::move(callback);
    const auto ticket = started->ticket;
    {
      const std::lock_guard lock(mutex_);
      submitted_.push_back(std::move(started));
    }
    curl_multi_wakeup(multi_.get());
    return ticket;
  }

  void cancel(std::uint64_t ticket) {
    {
      const std::lock_guard lock(mutex_);
      cancelled_.push_back(ticket);
    }
    curl_multi_wakeup(multi_.get());
  }

private:
  void run() {
    while (!stopping_) {
      apply_pending();
      int running = 0;
      curl_multi_perform(multi_.get(), &running);
      finish_transfers();
      curl_multi_poll(multi_.get(), nullptr, 0, poll_timeout_ms, nullptr);
    }
  }

  void apply_pending() {
    std::vector<std::unique_ptr<transfer>> submitted;
    std::vector<std::uint64_t> cancelled;
    {
      const std::lock_guard lock(mutex_);
      submitted.swap(submitted_);
      cancelled.swap(cancelled_);
    }
    for (auto& started : submitted) {
      start(std::move(started));
    }
    for (const auto ticket : cancelled) {
      abort_transfer(ticket);
    }
  }

  void start(std::unique_ptr<transfer> started) {
    if (idle_.empty()) {
      started->handle.reset(curl_easy_init());
    }
    if (!idle_.empty()) {
      started->handle = std::move(idle_.back());
      idle_.pop_back();
      curl_easy_reset(started->handle.get());
    }
    prepare(*started);
    curl_multi_add_handle(multi_.get(), started->handle.get());
    active_.emplace(started->ticket, std::move(started));
  }

  void abort_transfer(std::uint64_t ticket) {
    if (const auto found = active_.find(ticket); found != active_.end()) {
      curl_multi_remove_handle(multi_.get(), found->second->handle.get());
      active_.erase(found);
    }
  }

  void finish_transfers() {
    int messages_left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_.get(), &messages_left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const bool succeeded = message->data.result == CURLE_OK;
      transfer* target = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &target);
      curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &target->reply.status);
      curl_multi_remove_handle(multi_.get(), message->easy_handle);
      finish(target->ticket, succeeded);
    }
  }

  void finish(std::uint64_t ticket, bool succeeded) {
    const auto found = active_.find(ticket);
    const auto done = std::move(found->second);
    active_.erase(found);
    if (!succeeded) {
      done->reply.status = 0;
    }
    idle_.push_back(std::move(done->handle));
    done->callback(std::move(done->reply));
  }

  std::unique_ptr<CURLM, multi_deleter> multi_;
  std::thread thread_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> next_ticket_{1};
  std::mutex mutex_;
  std::vector<std::unique_ptr<transfer>> submitted_;
  std::vector<std::uint64_t> cancelled_;
  // The members below are accessed on the client's thread only.
  std::unordered_map<std::uint64_t, std::unique_ptr<transfer>> active_;
  std::vector<easy_handle> idle_;
};

http_client::http_client() : implementation_(std::make_unique<implementation>()) {}

http_client::~http_client() = default;

std::uint64_t http_client::submit(client_request request, on_reply callback) {
  return implementation_->submit(std::move(request), std::move(callback));
}

void http_client::cancel(std::uint64_t ticket) {
  implementation_->cancel(ticket);
}

} // namespace acaciasill::standin
