#ifndef ACACIASILL_DAEMON_REQUEST_THREAD_H
#define ACACIASILL_DAEMON_REQUEST_THREAD_H

#include <cstddef>
#include <memory>
#include <string_view>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include "acaciasill/daemon/trace.h"
#include "acaciasill/net/http_client.h"
#include "acaciasill/support/hash.h"
#include "acaciasill/support/random.h"

// Thread that serves calls, with its unshared state.
namespace acaciasill::daemon {

// Number of trace records that each thread keeps for the explain endpoint.
inline constexpr std::size_t trace_capacity = 4096;

// Event loop of one thread and the objects that run on it.
struct request_thread {
  request_thread(std::size_t thread_index, std::uint64_t seed, std::string_view secret)
      : index(thread_index), context(1), work(asio::make_work_guard(context)), random(seed),
        signer(secret), traces(trace_capacity) {}

  std::size_t index;
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  support::random_source random;
  // Signs the call contexts that the local backend server returns.
  support::hmac_signer signer;
  trace_ring traces;
  std::unique_ptr<net::http_client> backend;
  std::thread thread;
};

} // namespace acaciasill::daemon

#endif
