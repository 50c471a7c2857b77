#include "settings.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

#include <unistd.h>

#include <catch2/catch.hpp>

#include "configuration_row.h"

using namespace acaciasill::platform;

namespace {

// Reads a settings file with the service and further lines.
node_settings read_settings(const std::string& service, const std::string& lines) {
  const auto path = (std::filesystem::temp_directory_path() /
                     ("acaciasill-settings-" + std::to_string(::getpid())))
                        .string();
  std::ofstream(path) << "name: n\ndata_centre: d\nregion: r\nservice: \"" << service
                      << "\"\nown_ip: 127.0.0.1\nbackend_address: 127.0.0.1:1\n"
                         "callers_listen: 127.0.0.1:2\nready_listen: 127.0.0.1:3\n"
                         "reports_listen: 127.0.0.1:4\nfirst_port: 7000\n"
                         "store_address: 127.0.0.1:5\n"
                      << lines;
  node_settings settings;
  const auto findings = read_node_settings(path, settings);
  std::remove(path.c_str());
  REQUIRE(findings.empty());
  return settings;
}

} // namespace

TEST_CASE("the service has the same name in the settings and in the configuration") {
  for (const std::string service : {"huvo11a", "nox78a37d", "A_b"}) {
    const auto settings = read_settings(service, "");
    CHECK(settings.platform_service == service);
    CHECK(settings.daemon.service == encode_name(service));
  }
}

TEST_CASE("the time in which a configuration has to be in force is a setting") {
  using acaciasill::support::milliseconds;
  CHECK(read_settings("s", "").daemon.configuration_bound == milliseconds(2000));
  CHECK(read_settings("s", "configuration_bound_s: 2.5\n").daemon.configuration_bound ==
        milliseconds(2500));
}

TEST_CASE("incomplete answers may occupy a quarter of the process's memory") {
  const auto limit = [](const std::string& lines) {
    return acaciasill::daemon::max_buffered_bytes(read_settings("s", lines).daemon);
  };
  CHECK(limit("memory_mb: 260\n") == std::size_t{65} << 20U);
  CHECK(limit("memory_mb: 260\nthreads: 4\n") == (std::size_t{65} << 20U) / 4);
  CHECK(limit("memory_mb: 0\n") == acaciasill::net::default_max_buffered_bytes);
  CHECK(limit("") == acaciasill::net::default_max_buffered_bytes);
}
