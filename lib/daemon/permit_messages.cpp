#include "permit_messages.h"

#include <optional>
#include <utility>

#include "acaciasill/board/call_board.h"
#include "acaciasill/net/peer_pool.h"
#include "acaciasill/support/result_code.h"

#include "entry_answer.h"
#include "permit_service.h"

namespace acaciasill::daemon {
namespace {

using support::result_code;

constexpr char permit_target[] = "/permits";

wire::call_request make_message(const decide::permit_request& message) {
  wire::call_request request;
  request.target = permit_target;
  request.body = decide::encode(message);
  return request;
}

wire::call_reply make_answer(const decide::permit_grant& grant) {
  wire::call_reply reply;
  reply.outcome = wire::outcome::completed;
  reply.code = result_code::ok;
  reply.http_status = support::describe(result_code::ok).http_status;
  reply.threshold = decide::accept_all;
  reply.body = decide::encode(grant);
  return reply;
}

void send_message(net::peer_pool& peers, const std::string& address,
                  const decide::permit_request& message, support::milliseconds timeout,
                  optional_grant_callback done) {
  // An address that cannot be parsed leads to a call that fails.
  const auto peer = net::parse_peer_address(address).value_or(net::peer_address{});
  peers.send_call(peer, make_message(message), support::monotonic_now() + timeout,
                  [done = std::move(done)](const wire::call_reply& reply) {
                    done(reply.outcome == wire::outcome::completed
                             ? decide::decode_permit_grant(reply.body)
                             : std::nullopt);
                  });
}

std::optional<board::limited_organisation> find_organisation(const board::call_board& board,
                                                             std::uint64_t name_hash) {
  const board::rcu_read_guard guard;
  const auto& view = board.configuration.read(guard);
  const auto index = view.snapshot.find_organisation_by_hash(name_hash);
  return index ? view.limits[*index] : std::nullopt;
}

} // namespace

std::unique_ptr<permit_service> make_permit_service(board::call_board& board, net::peer_pool& peers,
                                                    std::size_t threads,
                                                    const std::string& own_address) {
  permit_environment environment;
  environment.own_address = own_address;
  environment.threads = threads;
  environment.buckets = &board.permit_buckets;
  environment.coordinators = &board.coordinators;
  environment.last_peer_contact = &board.last_peer_contact;
  environment.find_organisation = [&board](std::uint64_t name_hash) {
    return find_organisation(board, name_hash);
  };
  environment.send = [&peers](const std::string& address, const decide::permit_request& message,
                              support::milliseconds timeout, optional_grant_callback done) {
    send_message(peers, address, message, timeout, std::move(done));
  };
  environment.now = support::monotonic_now;
  return std::make_unique<permit_service>(std::move(environment));
}

bool is_permit_message(const wire::call_request& request) {
  return request.service.empty() && request.target == permit_target;
}

void serve_permit_message(permit_service& permits, std::size_t thread,
                          const wire::call_request& request, const net::call_responder& respond) {
  const auto message = decide::decode_permit_request(request.body);
  if (!message) {
    respond(refusal_reply(result_code::bad_request));
    return;
  }
  permits.serve(thread, *message, [respond](const std::optional<decide::permit_grant>& grant) {
    respond(grant ? make_answer(*grant) : refusal_reply(result_code::unknown_organisation));
  });
}

} // namespace acaciasill::daemon
