#include <iostream>
#include <optional>

#include <asio/io_context.hpp>

#include "absl/strings/str_cat.h"
#include "acaciasill/net/backend_client.h"
#include "acaciasill/net/platform_protocol.h"
#include "acaciasill/support/result_code.h"
#include "invocation.h"
#include "output.h"

namespace acaciasill::ctl {
namespace {

using support::result_code;

constexpr std::size_t max_answer_bytes = std::size_t{16} << 20U;
constexpr std::uint16_t status_not_found = 404;

// Asks a daemon for one JSON document. Errors: bad_command_line, peer_unreachable,
// platform_not_found, peer_mismatch.
absl::StatusOr<json> ask_daemon(const invocation& asked, const std::string& path) {
  if (asked.daemon_url.empty()) {
    return support::make_error(result_code::bad_command_line, "--daemon URL is needed");
  }
  asio::io_context context(1);
  net::backend_client client(context, 1, max_answer_bytes);
  std::optional<net::backend_response> response;
  net::backend_request request;
  request.url = asked.daemon_url + path;
  request.method = "GET";
  request.timeout = asked.timeout;
  client.send(request, [&](net::backend_response answer) {
    response = std::move(answer);
    context.stop();
  });
  context.run();
  if (!response || response->end != net::backend_end::answered) {
    return support::make_error(result_code::peer_unreachable, asked.daemon_url);
  }
  if (response->status == status_not_found) {
    return support::make_error(result_code::platform_not_found, path);
  }
  auto document = json::parse(response->body, nullptr, false);
  if (response->status != 200 || document.is_discarded()) {
    return support::make_error(result_code::peer_mismatch,
                               absl::StrCat("HTTP status ", response->status));
  }
  return document;
}

int print_answer(const invocation& asked, const std::string& path) {
  const auto document = ask_daemon(asked, path);
  if (!document.ok()) {
    return fail(document.status());
  }
  if (asked.output == output_form::json) {
    print_json(std::cout, *document);
  } else {
    print_document(std::cout, *document);
  }
  return support::exit_success;
}

} // namespace

int run_status(const invocation& asked) {
  return print_answer(asked, "/acaciasill/status");
}

int run_explain(const invocation& asked) {
  return print_answer(
      asked, absl::StrCat("/acaciasill/explain/", net::percent_encode(asked.arguments[0])));
}

} // namespace acaciasill::ctl
