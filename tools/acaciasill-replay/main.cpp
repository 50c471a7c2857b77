#include <cstdio>
#include <fstream>
#include <iostream>

#include <getopt.h>

#include "session.h"

namespace {

constexpr int exit_usage = 2;
constexpr int exit_bad_session = 1;

void print_usage(std::ostream& output) {
  output << "usage: acaciasill-replay [--all] FILE\n"
            "Replays a recorded session (JSON lines) and prints the decisions.\n"
            "  --all      also print datagrams, timers and platform reads\n"
            "  --version  print the version\n";
}

} // namespace

int main(int argc, char** argv) {
  acaciasill::replay::replay_options options;
  const option long_options[] = {{"all", no_argument, nullptr, 'a'},
                                 {"help", no_argument, nullptr, 'h'},
                                 {"version", no_argument, nullptr, 'v'},
                                 {nullptr, 0, nullptr, 0}};
  for (int opt = 0; (opt = getopt_long(argc, argv, "ah", long_options, nullptr)) != -1;) {
    switch (opt) {
    case 'a':
      options.all = true;
      break;
    case 'h':
      print_usage(std::cout);
      return 0;
    case 'v':
      std::cout << "acaciasill-replay " << ACS_VERSION << '\n';
      return 0;
    default:
      print_usage(std::cerr);
      return exit_usage;
    }
  }
  if (optind + 1 != argc) {
    print_usage(std::cerr);
    return exit_usage;
  }
  std::ifstream file(argv[optind]);
  if (!file) {
    std::cerr << "acaciasill-replay: cannot read " << argv[optind] << '\n';
    return exit_usage;
  }
  if (const auto status = acaciasill::replay::replay_session(file, std::cout, options);
      !status.ok()) {
    std::cerr << "acaciasill-replay: " << std::string(status.message()) << '\n';
    return exit_bad_session;
  }
  return 0;
}
