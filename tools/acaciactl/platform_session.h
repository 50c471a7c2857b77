#ifndef ACACIASILL_TOOLS_ACACIACTL_PLATFORM_SESSION_H
#define ACACIASILL_TOOLS_ACACIACTL_PLATFORM_SESSION_H

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "acaciasill/control/configuration_head.h"
#include "acaciasill/control/platform.h"
#include "acaciasill/control/publication.h"
#include "acaciasill/model/configuration.h"
#include "acaciasill/net/platform_client.h"
#include "acaciasill/support/random.h"
#include "acaciasill/support/time.h"

namespace acaciasill::ctl {

// A conversation with the platform that waits for each answer.
class platform_session {
public:
  // The whole session takes no longer than the timeout.
  platform_session(const std::string& url, support::milliseconds timeout);

  // The head in force; generation 0 where nothing was published. Errors: platform_unavailable,
  // platform_corrupt.
  absl::StatusOr<control::configuration_head> read_head();

  // The head of one generation. Errors: platform_not_found, platform_unavailable,
  // platform_corrupt.
  absl::StatusOr<control::configuration_head> read_generation(std::uint64_t generation);

  // The newest heads, at most count of them, the newest first.
  absl::StatusOr<std::vector<control::configuration_head>> read_history(std::uint64_t count);

  // The bytes of an object, whose digest has been checked. Errors: platform_not_found,
  // platform_unavailable.
  absl::StatusOr<std::string> read_object(const std::string& digest);

  // Runs a publication to its end.
  control::publication_finished publish(control::publication_plan plan);

  // Random text for a publication's token.
  static std::string make_token();

private:
  control::platform_answer ask(control::platform_operation operation);
  absl::StatusOr<control::configuration_head> read_head_row(const std::string& key);
  support::milliseconds time_left() const;

  // The next answer, or nothing once the moment has come.
  std::optional<control::platform_answer> wait_until(support::time_point when);

  const support::time_point deadline_;
  std::uint64_t last_ticket_ = 0;
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::deque<control::platform_answer> answers_;
  // Last, so that its thread ends before the rest goes.
  net::platform_client client_;
};

} // namespace acaciasill::ctl

#endif
