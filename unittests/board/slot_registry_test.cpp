#include "acaciasill/board/slot_registry.h"

#include <memory>
#include <thread>

#include <catch2/catch.hpp>

#include "acaciasill/board/rcu_cell.h"

using namespace acaciasill::board;

TEST_CASE("a name keeps its slot and late names share the last one") {
  slot_registry registry(3);
  CHECK(registry.slot_of("a") == 0);
  CHECK(registry.slot_of("b") == 1);
  CHECK(registry.slot_of("c") == 2);
  CHECK(registry.slot_of("d") == 2);
  CHECK(registry.slot_of("a") == 0);
}

TEST_CASE("a reader keeps the value that it read while a writer replaces it") {
  rcu_cell<int> cell(std::make_unique<const int>(1));
  std::thread writer;
  {
    rcu_reader_thread registration;
    {
      const rcu_read_guard guard;
      const int& seen = cell.read(guard);
      writer = std::thread([&cell] { cell.publish(std::make_unique<const int>(2)); });
      CHECK(seen == 1);
    }
    writer.join();
    const rcu_read_guard guard;
    CHECK(cell.read(guard) == 2);
  }
}
