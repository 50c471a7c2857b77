#include <cstdint>
#include <optional>
#include <string>

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "net/answering_server.h"

#include "store_client.h"

// Answers of the table service that state less than an answer has, or values out of range. The
// service may be behind a faulty proxy, or faulty itself.

using namespace acaciasill;
using namespace acaciasill::net::testing;
using control::store_end;
using control::store_result;

namespace {

enum class operation : std::uint8_t { read_all, read_changes, write };

store_result run(operation what, const std::string& body, const std::string& fields = "") {
  asio::io_context context;
  answering_server server(context);
  server.text = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body;
  const auto store = platform::make_table_store(context, server.address());
  std::optional<store_result> result;
  const auto done = [&result](const store_result& answer) { result = answer; };
  switch (what) {
  case operation::read_all:
    store.read_all("t", done);
    break;
  case operation::read_changes:
    store.read_changes("t", {5, 0}, support::milliseconds(100), done);
    break;
  case operation::write:
    store.write("t", {"k", "v", 0, false, false}, 0, done);
    break;
  }
  while (!result) {
    context.run_one();
  }
  return *result;
}

} // namespace

TEST_CASE("an answer of the store without rows is not an empty table") {
  const auto what = GENERATE(operation::read_all, operation::read_changes);
  const auto body = GENERATE(values<std::string>(
      {"{}", "[]", "null", "1", "\"rows\"", R"({"ver":9,"has_more":false})",
       R"({"rows":null,"ver":9})", R"({"rows":{},"ver":9})", R"({"rows":"","ver":9})"}));
  INFO(body);
  CHECK(run(what, body).end == store_end::unknown);
}

TEST_CASE("an answer of the store with a version out of range is not taken") {
  const auto what = GENERATE(operation::read_all, operation::read_changes, operation::write);
  const auto version =
      GENERATE(values<std::string>({"-1", "1.5", "1e30", "\"9\"", "null", "true"}));
  INFO(version);
  CHECK(run(what, R"({"rows":[],"ver":)" + version + "}").end == store_end::unknown);
  const auto row = R"({"rows":[{"key":"k","value":"dg==","ver":)" + version + R"(}],"ver":9})";
  CHECK(run(what, row).end == store_end::unknown);
}

TEST_CASE("an answer of the store without a version is not taken") {
  const auto what = GENERATE(operation::read_all, operation::read_changes, operation::write);
  CHECK(run(what, R"({"rows":[]})").end == store_end::unknown);
}

TEST_CASE("an answer of the store whose era cannot be read is not taken") {
  const auto what = GENERATE(operation::read_all, operation::read_changes);
  const auto era = GENERATE(values<std::string>({"x", "-1", "1.5", "99999999999999999999"}));
  INFO(era);
  CHECK(run(what, R"({"rows":[],"ver":9})", "Store-Era: " + era + "\r\n").end ==
        store_end::unknown);
}

TEST_CASE("complete answers of the store are taken") {
  const auto read = run(operation::read_all,
                        R"({"rows":[{"key":"k","value":"dg==","ver":3}],)"
                        R"("ver":9,"has_more":false,"now_s":1.5})",
                        "Store-Era: 2\r\n");
  CHECK(read.end == store_end::done);
  CHECK(read.version == 9);
  CHECK(read.era == 2);
  REQUIRE(read.rows.size() == 1);
  CHECK(read.rows[0] == control::stored_row{"k", "v", 3, false, false});
  CHECK(run(operation::write, R"({"ver":9,"now_s":1.5})").end == store_end::done);
}
