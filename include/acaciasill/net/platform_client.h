#ifndef ACACIASILL_NET_PLATFORM_CLIENT_H
#define ACACIASILL_NET_PLATFORM_CLIENT_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "acaciasill/control/platform.h"
#include "acaciasill/net/circuit_breaker.h"
#include "acaciasill/support/time.h"

// Sends requests to the platform over HTTP with libcurl, on a thread of its own.
namespace acaciasill::net {

// Settings of a platform client.
struct platform_client_settings {
  // URL of the platform without a path, such as "http://127.0.0.1:9000".
  std::string url;
  // Maximum number of requests in flight; further ones wait.
  std::size_t max_in_flight = 8;
  // Maximum number of waiting requests; a request beyond it fails without being sent.
  std::size_t max_waiting = 256;
  // Maximum time of one attempt of an idempotent request.
  support::milliseconds attempt_timeout{1000};
  // Bounds of the backoff with full jitter between attempts of one request.
  support::milliseconds min_backoff{50};
  support::milliseconds max_backoff{2000};
  breaker_settings breaker;
  // Seed of the backoff jitter; 0 selects a random seed.
  std::uint64_t seed = 0;

  bool operator==(const platform_client_settings&) const = default;
};

// Counters of a platform client, for metrics.
struct platform_client_counters {
  std::uint64_t attempts = 0;
  std::uint64_t done = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed_before = 0;
  std::uint64_t unknown = 0;
  std::size_t in_flight = 0;
  std::size_t waiting = 0;
  bool breaker_open = false;

  bool operator==(const platform_client_counters&) const = default;
};

// Client of the platform. Reads and object writes are retried until their timeout. A row write is
// sent on a fresh connection, on which libcurl never resends, and is retried only if no attempt can
// have taken effect. Each request gets exactly one answer unless the client is destroyed first.
class platform_client {
public:
  // Receives the answers, on the client's thread.
  using answer_callback = std::function<void(control::platform_answer)>;

  platform_client(platform_client_settings settings, answer_callback on_answer);

  // Cancels the requests in flight and joins the thread.
  ~platform_client();
  platform_client(const platform_client&) = delete;
  platform_client& operator=(const platform_client&) = delete;

  // Starts a request. May be called from any thread, including from the answer callback.
  void send(control::platform_request request);

  platform_client_counters counters() const;

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace acaciasill::net

#endif
