#include "daemon/upstream_exchange.h"

#include <catch2/catch.hpp>

using namespace acaciasill;
using namespace acaciasill::daemon;
using net::exchange_end;
using support::result_code;
using wire::outcome;

namespace {

wire::call_reply interpret(exchange_end end, std::uint16_t status = 0,
                           std::vector<wire::header_field> headers = {}) {
  return interpret_response({end, status, std::move(headers), "body"}, false);
}

} // namespace

TEST_CASE("not-run is reported only if nothing was sent or the server did not start the call") {
  CHECK(interpret(exchange_end::not_sent).outcome == outcome::not_run);
  const auto shed = interpret(exchange_end::answered, 503, {{"X-Not-Started", "true"}});
  CHECK(shed.outcome == outcome::not_run);
  CHECK(shed.code == result_code::backend_shed);
  CHECK(interpret(exchange_end::answered, 503).outcome == outcome::failed);
  CHECK(interpret(exchange_end::answered, 200, {{"x-not-started", "true"}}).outcome ==
        outcome::completed);
  for (const auto end : {exchange_end::timed_out, exchange_end::broken, exchange_end::cancelled}) {
    CHECK(interpret(end).outcome == outcome::unknown);
  }
}

TEST_CASE("a reply keeps the response's status, body and end-to-end header fields") {
  const auto reply = interpret(exchange_end::answered, 404,
                               {{"content-type", "a/b"}, {"connection", "close"}, {"x-own", "1"}});
  CHECK(reply.outcome == outcome::completed);
  CHECK(reply.http_status == 404);
  CHECK(reply.body == "body");
  CHECK(reply.headers == std::vector<wire::header_field>{{"content-type", "a/b"}, {"x-own", "1"}});
}
