#include "acaciasill/net/load_run.h"

#include <algorithm>
#include <csignal>
#include <memory>
#include <thread>

#include <curl/curl.h>

#include "acaciasill/net/load_worker.h"
#include "acaciasill/support/log.h"

namespace acaciasill::net {
namespace {

// Delay of the first arrival, so that all threads have started by then.
constexpr support::milliseconds start_delay{50};
constexpr long post_timeout_ms = 2000;
constexpr long status_ok = 200;

std::size_t discard_body(char*, std::size_t size, std::size_t count, void*) {
  return size * count;
}

bool post(const std::string& url, const std::string& body) {
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(),
                                                                   &curl_easy_cleanup);
  curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, post_timeout_ms);
  curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &discard_body);
  if (curl_easy_perform(handle.get()) != CURLE_OK) {
    return false;
  }
  long status = 0;
  curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
  return status / 100 == status_ok / 100;
}

int signal_number(fault_signal signal) {
  switch (signal) {
  case fault_signal::stop:
    return SIGSTOP;
  case fault_signal::resume:
    return SIGCONT;
  case fault_signal::kill:
    return SIGKILL;
  case fault_signal::terminate:
    return SIGTERM;
  case fault_signal::none:
    break;
  }
  return 0;
}

void inject_faults(const load_plan& plan, support::time_point begin) {
  auto faults = plan.faults;
  std::stable_sort(
      faults.begin(), faults.end(),
      [](const load_fault& left, const load_fault& right) { return left.at < right.at; });
  for (const auto& fault : faults) {
    std::this_thread::sleep_until(begin + fault.at);
    if (!inject_fault(fault)) {
      support::write_log(support::log_level::error, "faults",
                         "fault at " + std::to_string(fault.at.count()) +
                             " ms could not be injected");
    }
  }
}

} // namespace

bool inject_fault(const load_fault& fault) {
  if (!fault.post.empty()) {
    return post(fault.post, fault.body);
  }
  return ::kill(static_cast<pid_t>(fault.pid), signal_number(fault.signal)) == 0;
}

load_results run_load(const load_plan& plan) {
  const auto begin = support::monotonic_now() + start_delay;
  std::vector<std::unique_ptr<load_worker>> workers;
  std::vector<std::thread> threads;
  for (std::uint32_t index = 0; index < plan.threads; ++index) {
    workers.push_back(std::make_unique<load_worker>(plan, index, begin));
    threads.emplace_back([&worker = *workers.back()] { worker.run(); });
  }
  inject_faults(plan, begin);
  load_results results(plan);
  for (std::size_t index = 0; index < threads.size(); ++index) {
    threads[index].join();
    results.merge(workers[index]->results());
  }
  return results;
}

} // namespace acaciasill::net
