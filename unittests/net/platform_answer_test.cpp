#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "acaciasill/net/platform_client.h"

#include "net/answering_server.h"

// Faulty answers of the platform's service. The stand-in sends the same bytes for each request.

using namespace acaciasill;
using namespace acaciasill::control;
using namespace acaciasill::net;
using namespace acaciasill::net::testing;

namespace {

// Runs the stand-in on a thread of its own, since the client has one as well.
class running_server {
public:
  running_server(std::string text, after_answer then) : server_(context_) {
    server_.text = std::move(text);
    server_.then = then;
    thread_ = std::thread([this] { context_.run(); });
  }
  running_server(const running_server&) = delete;
  running_server& operator=(const running_server&) = delete;
  ~running_server() {
    context_.stop();
    thread_.join();
  }

  std::string url() const { return "http://127.0.0.1:" + std::to_string(server_.address().port()); }

private:
  asio::io_context context_;
  answering_server server_;
  std::thread thread_;
};

// Sends one operation and waits for its answer. An operation that is not sent before its deadline
// has certainly had no effect.
platform_answer send_and_wait(const running_server& server, platform_operation operation,
                              support::milliseconds deadline = support::milliseconds(2000)) {
  std::mutex mutex;
  std::condition_variable arrived;
  std::optional<platform_answer> answer;
  platform_client_settings settings;
  settings.url = server.url();
  settings.attempt_timeout = support::milliseconds(2000);
  settings.min_backoff = support::milliseconds(1);
  settings.max_backoff = support::milliseconds(5);
  settings.seed = 1;
  platform_client client(settings, [&](platform_answer result) {
    const std::lock_guard lock(mutex);
    answer = std::move(result);
    arrived.notify_one();
  });
  client.send({1, std::move(operation), deadline});
  std::unique_lock lock(mutex);
  arrived.wait(lock, [&answer] { return answer.has_value(); });
  return *answer;
}

} // namespace

TEST_CASE("a read is not answered by a response whose head is malformed") {
  const std::string tag = "ETag: \"3\"\r\n";
  const auto text = GENERATE_COPY(values<std::string>({
      "HTTP/1.1 000 X\r\n" + tag + "Content-Length: 1\r\n\r\nv",
      "HTTP/1.1 600 X\r\n" + tag + "Content-Length: 1\r\n\r\nv",
      "HTTP/1.1 200 OK\r\n" + tag + "X A: v\r\nContent-Length: 1\r\n\r\nv",
      "HTTP/1.1 200 OK\r\n" + tag + "Content-Length : 1\r\n\r\nv",
      "HTTP/1.1 200 OK\r\n" + tag + "A\x01: v\r\nContent-Length: 1\r\n\r\nv",
  }));
  INFO(text);
  const running_server server(text, after_answer::close);
  CHECK(send_and_wait(server, read_row{"k"}).end != platform_end::done);
}

TEST_CASE("a read is not answered by a response whose head exceeds its limit") {
  std::string text = "HTTP/1.1 200 OK\r\nETag: \"3\"\r\n";
  while (text.size() < std::size_t{4} << 20U) {
    text += "A: v\r\n";
  }
  const running_server server(text + "Content-Length: 1\r\n\r\nv", after_answer::close);
  CHECK(send_and_wait(server, read_row{"k"}).end != platform_end::done);
}

// Below what libcurl accepts.
TEST_CASE("a read is not answered by a response whose head has too many bytes to keep") {
  const auto line = GENERATE(values<std::string>({"A: v\r\n", " continued\r\n"}));
  std::string text = "HTTP/1.1 200 OK\r\nETag: \"3\"\r\nB: v\r\n";
  while (text.size() < 200'000) {
    text += line;
  }
  const running_server server(text + "Content-Length: 1\r\n\r\nv", after_answer::close);
  CHECK(send_and_wait(server, read_row{"k"}).end != platform_end::done);
}

TEST_CASE("a value in several lines is joined") {
  const running_server server("HTTP/1.1 200 OK\r\nA: v\r\n w: x\r\nETag:\r\n \"3\"\r\n"
                              "Content-Length: 1\r\n\r\nv",
                              after_answer::close);
  CHECK(send_and_wait(server, read_row{"k"}) ==
        platform_answer{1, platform_end::done, {{"k", "v", 3}}, ""});
}

TEST_CASE("the fields of an interim response are not those of the final one") {
  const running_server server("HTTP/1.1 103 Early Hints\r\nETag: \"7\"\r\n\r\n"
                              "HTTP/1.1 200 OK\r\nETag: \"3\"\r\nContent-Length: 1\r\n\r\nv",
                              after_answer::close);
  CHECK(send_and_wait(server, read_row{"k"}) ==
        platform_answer{1, platform_end::done, {{"k", "v", 3}}, ""});
}

TEST_CASE("a write is not confirmed by an answer that is reset during the upload") {
  const running_server server("HTTP/1.1 200 OK\r\nETag: \"1\"\r\n\r\n", after_answer::reset);
  const std::string large(12'000'000, 'u');
  // A busy machine with sanitizers takes seconds to encode the body.
  constexpr support::seconds deadline{60};
  CHECK(send_and_wait(server, write_rows{{{"k", large, 0}}}, deadline).end ==
        platform_end::unknown);
}
