// Loads, validates and compiles the input as a configuration set, both as YAML and in canonical
// form.
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
  const auto problems = validate(loaded.set, loaded.sources, "fuzz");
  for (const auto& problem : problems) {
    format_finding(problem);
  }
  if (problems.empty() && findings.empty()) {
    const auto bytes = serialise(loaded.set);
    const auto parsed = parse_set(bytes);
    if (!parsed.ok() || *parsed != loaded.set || !compile_snapshot(*parsed).ok()) {
      std::abort(); // A valid set must survive serialisation unchanged and compile.
    }
  }
  if (const auto parsed = parse_set(text); parsed.ok()) {
    static_cast<void>(compile_snapshot(*parsed));
  }
  return 0;
}
