#include "acaciasill/net/http_client.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include "acaciasill/support/log.h"

#include "client_connection.h"

namespace acaciasill::net {
namespace {

using endpoint = asio::ip::tcp::endpoint;

// Maximum idle time of a connection that a non-repeatable request may reuse; the server may already
// be closing an older one.
constexpr support::milliseconds max_unrepeatable_idle_time{2000};
// Idle time after which a connection is closed.
constexpr support::seconds max_idle_time{8};
constexpr std::size_t max_response_header_bytes = 65536;
constexpr std::uint32_t buffer_log_lines_per_second = 2;

// An exchange in progress.
struct exchange {
  std::uint64_t id = 0;
  client_request request;
  exchange_callback done;
  support::time_point deadline;
  // Null until a connection is assigned.
  std::shared_ptr<client_connection> connection;
  bool connecting = false;
  bool on_reused_connection = false;
  bool was_resent = false;
};

// Connections to one address.
struct connection_group {
  // Idle connections, least recently used first.
  std::vector<std::shared_ptr<client_connection>> idle;
  std::size_t open = 0;
  std::deque<std::uint64_t> waiting;
};

} // namespace

struct http_client::implementation : std::enable_shared_from_this<http_client::implementation> {
  implementation(asio::io_context& io_context, std::size_t connections, std::size_t max_body_bytes,
                 std::size_t max_buffered_bytes)
      : context(io_context), timer(io_context),
        max_connections(std::max<std::size_t>(1, connections)),
        shared_state(std::make_shared<client_shared_state>()) {
    shared_state->limits = {max_response_header_bytes, max_body_bytes};
    shared_state->max_buffered_bytes = max_buffered_bytes;
  }

  // Must be called once, after construction.
  void watch_buffer_limit() {
    shared_state->on_buffer_limit = [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->end_largest_exchanges();
      }
    };
  }

  std::uint64_t send(client_request request, exchange_callback done) {
    const auto id = ++last_id;
    auto& state = exchanges[id];
    state.id = id;
    state.deadline = support::monotonic_now() + request.timeout;
    state.request = std::move(request);
    state.done = std::move(done);
    deadlines.emplace(state.deadline, id);
    arm_timer();
    assign_connection(state);
    return id;
  }

  // Assigns a connection to the exchange or queues it.
  void assign_connection(exchange& state) {
    auto& group = groups[state.request.address];
    const auto now = support::monotonic_now();
    close_stale(group, now);
    if (!group.idle.empty() && can_reuse(*group.idle.back(), state.request, now)) {
      auto connection = std::move(group.idle.back());
      group.idle.pop_back();
      connection->set_on_idle_close(nullptr);
      state.on_reused_connection = true;
      start_exchange(state, std::move(connection));
      return;
    }
    if (group.open >= max_connections && group.idle.empty()) {
      group.waiting.push_back(state.id);
      return;
    }
    if (group.open >= max_connections) {
      group.idle.front()->close();
      group.idle.erase(group.idle.begin());
      --group.open;
    }
    ++group.open;
    state.on_reused_connection = false;
    state.connecting = true;
    const auto connect_deadline = now + state.request.connect_timeout;
    if (connect_deadline < state.deadline) {
      deadlines.emplace(connect_deadline, state.id);
      arm_timer();
    }
    start_exchange(state, std::make_shared<client_connection>(context, shared_state));
  }

  static bool can_reuse(const client_connection& connection, const client_request& request,
                        support::time_point now) {
    return request.repeatable || now - connection.idle_since() < max_unrepeatable_idle_time;
  }

  static void close_stale(connection_group& group, support::time_point now) {
    std::erase_if(group.idle, [&group, now](const auto& connection) {
      const bool stale =
          now >= connection->usable_until() || now - connection->idle_since() > max_idle_time;
      if (stale) {
        connection->close();
        --group.open;
      }
      return stale;
    });
  }

