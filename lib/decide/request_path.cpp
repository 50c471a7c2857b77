#include "acaciasill/decide/request_path.h"

namespace acaciasill::decide {

void on_reply(upstream_load& load, entry_thresholds& thresholds,
              std::span<const std::uint32_t> subjects, attempt_budget& budget,
              const reply_facts& reply, support::time_point now) {
  end_attempt(load);
  record_result(load, reply.upstream_failed, now);
  if (reply.load.limit != 0) {
    record_load(load, reply.load, now);
  }
  for (const auto subject : subjects) {
    record_threshold(thresholds, subject, reply.organisation, reply.threshold, now);
  }
  return_attempts(budget, reply.lent_attempts, reply.unused_attempts, budget_epoch(budget));
}

void on_reply(upstream_load& load, const lost_reply& /*lost*/, support::time_point now) {
  end_attempt(load);
  record_result(load, true, now);
}

} // namespace acaciasill::decide
