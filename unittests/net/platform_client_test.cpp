#include "acaciasill/net/platform_client.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "acaciasill/net/http_server.h"
#include "acaciasill/net/platform_protocol.h"
#include "acaciasill/support/hash.h"

using namespace acaciasill::control;
using namespace acaciasill::net;
using acaciasill::support::milliseconds;
using acaciasill::support::sha256_hex;

namespace {

// A platform that sends scripted responses; status 0 sends no response.
class scripted_platform {
public:
  explicit scripted_platform(std::deque<http_response> script)
      : script_(std::move(script)), guard_(asio::make_work_guard(context_)),
        server_(context_, {},
                {[this](http_request request, http_responder respond) {
                   answer(std::move(request), std::move(respond));
                 },
                 [](std::uint64_t) {}}) {
    thread_ = std::thread([this] { context_.run(); });
    REQUIRE(server_.open().ok());
  }

  ~scripted_platform() {
    server_.close();
    context_.stop();
    thread_.join();
  }

  std::string url() const { return "http://127.0.0.1:" + std::to_string(server_.port()); }

  std::size_t requests() {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

private:
  void answer(http_request /*request*/, http_responder respond) {
    const std::lock_guard lock(mutex_);
    ++requests_;
    if (script_.empty()) {
      return respond({500, {}, ""});
    }
    const auto next = script_.front();
    script_.pop_front();
    if (next.status != 0) {
      respond(next);
    }
  }

  std::mutex mutex_;
  std::deque<http_response> script_;
  std::size_t requests_ = 0;
  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  http_server server_;
  std::thread thread_;
};

// Sends one request at a time and waits for its answer.
class blocking_client {
public:
  explicit blocking_client(platform_client_settings settings)
      : client_(std::move(settings), [this](platform_answer answer) {
          const std::lock_guard lock(mutex_);
          answers_.push_back(std::move(answer));
          arrived_.notify_one();
        }) {}

  platform_answer send_and_wait(platform_operation operation,
                                milliseconds timeout = milliseconds(5000)) {
    client_.send({++ticket_, std::move(operation), timeout});
    std::unique_lock lock(mutex_);
    arrived_.wait(lock, [this] { return !answers_.empty(); });
    auto answer = std::move(answers_.front());
    answers_.pop_front();
    CHECK(answer.ticket == ticket_);
    return answer;
  }

private:
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::deque<platform_answer> answers_;
  std::uint64_t ticket_ = 0;
  platform_client client_;
};

platform_client_settings settings_for(const std::string& url) {
  platform_client_settings settings;
  settings.url = url;
  settings.attempt_timeout = milliseconds(800);
  settings.min_backoff = milliseconds(1);
  settings.max_backoff = milliseconds(5);
  settings.seed = 1;
  return settings;
}

http_response response_with_tag(const std::string& tag, const std::string& body = "") {
  return {200, {{"ETag", tag}}, body};
}

} // namespace

TEST_CASE("a read is retried after failed, lost and invalid responses") {
  scripted_platform platform(
      {{503, {}, ""}, {0, {}, ""}, response_with_tag("wrong"), response_with_tag("\"3\"", "v")});
  blocking_client client(settings_for(platform.url()));
  CHECK(client.send_and_wait(read_row{"k"}) ==
        platform_answer{1, platform_end::done, {{"k", "v", 3}}, ""});
  CHECK(platform.requests() == 4);
}

TEST_CASE("a row write whose response is lost is not retried") {
  scripted_platform platform({{0, {}, ""}, response_with_tag("\"1\"")});
  blocking_client client(settings_for(platform.url()));
  CHECK(client.send_and_wait(write_rows{{{"k", "v", 0}}}, milliseconds(800)).end ==
        platform_end::unknown);
  CHECK(platform.requests() == 1);
}

TEST_CASE("the response status determines the end of a row write") {
  scripted_platform platform(
      {response_with_tag("\"1\""), {412, {}, ""}, {503, {}, ""}, {400, {}, ""}});
  blocking_client client(settings_for(platform.url()));
  const write_rows write{{{"k", "v", 0}}};
  CHECK(client.send_and_wait(write).end == platform_end::done);
  CHECK(client.send_and_wait(write).end == platform_end::refused);
  CHECK(client.send_and_wait(write).end == platform_end::unknown);
  CHECK(client.send_and_wait(write).end == platform_end::failed_before);
  CHECK(platform.requests() == 4);
}

TEST_CASE("the read of a corrupt object is retried") {
  scripted_platform platform({{200, {}, "abd"}, {200, {}, "abc"}});
  blocking_client client(settings_for(platform.url()));
  CHECK(client.send_and_wait(read_object{sha256_hex("abc")}).bytes == "abc");
}

TEST_CASE("an object write whose responses are lost ends as unknown") {
  scripted_platform platform({{0, {}, ""}, {0, {}, ""}, {0, {}, ""}});
  blocking_client client(settings_for(platform.url()));
  CHECK(client.send_and_wait(write_object{sha256_hex("abc"), "abc"}, milliseconds(800)).end ==
        platform_end::unknown);
}

TEST_CASE("a request to an unreachable platform ends as failed_before") {
  std::string url;
  {
    scripted_platform stopped({});
    url = stopped.url();
  }
  blocking_client client(settings_for(url));
  CHECK(client.send_and_wait(write_rows{{{"k", "v", 0}}}, milliseconds(100)).end ==
        platform_end::failed_before);
  CHECK(client.send_and_wait(read_row{"k"}, milliseconds(100)).end == platform_end::failed_before);
}

TEST_CASE("an open circuit breaker sends no requests") {
  scripted_platform platform({});
  auto settings = settings_for(platform.url());
  settings.breaker = {2, milliseconds(60000), milliseconds(60000)};
  blocking_client client(settings);
  CHECK(client.send_and_wait(read_row{"k"}).end == platform_end::failed_before);
  CHECK(platform.requests() == 2);
  CHECK(client.send_and_wait(read_row{"k"}).end == platform_end::failed_before);
  CHECK(client.send_and_wait(write_rows{{{"k", "v", 0}}}).end == platform_end::failed_before);
  CHECK(platform.requests() == 2);
}

TEST_CASE("an invalid request fails without being sent") {
  scripted_platform platform({});
  blocking_client client(settings_for(platform.url()));
  CHECK(client.send_and_wait(read_row{""}).end == platform_end::failed_before);
  CHECK(platform.requests() == 0);
}
