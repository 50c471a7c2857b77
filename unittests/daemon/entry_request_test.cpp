#include "acaciasill/daemon/entry_request.h"

#include <catch2/catch.hpp>

#include "acaciasill/daemon/call_context.h"
#include "acaciasill/model/embedded_defaults.h"
#include "acaciasill/support/hash.h"
#include "acaciasill/support/result_code.h"

using namespace acaciasill;
using namespace acaciasill::daemon;
using support::milliseconds;
using support::result_code;

namespace {

const support::time_point now{support::seconds(100)};

board::configuration_view embedded_view() {
  board::configuration_view view;
  view.ready = true;
  view.snapshot = *model::compile_snapshot(model::embedded_defaults());
  view.organisation_slots.resize(view.snapshot.organisations().size());
  view.service_slots.resize(view.snapshot.services().size());
  view.route_slots.resize(view.snapshot.set().routes.size());
  return view;
}

absl::StatusOr<entry_request> read(const std::string& target, const net::call_headers& headers) {
  support::random_source random(1);
  support::hmac_signer signer("secret");
  net::http_request request;
  request.method = "GET";
  request.target = target;
  return read_entry_request(embedded_view(), request, headers, signer, now, random);
}

net::call_headers headers_of(const std::string& organisation) {
  net::call_headers headers;
  headers.id = wire::request_id{7, 9};
  headers.organisation = organisation;
  return headers;
}

} // namespace

TEST_CASE("the path segment after /svc/ names the service; the rest and the query are kept") {
  const auto request = read("/svc/front/a/b?c=d", headers_of("large"));
  REQUIRE(request.ok());
  CHECK(request->call.service == "front");
  CHECK(request->call.target == "/a/b?c=d");
  CHECK(read("/svc/front?c=d", headers_of("large"))->call.target == "/?c=d");
}

TEST_CASE("invalid targets, organisations and deadlines yield their result codes") {
  CHECK(support::code_of(read("/other", headers_of("large")).status()) == result_code::no_route);
  CHECK(support::code_of(read("/svc/", headers_of("large")).status()) == result_code::no_route);
  CHECK(support::code_of(read("/svc/none/", headers_of("large")).status()) ==
        result_code::unknown_service);
  CHECK(support::code_of(read("/svc/front/", headers_of("nobody")).status()) ==
        result_code::unknown_organisation);
  auto late = headers_of("large");
  late.deadline = milliseconds(0);
  CHECK(support::code_of(read("/svc/front/", late).status()) == result_code::deadline_exceeded);
}

TEST_CASE("an outside caller cannot raise its priority or its retry budget") {
  const auto plain = read("/svc/front/", headers_of("large"));
  REQUIRE(plain.ok());
  auto headers = headers_of("large");
  headers.priority = "important";
  headers.retry_budget = 900;
  const auto raised = read("/svc/front/", headers);
  REQUIRE(raised.ok());
  CHECK(raised->call.rank == plain->call.rank);
  CHECK(raised->retry_budget == plain->retry_budget);
  headers.priority = "bulk";
  headers.retry_budget = 0;
  const auto lowered = read("/svc/front/", headers);
  CHECK(lowered->call.rank > plain->call.rank);
  CHECK(lowered->retry_budget == 0);
}

TEST_CASE("a call of the local backend server inherits the context of the request it serves") {
  support::hmac_signer signer("secret");
  support::hmac_signer other("another daemon's secret");
  call_context context{{7, 9}, "small", 0, 2, now + milliseconds(40)};
  auto headers = headers_of("large");
  headers.context = format_context(context, signer);
  headers.deadline = milliseconds(5000);
  const auto request = read("/svc/middle/", headers);
  REQUIRE(request.ok());
  CHECK(request->from_backend);
  CHECK(request->call.organisation == "small");
  CHECK(request->call.rank == 0);
  CHECK(request->call.depth == 3);
  CHECK(request->deadline == now + milliseconds(40));
  headers.context = format_context(context, other);
  CHECK_FALSE(read("/svc/middle/", headers)->from_backend);
}
