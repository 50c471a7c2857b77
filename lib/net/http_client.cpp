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

#include "client_connection.h"

namespace acaciasill::net {
namespace {

using endpoint = asio::ip::tcp::endpoint;

// A request that must not be repeated takes a kept connection only where it was used this lately,
// since the other side may be closing an older one.
constexpr support::milliseconds fresh_connection_age{2000};
// The time after which a kept connection that nobody uses is closed.
constexpr support::seconds longest_idle_time{8};
constexpr std::size_t max_response_header_bytes = 65536;

// One exchange in progress.
struct exchange {
  std::uint64_t id = 0;
  client_request request;
  exchange_callback done;
  support::time_point deadline;
  // Present once a connection was found for it.
  std::shared_ptr<client_connection> connection;
  bool connecting = false;
  bool on_kept_connection = false;
  bool was_repeated = false;
};

// The connections to one address.
struct connection_group {
  // Those without an exchange; the latest used last.
  std::vector<std::shared_ptr<client_connection>> idle;
  std::size_t open = 0;
  std::deque<std::uint64_t> waiting;
};

} // namespace

struct http_client::implementation : std::enable_shared_from_this<http_client::implementation> {
  implementation(asio::io_context& io, std::size_t connections, std::size_t max_body_bytes)
      : context(io), timer(io), max_connections(std::max<std::size_t>(1, connections)),
        environment(std::make_shared<client_environment>()) {
    environment->limits = {max_response_header_bytes, max_body_bytes};
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
    assign(state);
    return id;
  }

  // Gives the exchange a connection, or lets it wait for one.
  void assign(exchange& state) {
    auto& group = groups[state.request.address];
    const auto now = support::monotonic_now();
    drop_stale(group, now);
    if (!group.idle.empty() && may_use(*group.idle.back(), state.request, now)) {
      auto connection = std::move(group.idle.back());
      group.idle.pop_back();
      connection->set_on_lost(nullptr);
      state.on_kept_connection = true;
      run(state, std::move(connection));
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
    state.on_kept_connection = false;
    state.connecting = true;
    const auto connect_deadline = now + state.request.connect_timeout;
    if (connect_deadline < state.deadline) {
      deadlines.emplace(connect_deadline, state.id);
      arm_timer();
    }
    run(state, std::make_shared<client_connection>(context, environment));
  }

  static bool may_use(const client_connection& connection, const client_request& request,
                      support::time_point now) {
    return request.repeatable || now - connection.idle_since() < fresh_connection_age;
  }

  static void drop_stale(connection_group& group, support::time_point now) {
    std::erase_if(group.idle, [&group, now](const auto& connection) {
      const bool stale =
          now >= connection->usable_until() || now - connection->idle_since() > longest_idle_time;
      if (stale) {
        connection->close();
        --group.open;
      }
      return stale;
    });
  }

  void run(exchange& state, std::shared_ptr<client_connection> connection) {
    state.connection = std::move(connection);
    state.connection->start(state.request,
                            [weak = weak_from_this(), id = state.id](connection_result result) {
                              if (const auto self = weak.lock()) {
                                self->take_result(id, std::move(result));
                              }
                            });
  }

  void take_result(std::uint64_t id, connection_result result) {
    const auto found = exchanges.find(id);
    if (found == exchanges.end()) {
      return;
    }
    auto& state = found->second;
    const auto address = state.request.address;
    auto connection = std::exchange(state.connection, nullptr);
    release(address, std::move(connection), result.reusable);
    const bool died_unused = state.on_kept_connection && !result.answered_anything &&
                             result.response.end == exchange_end::broken;
    if (died_unused && state.request.repeatable && !state.was_repeated) {
      state.was_repeated = true;
      assign(state);
      serve_waiting(address);
      return;
    }
    finish(found, std::move(result.response));
    serve_waiting(address);
  }

  void release(const endpoint& address, std::shared_ptr<client_connection> connection,
               bool reusable) {
    auto& group = groups[address];
    if (!reusable) {
      --group.open;
      return;
    }
    connection->set_on_lost([weak = weak_from_this(), address, lost = std::weak_ptr(connection)] {
      if (const auto self = weak.lock()) {
        self->drop_lost(address, lost.lock());
      }
    });
    group.idle.push_back(std::move(connection));
  }

  void drop_lost(const endpoint& address, const std::shared_ptr<client_connection>& connection) {
    auto& group = groups[address];
    if (std::erase(group.idle, connection) != 0) {
      --group.open;
    }
    serve_waiting(address);
  }

  // Gives free connections, or room for new ones, to the exchanges that wait.
  void serve_waiting(const endpoint& address) {
    auto& group = groups[address];
    while (!group.waiting.empty() && (!group.idle.empty() || group.open < max_connections)) {
      const auto id = group.waiting.front();
      group.waiting.pop_front();
      if (const auto found = exchanges.find(id); found != exchanges.end()) {
        assign(found->second);
      }
    }
  }

  using exchange_table = std::unordered_map<std::uint64_t, exchange>;

  void finish(exchange_table::iterator place, client_response response) {
    const auto done = std::move(place->second.done);
    deadlines.erase({place->second.deadline, place->first});
    exchanges.erase(place);
    done(std::move(response));
  }

  // Ends an exchange from outside: its connection can't be used any more.
  void abandon(exchange_table::iterator place, exchange_end end) {
    const auto address = place->second.request.address;
    if (const auto connection = std::exchange(place->second.connection, nullptr)) {
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
    finish(place, std::move(response));
    serve_waiting(address);
  }

  void cancel(std::uint64_t id) {
    if (const auto found = exchanges.find(id); found != exchanges.end()) {
      abandon(found, exchange_end::cancelled);
    }
  }

  void forget(const endpoint& address) {
    const auto found = groups.find(address);
    if (found == groups.end()) {
      return;
    }
    for (const auto& connection : std::exchange(found->second.idle, {})) {
      connection->close();
      --found->second.open;
    }
  }

  // The timer follows the earliest deadline; one that fires too early does no harm.
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
        self->end_overdue();
      }
    });
  }

  void end_overdue() {
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
        abandon(found, exchange_end::timed_out);
      }
    }
    arm_timer();
  }

  asio::io_context& context;
  asio::steady_timer timer;
  std::size_t max_connections;
  std::shared_ptr<client_environment> environment;
  std::map<endpoint, connection_group> groups;
  exchange_table exchanges;
  std::set<std::pair<support::time_point, std::uint64_t>> deadlines;
  std::optional<support::time_point> armed_until;
  std::uint64_t last_id = 0;
};

http_client::http_client(asio::io_context& context, std::size_t max_connections,
                         std::size_t max_body_bytes)
    : implementation_(std::make_shared<implementation>(context, max_connections, max_body_bytes)) {}

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

void http_client::forget(const asio::ip::tcp::endpoint& address) {
  implementation_->forget(address);
}

const http_client_counters& http_client::counters() const {
  return implementation_->environment->counters;
}

} // namespace acaciasill::net
