#include "acaciasill/net/load_run.h"

#include <array>
#include <string>
#include <thread>

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "acaciasill/net/load_answer.h"
#include "acaciasill/support/hash.h"

using namespace acaciasill;
using namespace acaciasill::net;
using support::milliseconds;

namespace {

std::string response_text(const std::string& status, const std::string& headers,
                          const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string header_value(const std::string& request, const std::string& name) {
  const auto begin = request.find(name + ": ");
  if (begin == std::string::npos) {
    return {};
  }
  const auto from = begin + name.size() + 2;
  return request.substr(from, request.find("\r\n", from) - from);
}

// Serves one connection, one request at a time. A function maps each request to a raw response.
class test_server {
public:
  using handler_function = std::function<std::string(const std::string&)>;

  explicit test_server(handler_function handler)
      : acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}), handler_(std::move(handler)),
        thread_([this] { serve(); }) {}
  test_server(const test_server&) = delete;
  test_server& operator=(const test_server&) = delete;
  ~test_server() { thread_.join(); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

private:
  void serve() {
    asio::error_code error;
    auto socket = acceptor_.accept(error);
    asio::streambuf buffer;
    while (!error) {
      const auto size = asio::read_until(socket, buffer, "\r\n\r\n", error);
      if (error) {
        return;
      }
      const auto* data = static_cast<const char*>(buffer.data().data());
      const auto response = handler_(std::string(data, size));
      buffer.consume(size);
      asio::write(socket, asio::buffer(response), error);
    }
  }

  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  handler_function handler_;
  std::thread thread_;
};

// Plan of a few calls on one connection, so that the test server sees all of them in order.
load_plan small_plan(const std::string& target) {
  load_plan plan;
  plan.targets = {target};
  plan.threads = 1;
  plan.connections = 1;
  plan.spacing = arrival_spacing::uniform;
  plan.classes.resize(1);
  plan.classes[0].name = "calls";
  plan.classes[0].rate = 100.0;
  plan.classes[0].deadline = milliseconds(2000);
  plan.phases = {{"only", milliseconds(100), {}}};
  return plan;
}

} // namespace

TEST_CASE("an answer that belongs to another call is counted as foreign") {
  test_server server([](const std::string&) {
    return response_text("200 OK", "", format_answer({"another", "back", 0}, 10));
  });
  const auto results = run_load(small_plan(server.address()));
  const auto& tally = results.tally(0, 0);
  CHECK(tally.offered == 9);
  CHECK(results.foreign_answers == tally.attempts);
  CHECK(tally.count(call_result::useful) == 0);
  CHECK(tally.count(call_result::failed) == 9);
}

TEST_CASE("complete answers count as useful and refusals by outcome and code") {
  int calls = 0;
  test_server server([&calls](const std::string& request) {
    if (++calls % 3 == 0) {
      return response_text("503 x", "x-outcome: not-run\r\nx-result-code: ACS-2011\r\n", "{}");
    }
    const load_answer answer{header_value(request, "x-request-id"), "back", support::hash64("")};
    return response_text("200 OK", "", format_answer(answer, 10));
  });
  const auto results = run_load(small_plan(server.address()));
  const auto& tally = results.tally(0, 0);
  CHECK(tally.count(call_result::useful) == 6);
  CHECK(tally.count(call_result::not_run) == 3);
  REQUIRE(tally.refusals.count("ACS-2011") == 1);
  CHECK(tally.refusals.at("ACS-2011") == 3);
  CHECK(results.foreign_answers == 0);
}

TEST_CASE("a retry reuses the request id until the call completes") {
  std::string first_id;
  std::uint64_t attempts = 0;
  bool same_id = true;
  test_server server([&](const std::string& request) {
    const auto id = header_value(request, "x-request-id");
    if (++attempts % 3 == 1) {
      first_id = id;
    }
    same_id = same_id && id == first_id;
    if (attempts % 3 != 0) {
      return response_text("503 x", "x-outcome: not-run\r\n", "");
    }
    return response_text("200 OK", "", format_answer({id, "back", support::hash64("")}, 0));
  });
  auto plan = small_plan(server.address());
  plan.classes[0].rate = 0.0;
  plan.classes[0].clients = 1;
  plan.classes[0].think_time = milliseconds(5);
  plan.classes[0].retries = 5;
  const auto results = run_load(plan);
  const auto& tally = results.tally(0, 0);
  CHECK(tally.offered > 0);
  CHECK(tally.count(call_result::useful) == tally.offered);
  CHECK(tally.attempts == 3 * tally.offered);
  CHECK(same_id);
}

TEST_CASE("a call past its deadline closes the connection and counts as a timeout") {
  test_server server([](const std::string&) { return std::string("HTTP/1.1 200 OK\r\n"); });
  auto plan = small_plan(server.address());
  plan.classes[0].deadline = milliseconds(20);
  const auto results = run_load(plan);
  const auto& tally = results.tally(0, 0);
  CHECK(tally.offered == 9);
  CHECK(tally.count(call_result::useful) == 0);
  CHECK(tally.count(call_result::timeout) + tally.count(call_result::broken) == 9);
  CHECK(tally.count(call_result::timeout) > 0);
}
