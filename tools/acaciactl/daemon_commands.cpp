#include "daemon.h"

#include <algorithm>
#include <iostream>
#include <optional>
#include <set>
#include <utility>

#include <asio/io_context.hpp>

#include "absl/strings/str_cat.h"
#include "acaciasill/net/http_client.h"
#include "acaciasill/net/peer_settings.h"
#include "acaciasill/net/platform_protocol.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::ctl {
namespace {

using support::result_code;

constexpr std::size_t max_answer_bytes = std::size_t{16} << 20U;
constexpr std::uint16_t status_not_found = 404;
constexpr std::string_view status_path = "/acaciasill/status";

// Parsed form of a daemon URL, "http://ip:port/path".
struct daemon_endpoint {
  net::peer_address address;
  // Prefix of every request path, without a trailing slash; usually empty.
  std::string path;
};

absl::StatusOr<daemon_endpoint> parse_daemon_url(std::string_view url) {
  constexpr std::string_view scheme = "http://";
  if (url.substr(0, scheme.size()) == scheme) {
    url.remove_prefix(scheme.size());
  }
  const auto slash = std::min(url.find('/'), url.size());
  const auto address = net::parse_peer_address(url.substr(0, slash));
  if (!address.ok()) {
    return address.status();
  }
  auto path = url.substr(slash);
  while (!path.empty() && path.back() == '/') {
    path.remove_suffix(1);
  }
  return daemon_endpoint{*address, std::string(path)};
}

} // namespace

absl::StatusOr<json> fetch_daemon_document(const invocation& options, const std::string& path) {
  if (options.daemon_url.empty()) {
    return support::make_error(result_code::bad_command_line, "missing option: --daemon URL");
  }
  asio::io_context context(1);
  net::http_client client(context, 1, max_answer_bytes);
  std::optional<net::client_response> response;
  net::client_request request;
  const auto endpoint = parse_daemon_url(options.daemon_url);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  request.address = endpoint->address;
  request.target = endpoint->path + path;
  request.method = "GET";
  request.timeout = options.timeout;
  client.send(request, [&](net::client_response answer) {
    response = std::move(answer);
    context.stop();
  });
  context.run();
  if (!response || response->end != net::exchange_end::answered) {
    return support::make_error(result_code::peer_unreachable, options.daemon_url);
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

namespace {

// Returns the string member of an object, or an empty string if it is absent or not a string.
std::string text_member(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

bool has_service(const model::configuration& set, const std::string& name) {
  return std::any_of(set.services.begin(), set.services.end(),
                     [&](const model::service& candidate) { return candidate.name == name; });
}

bool has_data_centre(const model::configuration& set, const std::string& name) {
  return std::any_of(set.data_centres.begin(), set.data_centres.end(),
                     [&](const model::data_centre& candidate) { return candidate.name == name; });
}

int print_daemon_document(const invocation& options, const std::string& path) {
  const auto document = fetch_daemon_document(options, path);
  if (!document.ok()) {
    return fail(document.status());
  }
  if (document->is_array() && document->empty()) {
    return fail(support::make_error(result_code::platform_not_found, path));
  }
  if (options.output == output_form::json) {
    print_json(std::cout, *document);
  } else {
    print_document(std::cout, *document);
  }
  return support::exit_success;
}

} // namespace

absl::StatusOr<std::vector<model::finding>> find_missing_names(const invocation& options,
                                                               const model::configuration& set) {
  const auto document = fetch_daemon_document(options, std::string(status_path));
  if (!document.ok()) {
    return document.status();
  }
  // Members may share a service or data centre; each name is reported once.
  std::set<std::pair<std::string, std::string>> missing;
  if (const auto members = document->find("members"); members != document->end()) {
    for (const auto& member : *members) {
      const auto service = text_member(member, "service");
      const auto data_centre = text_member(member, "data_centre");
      if (!service.empty() && !has_service(set, service)) {
        missing.emplace("service", service);
      }
      if (!data_centre.empty() && !has_data_centre(set, data_centre)) {
        missing.emplace("data_centre", data_centre);
      }
    }
  }
  std::vector<model::finding> findings;
  findings.reserve(missing.size());
  for (const auto& [kind, name] : missing) {
    findings.push_back({options.arguments[0], 0, absl::StrCat(kind, " ", name), "name",
                        result_code::name_in_use, "still used by members"});
  }
  return findings;
}

int run_status(const invocation& options) {
  return print_daemon_document(options, std::string(status_path));
}

int run_explain(const invocation& options) {
  return print_daemon_document(
      options, absl::StrCat("/acaciasill/explain/", net::percent_encode(options.arguments[0])));
}

} // namespace acaciasill::ctl
