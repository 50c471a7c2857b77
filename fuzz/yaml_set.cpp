// Feeds a configuration set as YAML, and its canonical form, through reading, checking and
// compiling.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "acaciasill/model/configuration_set.h"
#include "acaciasill/model/snapshot.h"
#include "acaciasill/model/validation.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace acaciasill::model;
  const std::string text(reinterpret_cast<const char*>(data), size);
  std::vector<finding> findings;
  loaded_set loaded;
  load_text("fuzz", text, loaded, findings);
  normalise(loaded.set);
  const auto whole = validate(loaded.set, loaded.sources, "fuzz");
  for (const auto& problem : whole) {
    format_finding(problem);
  }
  if (whole.empty() && findings.empty()) {
    const auto bytes = serialise(loaded.set);
    const auto parsed = parse_set(bytes);
    if (!parsed.ok() || *parsed != loaded.set || !compile_snapshot(*parsed).ok()) {
      std::abort(); // A good set must come back whole and compile.
    }
  }
  if (const auto parsed = parse_set(text); parsed.ok()) {
    static_cast<void>(compile_snapshot(*parsed));
  }
  return 0;
}
