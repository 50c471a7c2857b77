// Compiles the claims with an injected fault in a separate namespace, to show that the model
// detects the fault. Headers outside that namespace have to be included before the macro renames
// it.
#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <variant>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

#include "acaciasill/support/hash.h"
#include "acaciasill/support/random.h"
#include "acaciasill/support/result_code.h"
#include "acaciasill/support/time.h"

#define ACS_FAULT_CLAIM_IS_A_LEASE
#define control control_with_leases

#include "../../lib/control/claims.cpp"
#include "../../lib/control/claims_resolution.cpp"
#include "../../lib/control/claims_row.cpp"

#include "control/claims_model.h"

#undef control

namespace {

using namespace acaciasill::control_with_leases::tests;

// Number of cases within which the fault has to be detected.
constexpr int max_cases = 1000;

} // namespace

TEST_CASE("the model detects a claim that is taken over like a lease", "[control]") {
  rc::detail::TestParams parameters;
  parameters.seed = 20261203;
  parameters.maxSuccess = max_cases;
  const auto result = rc::detail::checkTestable([] { check_at_most_once(*generate_actions()); },
                                                rc::detail::TestMetadata(), parameters);
  REQUIRE(result.is<rc::detail::FailureResult>());
  WARN("detected after " << result.get<rc::detail::FailureResult>().numSuccess << " passing cases");
}
