#ifndef STANDIN_BACKEND_CALL_JOB_H
#define STANDIN_BACKEND_CALL_JOB_H

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <asio/steady_timer.hpp>
#include <restinio/all.hpp>

#include "acaciasill/support/time.h"
#include "server_context.h"
#include "slot_pool.h"

namespace acaciasill::standin {

// Call metadata from the request headers.
struct call_info {
  std::string request_id;
  std::string idempotency_key;
  // Header lines "name: value" that are forwarded on child calls.
  std::vector<std::string> forwarded_headers;
  std::optional<support::time_point> deadline;

  bool operator==(const call_info&) const = default;
};

// Reads the headers of a request. The deadline counts from now.
call_info read_call_info(const restinio::request_t& request);

// One incoming call: acquires a slot, works for its service time, makes its child calls and
// responds.
class call_job : public slot_waiter, public std::enable_shared_from_this<call_job> {
public:
  call_job(server_context& context, restinio::request_handle_t request);

  // Counts the call, registers it with its connection and requests a slot.
  void begin();

  void on_slot_granted() override;

  // Stops the call and its child calls because the caller's connection has closed.
  void cancel();

private:
  enum class stage : std::uint8_t { waiting, working, calling, done };

  void start_work(bool first_on_connection);
  void on_work_done();
  void submit_children();
  client_request child_request(const child_call& child, std::uint32_t number) const;
  void on_child_reply(const child_call& child, std::uint64_t body_hash, const client_reply& reply);
  void send_answer();
  void refuse();
  void respond(restinio::http_status_line_t status, std::string body, bool not_started);
  void release_slot();
  // Moves to the done stage and releases the slot; false if the call was done already.
  bool try_finish();
  support::duration service_time() const;
  bool is_expired() const;

  server_context& context_;
  restinio::request_handle_t request_;
  call_info info_;
  asio::steady_timer timer_;
  bool first_on_connection_ = false;
  std::mutex mutex_;
  stage stage_ = stage::waiting;
  bool holds_slot_ = false;
  std::vector<std::uint64_t> child_tickets_;
  std::size_t pending_children_ = 0;
  long child_failure_status_ = 0;
};

} // namespace acaciasill::standin

#endif
