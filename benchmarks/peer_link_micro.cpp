// Echo round trips between a peer pool and a peer listener on loopback. An open loop at a fixed
// rate reports the latency from the scheduled time of each call; a closed loop reports calls per
// second.

#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <benchmark/benchmark.h>

#include "acaciasill/net/peer_listener.h"
#include "acaciasill/net/peer_pool.h"

namespace {

using namespace acaciasill;

// Calls per run.
constexpr std::uint64_t open_loop_calls = 40000;
constexpr std::uint64_t closed_loop_calls = 400000;

// A set of I/O contexts, each run by its own thread.
class io_threads {
public:
  explicit io_threads(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      contexts_.push_back(std::make_unique<asio::io_context>(1));
      guards_.push_back(asio::make_work_guard(*contexts_.back()));
    }
    for (const auto& context : contexts_) {
      threads_.emplace_back([&context] { context->run(); });
    }
  }
  io_threads(const io_threads&) = delete;
  io_threads& operator=(const io_threads&) = delete;
  ~io_threads() {
    guards_.clear();
    for (const auto& context : contexts_) {
      context->stop();
    }
    for (auto& thread : threads_) {
      thread.join();
    }
  }

  std::vector<asio::io_context*> pointers() const {
    std::vector<asio::io_context*> list;
    for (const auto& context : contexts_) {
      list.push_back(context.get());
    }
    return list;
  }

private:
  std::vector<std::unique_ptr<asio::io_context>> contexts_;
  std::vector<asio::executor_work_guard<asio::io_context::executor_type>> guards_;
  std::vector<std::thread> threads_;
};

net::peer_listener_handlers echo_handlers() {
  return {[](const net::call_key&, wire::call_request request, const net::call_responder& respond) {
            wire::call_reply reply;
            reply.outcome = wire::outcome::completed;
            reply.code = support::result_code::ok;
            reply.http_status = 200;
            reply.headers = {{"content-type", "application/json"}};
            reply.body = std::move(request.body);
            respond(std::move(reply));
          },
          [](const net::call_key&) {}};
}

wire::call_request make_request(std::uint64_t id) {
  wire::call_request request;
  request.id = {.high = 1, .low = id};
  request.service = "catalogue";
  request.organisation = "kwaeso";
  request.method = "GET";
  request.target = "/models/17";
  request.headers = {{"accept", "application/json"}, {"user-agent", "benchmark"}};
  request.body = std::string(200, 'b');
  return request;
}

// Listener and pool with the same number of threads each.
struct echo_pair {
  io_threads accepting;
  io_threads connecting;
  std::unique_ptr<net::peer_listener> listener;
  net::peer_pool pool;

  explicit echo_pair(std::size_t threads)
      : accepting(threads), connecting(threads), pool(connecting.pointers(), settings()) {
    const net::peer_address any(asio::ip::make_address("127.0.0.1"), 0);
    listener =
        net::peer_listener::listen(accepting.pointers(), any, settings(), echo_handlers()).value();
  }
  ~echo_pair() {
    pool.stop();
    listener->stop();
  }

  static net::peer_settings settings() {
    net::peer_settings settings;
    settings.peer_key = "benchmark";
    return settings;
  }
};

// Sends calls at a fixed rate from one context and records the latency of each reply.
class open_loop : public std::enable_shared_from_this<open_loop> {
public:
  open_loop(echo_pair& pair, asio::io_context& context, double rate, std::uint64_t count)
      : pair_(pair), timer_(context), interval_(static_cast<std::int64_t>(1e9 / rate)),
        count_(count) {
    latencies_.reserve(count);
  }

  void start() {
    begin_ = support::monotonic_now();
    send_due_calls();
  }
  bool is_done() const { return done_.load() == count_; }
  const std::vector<double>& latencies() const { return latencies_; }

private:
  void send_due_calls() {
    const auto now = support::monotonic_now();
    while (sent_ < count_ && begin_ + interval_ * sent_ <= now) {
      send(begin_ + interval_ * sent_++);
    }
    if (sent_ < count_) {
      // Polls instead of waiting on a timer, whose slack would be measured as latency.
      asio::post(timer_.get_executor(), [self = shared_from_this()] { self->send_due_calls(); });
    }
  }
  void send(support::time_point scheduled) {
    pair_.pool.send_call(pair_.listener->address(), make_request(sent_),
                         support::monotonic_now() + support::seconds(5),
                         [self = shared_from_this(), scheduled](const wire::call_reply&) {
                           const auto latency = support::monotonic_now() - scheduled;
                           self->latencies_.push_back(static_cast<double>(latency.count()) / 1000);
                           self->done_.fetch_add(1);
                         });
  }

  echo_pair& pair_;
  asio::steady_timer timer_;
  support::duration interval_;
  std::uint64_t count_;
  support::time_point begin_{};
  std::uint64_t sent_ = 0;
  std::vector<double> latencies_;
  std::atomic<std::uint64_t> done_{0};
};

double percentile(std::vector<double>& values, double fraction) {
  const auto index = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

void echo_latency(benchmark::State& state) {
  const auto rate = static_cast<double>(state.range(0));
  for ([[maybe_unused]] const auto iteration : state) {
    echo_pair pair(1);
    auto& context = *pair.connecting.pointers()[0];
    const auto loop = std::make_shared<open_loop>(pair, context, rate, open_loop_calls);
    asio::post(context, [loop] { loop->start(); });
    while (!loop->is_done()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    auto latencies = loop->latencies();
    state.counters["p50_us"] = percentile(latencies, 0.50);
    state.counters["p99_us"] = percentile(latencies, 0.99);
    state.counters["p999_us"] = percentile(latencies, 0.999);
  }
}

// Sends the next call of a closed-loop caller; called again when that call has ended.
void send_next_call(echo_pair& pair, std::atomic<std::int64_t>& remaining,
                    std::atomic<std::int64_t>& ended) {
  if (remaining.fetch_sub(1) <= 0) {
    return;
  }
  pair.pool.send_call(pair.listener->address(), make_request(1),
                      support::monotonic_now() + support::seconds(5),
                      [&pair, &remaining, &ended](const wire::call_reply&) {
                        ended.fetch_add(1);
                        send_next_call(pair, remaining, ended);
                      });
}

void echo_throughput(benchmark::State& state) {
  const auto threads = static_cast<std::size_t>(state.range(0));
  const auto callers = state.range(1);
  for ([[maybe_unused]] const auto iteration : state) {
    echo_pair pair(threads);
    std::atomic<std::int64_t> remaining{closed_loop_calls};
    std::atomic<std::int64_t> ended{0};
    const auto begin = support::monotonic_now();
    for (std::int64_t caller = 0; caller < callers; ++caller) {
      asio::post(*pair.connecting.pointers()[static_cast<std::size_t>(caller) % threads],
                 [&] { send_next_call(pair, remaining, ended); });
    }
    while (ended < static_cast<std::int64_t>(closed_loop_calls)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    const std::chrono::duration<double> elapsed = support::monotonic_now() - begin;
    state.counters["calls_per_s"] = static_cast<double>(closed_loop_calls) / elapsed.count();
  }
}

} // namespace

BENCHMARK(echo_latency)->Arg(20000)->Iterations(1)->UseRealTime()->Repetitions(3);
BENCHMARK(echo_throughput)
    ->Args({1, 64})
    ->Args({2, 128})
    ->Iterations(1)
    ->UseRealTime()
    ->Repetitions(3);

BENCHMARK_MAIN();
