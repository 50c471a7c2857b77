#ifndef ACACIASILL_NET_LOAD_WORKER_H
#define ACACIASILL_NET_LOAD_WORKER_H

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "acaciasill/net/http_load_connection.h"
#include "acaciasill/net/load_plan.h"
#include "acaciasill/net/load_results.h"
#include "acaciasill/net/load_schedule.h"
#include "acaciasill/support/random.h"

namespace acaciasill::net {

// Load generator of one thread, which handles its share of the arrivals and clients of every class.
class load_worker {
public:
  // Creates worker `index` of plan.threads; the run starts at `begin`. The plan must outlive the
  // worker.
  load_worker(const load_plan& plan, std::uint32_t index, support::time_point begin);
  ~load_worker();
  load_worker(const load_worker&) = delete;
  load_worker& operator=(const load_worker&) = delete;

  // Runs the plan and returns when the last call has ended.
  void run();

  const load_results& results() const { return results_; }

private:
  struct pending_call;
  struct target_pool;
  struct class_state;
  using call_pointer = std::shared_ptr<pending_call>;

  support::duration now() const;
  void start_classes();
  void schedule_arrivals(std::size_t class_index);
  void start_client(std::size_t class_index, support::duration moment);
  void start_call(std::size_t class_index, support::duration arrival, bool closed_loop);
  void generate_ids(pending_call& call);
  void attempt(const call_pointer& call);
  void send(const call_pointer& call, target_pool& target,
            const std::shared_ptr<http_load_connection>& connection);
  std::string request_text(const pending_call& call, const target_pool& target) const;
  void on_response(const call_pointer& call, target_pool& target,
                   const std::shared_ptr<http_load_connection>& connection,
                   const load_response& response);
  void record_attempt(const pending_call& call, const load_response& response, call_result result);
  call_result classify_response(const pending_call& call, const load_response& response);
  void end_attempt(const call_pointer& call, call_result result);
  void end_call(const call_pointer& call, call_result result);
  void release_connection(target_pool& target,
                          const std::shared_ptr<http_load_connection>& connection);
  void expire_calls();

  const load_plan& plan_;
  std::uint32_t index_;
  support::time_point begin_;
  support::duration length_;
  support::random_source random_;
  // Random offset that keeps request ids unique between runs with the same seed.
  std::uint64_t run_salt_;
  asio::io_context io_;
  asio::steady_timer expiry_timer_;
  std::vector<std::unique_ptr<target_pool>> targets_;
  std::vector<std::unique_ptr<class_state>> classes_;
  std::unordered_set<call_pointer> active_;
  std::uint64_t active_clients_ = 0;
  load_results results_;
};

} // namespace acaciasill::net

#endif