  void start_exchange(exchange& state, std::shared_ptr<client_connection> connection) {
    state.connection = std::move(connection);
    state.connection->start(state.request,
                            [weak = weak_from_this(), id = state.id](connection_result result) {
                              if (const auto self = weak.lock()) {
                                self->handle_result(id, std::move(result));
                              }
                            });
  }

  void handle_result(std::uint64_t id, connection_result result) {
    const auto found = exchanges.find(id);
    if (found == exchanges.end()) {
      return;
    }
    auto& state = found->second;
    const auto address = state.request.address;
    auto connection = std::exchange(state.connection, nullptr);
    release(address, std::move(connection), result.reusable);
    const bool closed_before_response = state.on_reused_connection && !result.response_started &&
                                        result.response.end == exchange_end::broken;
    const bool may_resend =
        state.request.repeatable && state.request.resend_on_closed_connection && !state.was_resent;
    if (closed_before_response && may_resend) {
      state.was_resent = true;
      assign_connection(state);
      assign_waiting(address);
      return;
    }
    finish(found, std::move(result.response));
    assign_waiting(address);
  }

  void release(const endpoint& address, std::shared_ptr<client_connection> connection,
               bool reusable) {
    auto& group = groups[address];
    if (!reusable) {
      --group.open;
      return;
    }
    connection->set_on_idle_close(
        [weak = weak_from_this(), address, closed = std::weak_ptr(connection)] {
          if (const auto self = weak.lock()) {
            self->remove_closed(address, closed.lock());
          }
        });
    group.idle.push_back(std::move(connection));
  }

  void remove_closed(const endpoint& address,
                     const std::shared_ptr<client_connection>& connection) {
    auto& group = groups[address];
    if (std::erase(group.idle, connection) != 0) {
      --group.open;
    }
    assign_waiting(address);
  }

  // Assigns idle or new connections to waiting exchanges.
  void assign_waiting(const endpoint& address) {
    auto& group = groups[address];
    while (!group.waiting.empty() && (!group.idle.empty() || group.open < max_connections)) {
      const auto id = group.waiting.front();
      group.waiting.pop_front();
      if (const auto found = exchanges.find(id); found != exchanges.end()) {
        assign_connection(found->second);
      }
    }
  }

  using exchange_table = std::unordered_map<std::uint64_t, exchange>;

  void finish(exchange_table::iterator entry, client_response response) {
    if (entry->second.was_resent && response.end == exchange_end::not_sent) {
      // The server may have run the request before it closed the first connection.
      response.end = exchange_end::broken;
    }
    const auto done = std::move(entry->second.done);
    deadlines.erase({entry->second.deadline, entry->first});
    exchanges.erase(entry);
    done(std::move(response));
  }

  // Ends an exchange before its result arrives and closes its connection.
  void abort_exchange(exchange_table::iterator entry, exchange_end end) {
    const auto address = entry->second.request.address;
    if (const auto connection = std::exchange(entry->second.connection, nullptr)) {
      if (end == exchange_end::timed_out && !connection->has_sent()) {
        end = exchange_end::not_sent;
      }
      connection->close();
      --groups[address].open;
    } else if (end == exchange_end::timed_out) {
      end = exchange_end::not_sent;
    }
    client_response response;
    response.end = end;
    finish(entry, std::move(response));
    assign_waiting(address);
  }

  // Ends the exchanges with the largest incomplete responses until the rest is within the limit, so
  // that a server that sends bytes without end does not fail the exchanges beside it. A response
  // that is the only incomplete one has its own limit.
  void end_largest_exchanges() {
    const auto buffered = [](const exchange_table::value_type& entry) {
      return entry.second.connection ? entry.second.connection->buffered_bytes() : 0;
    };
    while (shared_state->buffered_bytes > shared_state->max_buffered_bytes) {
      const auto largest = std::max_element(exchanges.begin(), exchanges.end(),
                                            [&buffered](const auto& left, const auto& right) {
                                              return buffered(left) < buffered(right);
                                            });
      if (largest == exchanges.end() || buffered(*largest) == 0 ||
          buffered(*largest) == shared_state->buffered_bytes) {
        return;
      }
      ++shared_state->counters.over_buffer_limit;
      log_over_buffer_limit(largest->second.request.address, buffered(*largest));
      abort_exchange(largest, exchange_end::too_large);
    }
  }

