#include "acaciasill/net/peer_pool.h"

#include <thread>

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "net/peer_fixture.h"

namespace {

using namespace acaciasill;
using namespace acaciasill::tests;
using wire::outcome;

// I/O contexts and the threads that run them.
struct io_threads {
  std::vector<std::unique_ptr<asio::io_context>> contexts;
  std::vector<asio::executor_work_guard<asio::io_context::executor_type>> guards;
  std::vector<std::thread> threads;

  explicit io_threads(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      contexts.push_back(std::make_unique<asio::io_context>());
      guards.push_back(asio::make_work_guard(*contexts.back()));
    }
  }
  ~io_threads() { join(); }

  std::vector<asio::io_context*> pointers() const {
    std::vector<asio::io_context*> list;
    for (const auto& context : contexts) {
      list.push_back(context.get());
    }
    return list;
  }
  void start(std::size_t threads_per_context) {
    for (const auto& context : contexts) {
      for (std::size_t index = 0; index < threads_per_context; ++index) {
        threads.emplace_back([&context] { context->run(); });
      }
    }
  }
  void join() {
    guards.clear();
    for (const auto& context : contexts) {
      context->stop();
    }
    for (auto& thread : threads) {
      thread.join();
    }
    threads.clear();
  }
};

bool wait_until(const std::function<bool()>& condition) {
  const auto end = support::monotonic_now() + wait_timeout;
  while (!condition() && support::monotonic_now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return condition();
}

void check_echo(std::size_t contexts, std::size_t threads_per_context) {
  io_threads threads(contexts);
  const auto listener =
      net::peer_listener::listen(threads.pointers(), loopback(), keyed_settings(), echo_handlers())
          .value();
  net::peer_pool pool(threads.pointers(), keyed_settings());
  threads.start(threads_per_context);
  constexpr std::uint64_t count = 2000;
  std::atomic<std::uint64_t> right{0};
  std::atomic<std::uint64_t> wrong{0};
  for (std::uint64_t id = 0; id < count; ++id) {
    const std::string body = std::to_string(id);
    pool.send_call(listener->address(), request_with(id, body), far_deadline(),
                   [&right, &wrong, body](const wire::call_reply& reply) {
                     ++(reply.body == body ? right : wrong);
                   });
  }
  CHECK(wait_until([&] { return right + wrong == count; }));
  CHECK(right == count);
  CHECK(pool.in_flight() == 0);
  pool.stop();
  threads.join();
}

} // namespace

TEST_CASE("every call through a pool receives its own reply", "[net]") {
  SECTION("one context, one thread") {
    check_echo(1, 1);
  }
  SECTION("one context, several threads") {
    check_echo(1, 3);
  }
  SECTION("a context for each thread") {
    check_echo(3, 1);
  }
}

TEST_CASE("a pool limits its links and evicts idle ones", "[net]") {
  asio::io_context context;
  auto settings = keyed_settings();
  settings.max_links = 1;
  call_recorder recorder;
  const auto one =
      net::peer_listener::listen({&context}, loopback(), settings, recorder.handlers()).value();
  const auto other =
      net::peer_listener::listen({&context}, loopback(), settings, echo_handlers()).value();
  net::peer_pool pool({&context}, settings);
  reply_recorder replies;
  const auto has_replies = [&](std::size_t count) {
    return run_until(context, [&] { return replies.replies.size() >= count; });
  };
  pool.send_call(one->address(), request_with(1), far_deadline(), replies.callback());
  pool.send_call(other->address(), request_with(2), far_deadline(), replies.callback());
  REQUIRE(has_replies(1));
  CHECK(replies.replies[0].outcome == outcome::not_run);
  CHECK(replies.replies[0].code == support::result_code::peer_backlog);
  REQUIRE(run_until(context, [&] { return !recorder.calls.empty(); }));
  recorder.calls[0].respond({});
  REQUIRE(has_replies(2));
  pool.send_call(other->address(), request_with(3), far_deadline(), replies.callback());
  REQUIRE(has_replies(3));
  CHECK(replies.replies[2].outcome == outcome::completed);
  CHECK(pool.size() == 1);
}

TEST_CASE("a call is cancelled by its handle", "[net]") {
  asio::io_context context;
  call_recorder recorder;
  const auto listener =
      net::peer_listener::listen({&context}, loopback(), keyed_settings(), recorder.handlers())
          .value();
  net::peer_pool pool({&context}, keyed_settings());
  reply_recorder replies;
  const auto handle =
      pool.send_call(listener->address(), request_with(1), far_deadline(), replies.callback());
  REQUIRE(run_until(context, [&] { return !recorder.calls.empty(); }));
  net::peer_pool::cancel(handle);
  REQUIRE(run_until(context, [&] { return !recorder.cancelled.empty(); }));
  CHECK(recorder.cancelled[0] == recorder.calls[0].key);
}

TEST_CASE("calls in flight to a removed peer run to completion", "[net]") {
  asio::io_context context;
  call_recorder recorder;
  const auto listener =
      net::peer_listener::listen({&context}, loopback(), keyed_settings(), recorder.handlers())
          .value();
  net::peer_pool pool({&context}, keyed_settings());
  reply_recorder replies;
  pool.send_call(listener->address(), request_with(1), far_deadline(), replies.callback());
  REQUIRE(run_until(context, [&] { return !recorder.calls.empty(); }));
  pool.remove_peer(listener->address());
  CHECK(pool.size() == 0);
  wire::call_reply reply;
  reply.outcome = outcome::completed;
  recorder.calls[0].respond(reply);
  REQUIRE(run_until(context, [&] { return !replies.replies.empty(); }));
  CHECK(replies.replies[0].outcome == outcome::completed);
}
