#ifndef ACACIASILL_TOOLS_STANDIN_PLATFORM_SERVICE_H
#define ACACIASILL_TOOLS_STANDIN_PLATFORM_SERVICE_H

#include <cstdint>

#include "acaciasill/net/http_server.h"
#include "faults.h"
#include "store.h"

namespace acaciasill::standin {

// Requests since the start; faulty counts those that a fault applied to.
struct request_counts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t faulty = 0;

  bool operator==(const request_counts&) const = default;
};

// Response to a request, with its delivery.
struct service_result {
  net::http_response response;
  // Whether the response is sent at all.
  bool is_sent = true;
  support::milliseconds delay{0};

  bool operator==(const service_result&) const = default;
};

// Request handler of the stand-in platform: applies injected faults and serves the store. Does no
// I/O. Not thread-safe.
class platform_service {
public:
  service_result handle(const net::http_request& request, support::time_point now);

private:
  net::http_response handle_fault(const std::string& query, support::time_point now);
  net::http_response handle_counts() const;
  net::http_response handle_rows(const net::http_request& request, const std::string& path,
                                 const std::string& query);
  net::http_response handle_row(const net::http_request& request, const std::string& key);
  net::http_response handle_transaction(const net::http_request& request);
  net::http_response handle_object(const net::http_request& request, const std::string& digest);

  platform_store store_;
  fault_injector faults_;
  request_counts counts_;
};

} // namespace acaciasill::standin

#endif
