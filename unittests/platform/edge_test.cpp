#include "edge.h"

#include <cmath>

#include <catch2/catch.hpp>

#include "acaciasill/daemon/request_thread.h"
#include "acaciasill/model/snapshot.h"

#include "configuration_row.h"

using namespace acaciasill;
using net::exchange_end;
using support::result_code;
using wire::outcome;

namespace {

const daemon::edge_protocol protocol = platform::make_edge_protocol({"pricing"});

wire::call_reply interpret(std::uint16_t status, std::vector<wire::header_field> headers,
                           bool idempotent = true) {
  wire::call_request call;
  call.idempotent = idempotent;
  return protocol.interpret_response(call,
                                     {exchange_end::answered, status, std::move(headers), "body"});
}

daemon::entry_request request_with_id(const std::string& id) {
  daemon::entry_request request;
  request.call.headers = {{"Request-Id", id}};
  return request;
}

const std::string* field(const net::http_response& response, const std::string& name) {
  for (const auto& [key, value] : response.headers) {
    if (key == name) {
      return &value;
    }
  }
  return nullptr;
}

} // namespace

TEST_CASE("a success without the backend server's signature is unknown") {
  CHECK(interpret(200, {{"Server-Stamp", "s"}}).outcome == outcome::completed);
  CHECK(interpret(200, {}).outcome == outcome::unknown);
  CHECK(interpret(200, {{"Server-Stamp", "s"}, {"Content-Encoding", "gzip"}}).outcome ==
        outcome::unknown);
}

TEST_CASE("not_run needs a refusal by the backend server or an unsent request") {
  CHECK(interpret(503, {{"Not-Run", "1"}}).outcome == outcome::not_run);
  CHECK(interpret(421, {{"Instance-Id", "i-2"}}).outcome == outcome::not_run);
  CHECK(interpret(421, {{"Instance-Id", "i-2"}}).code == result_code::backend_replaced);
  CHECK(interpret(503, {}).outcome == outcome::unknown);
  CHECK(interpret(429, {}, false).outcome == outcome::unknown);
  wire::call_request call;
  for (const auto end : {exchange_end::timed_out, exchange_end::broken, exchange_end::cancelled}) {
    CHECK(protocol.interpret_response(call, {end, 0, {}, ""}).outcome == outcome::unknown);
  }
  CHECK(protocol.interpret_response(call, {exchange_end::not_sent, 0, {}, ""}).outcome ==
        outcome::not_run);
}

TEST_CASE("a signed failure of the backend server is forwarded unchanged") {
  const auto answer = protocol.answer_call(
      request_with_id("1"), interpret(500, {{"Server-Stamp", "s"}, {"Server-Load", "1,0,8"}}));
  CHECK(answer.status == 500);
  CHECK(answer.body == "body");
  REQUIRE(field(answer, "Server-Stamp") != nullptr);
  CHECK(field(answer, "Server-Load") == nullptr);
}

TEST_CASE("the rate that a backend server states is read from its answers") {
  CHECK(interpret(200, {{"Server-Stamp", "s"}, {"Server-Limit", "65.3"}}).stated_rate == 65.3);
  CHECK(interpret(500, {{"Server-Stamp", "s"}, {"Server-Limit", "0"}}).stated_rate == 0.0);
  CHECK(interpret(503, {{"Not-Run", "1"}, {"Server-Limit", "8"}}).stated_rate == 8.0);
  CHECK(std::isinf(*interpret(200, {{"Server-Stamp", "s"}}).stated_rate));
  // An answer that is not the server's, or not a complete one, does not end a limit.
  CHECK_FALSE(interpret(503, {{"Not-Run", "1"}}).stated_rate.has_value());
  CHECK_FALSE(interpret(200, {{"Server-Limit", "8"}}).stated_rate.has_value());
  CHECK_FALSE(interpret(421, {}).stated_rate.has_value());
  for (const auto* invalid : {"", "x", "-1", "nan", "inf", "8x", "1e999"}) {
    const auto reply = interpret(200, {{"Server-Stamp", "s"}, {"Server-Limit", invalid}});
    CHECK_FALSE(reply.stated_rate.has_value());
  }
  wire::call_request call;
  CHECK_FALSE(protocol.interpret_response(call, {exchange_end::broken, 0, {}, ""}).stated_rate);
}

