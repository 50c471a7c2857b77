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

// Synchronous client of the platform: each call blocks until the platform answers or the session's
// time limit is reached.
class platform_session {
public:
  // The timeout limits the session as a whole, counted from construction.
  platform_session(const std::string& url, support::milliseconds timeout);

  // Reads the head in force; its generation is 0 where nothing has been published. Errors:
  // platform_unavailable, platform_corrupt.
  absl::StatusOr<control::configuration_head> read_head();

  // Reads the head of one generation. Errors: platform_not_found, platform_unavailable,
  // platform_corrupt.
  absl::StatusOr<control::configuration_head> read_generation(std::uint64_t generation);

  // Reads up to count heads, newest first. Errors: platform_unavailable, platform_corrupt.
  absl::StatusOr<std::vector<control::configuration_head>> read_history(std::uint64_t count);

  // Reads an object whose bytes match the digest. Errors: platform_not_found,
  // platform_unavailable.
  absl::StatusOr<std::string> read_object(const std::string& digest);

  // Runs a publication until it succeeds, fails or reaches the session's time limit.
  control::publication_finished publish(control::publication_plan plan);

  // Returns a random 128-bit publication token in hexadecimal.
  static std::string make_token();

private:
  control::platform_answer execute(control::platform_operation operation);
  absl::StatusOr<control::configuration_head> read_head_row(const std::string& key);
  support::milliseconds time_left() const;

  // Waits for the next answer; nullopt if none arrives by the given time.
  std::optional<control::platform_answer> wait_until(support::time_point when);

  const support::time_point deadline_;
  std::uint64_t last_ticket_ = 0;
  std::mutex mutex_;
  std::condition_variable answer_arrived_;
  std::deque<control::platform_answer> answers_;
  // Declared last, so that the client's thread ends before the members that it uses are destroyed.
  net::platform_client client_;
};

} // namespace acaciasill::ctl

#endif