  void log_over_buffer_limit(const endpoint& address, std::size_t bytes) {
    std::uint32_t dropped = 0;
    if (buffer_log_budget.allow(support::monotonic_now(), dropped)) {
      support::write_event(
          support::log_level::warning, "http", "incomplete responses exceed their memory limit",
          {{"server", address.address().to_string() + ":" + std::to_string(address.port())},
           {"largest_bytes", std::to_string(bytes)},
           {"all_bytes", std::to_string(shared_state->buffered_bytes)},
           {"limit_bytes", std::to_string(shared_state->max_buffered_bytes)},
           {"lines_dropped_before", std::to_string(dropped)}});
    }
  }

  void cancel(std::uint64_t id) {
    if (const auto found = exchanges.find(id); found != exchanges.end()) {
      abort_exchange(found, exchange_end::cancelled);
    }
  }

  void close_idle_connections(const endpoint& address) {
    const auto found = groups.find(address);
    if (found == groups.end()) {
      return;
    }
    for (const auto& connection : std::exchange(found->second.idle, {})) {
      connection->close();
      --found->second.open;
    }
  }

  // Schedules the timer for the earliest deadline; an early expiry is harmless.
  void arm_timer() {
    if (deadlines.empty() || (armed_until && *armed_until <= deadlines.begin()->first)) {
      return;
    }
    armed_until = deadlines.begin()->first;
    timer.expires_after(support::time_until(*armed_until));
    timer.async_wait([weak = weak_from_this()](asio::error_code error) {
      const auto self = weak.lock();
      if (!error && self) {
        self->armed_until.reset();
        self->expire_deadlines();
      }
    });
  }

  void expire_deadlines() {
    const auto now = support::monotonic_now();
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
      const auto [when, id] = *deadlines.begin();
      deadlines.erase(deadlines.begin());
      const auto found = exchanges.find(id);
      if (found == exchanges.end()) {
        continue;
      }
      const auto& state = found->second;
      const bool connect_overdue =
          state.connecting && state.connection && !state.connection->is_open();
      if (when >= state.deadline || connect_overdue) {
        abort_exchange(found, exchange_end::timed_out);
      }
    }
    arm_timer();
  }

  asio::io_context& context;
  asio::steady_timer timer;
  std::size_t max_connections;
  std::shared_ptr<client_shared_state> shared_state;
  std::map<endpoint, connection_group> groups;
  exchange_table exchanges;
  std::set<std::pair<support::time_point, std::uint64_t>> deadlines;
  std::optional<support::time_point> armed_until;
  std::uint64_t last_id = 0;
  support::log_rate_limiter buffer_log_budget{buffer_log_lines_per_second};
};

http_client::http_client(asio::io_context& context, std::size_t max_connections,
                         std::size_t max_body_bytes, std::size_t max_buffered_bytes)
    : implementation_(std::make_shared<implementation>(context, max_connections, max_body_bytes,
                                                       max_buffered_bytes)) {
  implementation_->watch_buffer_limit();
}

http_client::~http_client() {
  for (auto& [address, group] : implementation_->groups) {
    for (const auto& connection : group.idle) {
      connection->close();
    }
  }
  for (auto& [id, state] : implementation_->exchanges) {
    if (state.connection) {
      state.connection->close();
    }
  }
}

std::uint64_t http_client::send(client_request request, exchange_callback done) {
  return implementation_->send(std::move(request), std::move(done));
}

void http_client::cancel(std::uint64_t exchange) {
  implementation_->cancel(exchange);
}

void http_client::close_idle_connections(const asio::ip::tcp::endpoint& address) {
  implementation_->close_idle_connections(address);
}

const http_client_counters& http_client::counters() const {
  return implementation_->shared_state->counters;
}

} // namespace acaciasill::net
