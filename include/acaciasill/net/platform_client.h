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

// Carries requests to the platform over HTTP by libcurl, on a thread of its own.
namespace acaciasill::net {

// How a client turns to the platform.
struct platform_client_settings {
  // The platform's URL without a path, "http://127.0.0.1:9000".
  std::string url;
  // Requests that are under way at once; further ones wait.
  std::size_t max_in_flight = 8;
  // Requests that may wait; one more fails before it is sent.
  std::size_t max_waiting = 256;
  // The longest time of one attempt of a request that may be repeated.
  support::milliseconds attempt_timeout{1000};
  // Full jitter between the attempts of one request.
  support::milliseconds min_backoff{50};
  support::milliseconds max_backoff{2000};
  breaker_settings breaker;
  // The seed of backoff; 0 takes one from the machine.
  std::uint64_t seed = 0;

  bool operator==(const platform_client_settings&) const = default;
};

// What a client has done, for metrics.
struct platform_client_counts {
  std::uint64_t attempts = 0;
  std::uint64_t done = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed_before = 0;
  std::uint64_t unknown = 0;
  std::size_t in_flight = 0;
  std::size_t waiting = 0;
  bool breaker_open = false;

  bool operator==(const platform_client_counts&) const = default;
};

// The client. Reads and writes of objects are repeated within their timeout; a write of rows goes
// out once, on a connection that libcurl never repeats on, and again only where no byte of it was
// sent. Each request ends by exactly one answer, unless the client is destroyed before.
class platform_client {
public:
  // The function is called on the client's thread.
  using answer_function = std::function<void(control::platform_answer)>;

  platform_client(platform_client_settings settings, answer_function on_answer);

  // Gives up what is under way, and waits for the thread.
  ~platform_client();
  platform_client(const platform_client&) = delete;
  platform_client& operator=(const platform_client&) = delete;

  // Starts a request. May be called from any thread, also from the answer function.
  void send(control::platform_request request);

  platform_client_counts counts() const;

private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace acaciasill::net

#endif
