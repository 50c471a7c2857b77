#include "acaciasill/board/slot_registry.h"

#include <memory>
#include <thread>

#include <catch2/catch.hpp>

#include "acaciasill/board/rcu_cell.h"

using namespace acaciasill::board;

TEST_CASE("a name keeps its slot, and names beyond the capacity share the last one") {
  slot_registry registry(3);
  CHECK(registry.slot_of("a") == 0);
  CHECK(registry.slot_of("b") == 1);
  CHECK(registry.slot_of("c") == 2);
  CHECK(registry.slot_of("d") == 2);
  CHECK(registry.slot_of("a") == 0);
}

// Guards against publish() blocking on readers: a stalled reader would then stall the control
// thread.
TEST_CASE("a writer does not block on readers, and the value is freed after the last reader") {
  const rcu_reader_thread registration;
  const auto value = std::make_shared<int>(1);
  rcu_cell<std::shared_ptr<int>> cell(std::make_unique<const std::shared_ptr<int>>(value));
  {
    const rcu_read_guard guard;
    const auto& seen = cell.read(guard);
    cell.publish(std::make_unique<const std::shared_ptr<int>>());
    CHECK(*seen == 1);
    CHECK(value.use_count() == 2);
  }
  wait_for_deferred_releases();
  CHECK(value.use_count() == 1);
}

TEST_CASE("a value stays valid for its reader while a writer replaces it") {
  rcu_cell<int> cell(std::make_unique<const int>(1));
  std::thread writer;
  {
    rcu_reader_thread registration;
    {
      const rcu_read_guard guard;
      const int& seen = cell.read(guard);
      writer = std::thread([&cell] {
        const rcu_reader_thread writer_registration;
        cell.publish(std::make_unique<const int>(2));
      });
      CHECK(seen == 1);
    }
    writer.join();
    const rcu_read_guard guard;
    CHECK(cell.read(guard) == 2);
  }
}
