#ifndef ACACIASILL_UNITTESTS_DECIDE_FAULT_INJECTION_H
#define ACACIASILL_UNITTESTS_DECIDE_FAULT_INJECTION_H

#include <cstdio>

#include <rapidcheck.h>

namespace acaciasill::decide::testing {

// Runs a property with an injected fault and returns the number of cases until it first fails, 0 if
// it never does. The number is printed for docs/TESTING-decide.md.
template <class Property>
int cases_until_failure(const char* fault, const Property& holds) {
  int cases = 0;
  int found = 0;
  rc::check([&] {
    if (found == 0) {
      ++cases;
      found = holds() ? 0 : cases;
    }
  });
  std::printf("fault '%s' found after %d cases\n", fault, found);
  return found;
}

} // namespace acaciasill::decide::testing

#endif
