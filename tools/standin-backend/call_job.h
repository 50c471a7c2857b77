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

// What a request's headers say of the call.
struct call_info {
  std::string request_id;
  std::string idempotency_key;
  // Lines "name: value" that are passed down to the server's own calls.
  std::vector<std::string> passed_headers;
  std::optional<support::time_point> deadline;

  bool operator==(const call_info&) const = default;
};

// Reads the headers of a request that arrived now.
call_info read_call_info(const restinio::request_t& request);

// One call: it waits for a slot, works for a while, makes its own calls and answers.
class call_job : public slot_waiter, public std::enable_shared_from_this<call_job> {
public:
  call_job(server_context& context, restinio::request_handle_t request);

  // Registers the call and asks for a slot.
  void begin();

  void start() override;

  // Stops the call, since its caller has gone.
  void cancel();

private:
  enum class stage : std::uint8_t { waiting, working, calling, done };

  void work(bool first_on_connection);
  void on_worked();
  void submit_children();
  client_request child_request(const child_call& child, std::uint32_t number) const;
  void on_child(const child_call& child, std::uint64_t body_hash, const client_reply& reply);
  void answer();
  void refuse();
  void respond(restinio::http_status_line_t status, std::string body, bool not_started);
  void give_slot_back();
  // Moves to the last stage; false where the call is there already.
  bool enter_done();
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
  std::vector<std::uint64_t> children_;
  std::size_t children_left_ = 0;
  long child_failure_ = 0;
};

} // namespace acaciasill::standin

#endif
