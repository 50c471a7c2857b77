#ifndef ACACIASILL_CONTROL_REPLICA_READS_H
#define ACACIASILL_CONTROL_REPLICA_READS_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "acaciasill/control/table_store.h"
#include "acaciasill/support/random.h"
#include "acaciasill/support/time.h"

namespace acaciasill::control {

// A read of a table.
struct table_read {
  std::string table;
  // Position for a read of changes; nullopt for a read of all rows.
  std::optional<feed_position> after;
  support::milliseconds wait{0};

  bool operator==(const table_read&) const = default;
};

// Reads a table from the copy of another daemon, given by its call address.
using replica_read =
    std::function<void(const std::string& address, const table_read&, store_callback)>;

// Settings of replica_reads.
struct replica_read_settings {
  // Longest wait of a read of changes from a replica. A daemon that has lost the store without
  // noticing delays a change by no more than this.
  support::milliseconds wait{500};
  // Time for which a replica that does not answer is not read.
  support::milliseconds unavailable_time{3000};
  // Time for which a replica that has lost the store is not read.
  support::milliseconds stale_time{200};
  // Minimum interval, with jitter, between reads from the store itself while replicas report that
  // it does not answer.
  support::milliseconds direct_interval{2000};

  bool operator==(const replica_read_settings&) const = default;
};

// Reads tables from replicas where there are any, by turns, and otherwise from the store; writes
// always go to the store. Used on the control thread only.
class replica_reads {
public:
  replica_reads(table_store direct, replica_read read_replica, delayed_call run_later,
                std::function<support::time_point()> now, std::uint64_t seed,
                replica_read_settings settings = {});
  replica_reads(const replica_reads&) = delete;
  replica_reads& operator=(const replica_reads&) = delete;
  ~replica_reads();

  // Returns the interface for followers. It must not be used after the destruction of this object.
  table_store store();

  // Sets the replicas to read from; none for reading from the store.
  void set_replicas(std::vector<std::string> call_addresses);
  const std::vector<std::string>& replicas() const { return replicas_; }

  // Whether the replica has answered lately, or has not been read yet.
  bool is_available(const std::string& call_address) const;

  // Makes the next read of all rows go to the store.
  void bypass_replicas_once() { bypasses_replicas_ = true; }

  // Time since the store last confirmed the copy of the table that these reads maintain; nullopt if
  // it has not yet.
  std::optional<support::duration> age_of(const std::string& table) const;

  // Numbers of reads from the store and from replicas.
  std::uint64_t direct_read_count() const { return direct_read_count_; }
  std::uint64_t replica_read_count() const { return replica_read_count_; }

private:
  struct attempt;

  void read(table_read request, store_callback done);
  void read_next(const std::shared_ptr<attempt>& current);
  void read_direct(const std::shared_ptr<attempt>& current);
  void handle_replica_result(const std::shared_ptr<attempt>& current, const std::string& address,
                             store_result result);
  void record_confirmed(const std::string& table, support::duration age);

  table_store direct_;
  replica_read read_replica_;
  delayed_call run_later_;
  std::function<support::time_point()> now_;
  support::random_source random_;
  replica_read_settings settings_;
  std::vector<std::string> replicas_;
  // Times until which replicas are not read: those that do not answer, and those that have lost the
  // store.
  std::map<std::string, support::time_point> unavailable_until_;
  std::map<std::string, support::time_point> stale_until_;
  support::time_point next_direct_{};
  // Latest times at which the store confirmed the copies, by table.
  std::map<std::string, support::time_point> confirmed_at_;
  // Number of reads from replicas, by table.
  std::map<std::string, std::size_t> next_replica_;
  bool bypasses_replicas_ = false;
  std::uint64_t direct_read_count_ = 0;
  std::uint64_t replica_read_count_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace acaciasill::control

#endif
