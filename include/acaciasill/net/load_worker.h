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

// One thread's part of a run: its share of every class's arrivals and clients.
class load_worker {
public:
  // The worker is number `index` of plan.threads; the run begins at the moment given.
  load_worker(const load_plan& plan, std::uint32_t index, support::time_point begin);
  ~load_worker();
  load_worker(const load_worker&) = delete;
  load_worker& operator=(const load_worker&) = delete;

  // Runs the whole plan and returns when its last call has ended.
  void run();

  const load_results& results() const { return results_; }

private:
  struct call;
  struct target;
  struct stream;
  using call_pointer = std::shared_ptr<call>;

  support::duration now() const;
  void start_streams();
  void schedule(std::size_t kind);
  void start_client(std::size_t kind, support::duration moment);
  void begin_call(std::size_t kind, support::duration arrival, bool closed_loop);
  void renew_ids(call& one);
  void attempt(const call_pointer& one);
  void send(const call_pointer& one, target& where,
            const std::shared_ptr<http_load_connection>& connection);
  std::string request_text(const call& one, const target& where) const;
  void on_response(const call_pointer& one, target& where,
                   const std::shared_ptr<http_load_connection>& connection,
                   const load_response& response);
  void note_attempt(const call& one, const load_response& response, call_result result);
  call_result judge(const call& one, const load_response& response);
  void end_attempt(const call_pointer& one, call_result result);
  void end_call(const call_pointer& one, call_result result);
  void release(target& where, const std::shared_ptr<http_load_connection>& connection);
  void watch();

  const load_plan& plan_;
  std::uint32_t index_;
  support::time_point begin_;
  support::duration length_;
  support::random_source random_;
  // Keeps the ids of two runs with one seed apart.
  std::uint64_t run_salt_;
  asio::io_context io_;
  asio::steady_timer watch_timer_;
  std::vector<std::unique_ptr<target>> targets_;
  std::vector<std::unique_ptr<stream>> streams_;
  std::unordered_set<call_pointer> active_;
  std::uint64_t clients_left_ = 0;
  load_results results_;
};

} // namespace acaciasill::net

#endif