TEST_CASE("a backend server states in its own answers only that it is leaving") {
  CHECK(interpret(200, {{"Server-Stamp", "s"}, {"Server-Leaving", "1"}}).backend_leaving);
  CHECK(interpret(503, {{"Not-Run", "1"}, {"Server-Leaving", "1"}}).backend_leaving);
  CHECK_FALSE(interpret(200, {{"Server-Stamp", "s"}, {"Server-Leaving", "0"}}).backend_leaving);
  CHECK_FALSE(interpret(200, {{"Server-Stamp", "s"}}).backend_leaving);
  // Answers of another instance, or of no known one.
  CHECK_FALSE(interpret(421, {{"Server-Leaving", "1"}}).backend_leaving);
  CHECK_FALSE(interpret(200, {{"Server-Leaving", "1"}}).backend_leaving);
}

TEST_CASE("status 503 is used only for the outcome not_run") {
  wire::call_reply reply;
  reply.outcome = outcome::not_run;
  reply.code = result_code::queue_full;
  reply.retry_after_ms = 1250;
  const auto refused = protocol.answer_call(request_with_id("7"), reply);
  CHECK(refused.status == 503);
  REQUIRE(field(refused, "Retry-After") != nullptr);
  CHECK(*field(refused, "Retry-After") == "1.250");
  CHECK(*field(refused, "Request-Id") == "7");
  reply.outcome = outcome::unknown;
  for (const auto code : {result_code::peer_lost, result_code::outcome_unknown,
                          result_code::backend_failed, result_code::draining}) {
    reply.code = code;
    CHECK(protocol.answer_call(request_with_id("7"), reply).status == 502);
  }
  reply.code = result_code::deadline_exceeded;
  CHECK(protocol.answer_call(request_with_id("7"), reply).status == 504);
}

TEST_CASE("the backend request carries the remaining time and the expected instance") {
  wire::call_request call;
  call.method = "GET";
  call.target = "/a/b?c";
  const board::backend_target target{true, "pricing", "127.0.0.1:9", "i-1", 4, 0};
  board::configuration_view view;
  daemon::request_thread thread(0, 1, "secret");
  const support::time_point now{};
  const auto request = protocol.make_backend_request(view, target, call, thread,
                                                     now + support::milliseconds(250), now);
  CHECK(request.target == "/a/b?c");
  CHECK(request.headers ==
        std::vector<wire::header_field>{{"Deadline-Ms", "250"}, {"Expect-Instance", "i-1"}});
  CHECK(request.timeout == support::milliseconds(250));
  CHECK(request.correlation_field == "Request-Id");
}

TEST_CASE("no form of the request's id makes it a call of the backend server") {
  platform::health_paths health;
  auto published = platform::parse_configuration(
      R"({"version":"00000001","routes":{"r":{"host":"h","prefix":"/a/","kind":"idempotent",)"
      R"("timeout_s":5,"service":"pricing"}},"services":{"pricing":{}},"limits":)"
      R"({"max_header_bytes":1,"max_body_bytes":1,"header_timeout_s":1,"idle_timeout_s":1}})",
      {"dc", "r", {}}, health);
  REQUIRE(published.ok());
  board::configuration_view view;
  view.ready = true;
  view.snapshot = *model::compile_snapshot(published->set);
  view.organisation_slots.resize(view.snapshot.organisations().size());
  view.service_slots.resize(view.snapshot.services().size());
  view.host_route_slots.resize(view.snapshot.set().host_routes.size());
  daemon::request_thread thread(0, 1, "secret");
  for (const std::string id : {"9c41d07be2a35f68", "9c41.d07b", "a/b-c", ".", "x."}) {
    net::http_request request;
    request.method = "GET";
    request.target = "/a/1";
    request.headers = {{"Host", "h"}, {"Request-Id", id}, {"Deadline-Ms", "4000"}};
    const auto read = protocol.read_request(view, request, thread, support::time_point{});
    REQUIRE(read.ok());
    CHECK_FALSE(read->from_backend);
    CHECK_FALSE(read->call.holds_finished_work);
    CHECK(read->caller_time_left == support::milliseconds(4000));
    // A stated request counts only if it is running here.
    CHECK(read->stated_parent.has_value() == (id.find('.') != std::string::npos));
  }
}
