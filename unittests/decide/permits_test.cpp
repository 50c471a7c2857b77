#include "acaciasill/decide/permits.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>

#include <catch2/catch.hpp>

#include "acaciasill/support/random.h"

using namespace acaciasill;
using namespace acaciasill::decide;
using support::milliseconds;
using support::time_point;

namespace {

constexpr bucket_part ten_per_second{10.0, 5.0};
const time_point start{std::chrono::hours(1)};

// Fills the bucket.
void wait_until_full(const bucket_part& part, time_point& now) {
  now += std::chrono::duration_cast<support::duration>(
      std::chrono::duration<double>(2.0 * part.capacity / part.rate));
}

} // namespace

TEST_CASE("a bucket holds what has accrued, up to its capacity") {
  permit_bucket bucket;
  auto now = start;
  reset_permits(bucket, now);
  CHECK(take_permits(bucket, ten_per_second, 100, 0.0, now) == 0);
  CHECK(take_permits(bucket, ten_per_second, 1, 0.0, now + milliseconds(90)) == 0);
  CHECK(support::whole_milliseconds(
            time_to_permit(bucket, ten_per_second, now + milliseconds(89))) == 10);
  CHECK(take_permits(bucket, ten_per_second, 100, 0.0, now + milliseconds(100)) == 1);
  wait_until_full(ten_per_second, now);
  CHECK(take_permits(bucket, ten_per_second, 100, 0.0, now) == 5);
  CHECK(take_permits(bucket, ten_per_second, 1, 0.0, now) == 0);
  add_permits(bucket, ten_per_second, 2, now);
  CHECK(take_permits(bucket, ten_per_second, 100, 0.0, now) == 2);
  add_permits(bucket, ten_per_second, 100, now);
  CHECK(take_permits(bucket, ten_per_second, 100, 0.0, now) == 5);
}

TEST_CASE("a transfer leaves the giver a part of its permits") {
  permit_bucket bucket;
  auto now = start;
  reset_permits(bucket, now);
  wait_until_full(ten_per_second, now);
  add_permits(bucket, ten_per_second, 100, now);
  CHECK(permits_to_request(bucket, ten_per_second, now) == 0);
  CHECK(take_for_transfer(bucket, ten_per_second, 100, now) == 4);
  CHECK(take_for_transfer(bucket, ten_per_second, 100, now) == 0);
  CHECK(take_permits(bucket, ten_per_second, 100, 0.0, now) == 1);
  CHECK(permits_to_request(bucket, ten_per_second, now) == 2);
}

TEST_CASE("daemons with the same view choose the same coordinators") {
  std::vector<std::string> addresses;
  addresses.reserve(300);
  for (int index = 0; index < 300; ++index) {
    addresses.push_back("10.0.0." + std::to_string(index) + ":1");
  }
  auto reversed = addresses;
  std::reverse(reversed.begin(), reversed.end());
  const auto group = make_group("dc", addresses);
  CHECK(group == make_group("dc", reversed));
  CHECK(group.daemons == 300);
  CHECK(group.addresses.size() == coordinator_count(300));
  std::map<std::uint32_t, int> organisations;
  for (std::uint64_t hash = 1; hash <= 1000; ++hash) {
    const auto chosen = choose_coordinators(group, hash);
    REQUIRE(chosen.size() == coordinator_candidates);
    CHECK(chosen[0] != chosen[1]);
    ++organisations[chosen[0]];
  }
  CHECK(organisations.size() == group.addresses.size());
  CHECK(choose_coordinators(make_group("dc", {}), 1).empty());
}

TEST_CASE("malformed messages about permits are rejected") {
  const permit_request request{~std::uint64_t{0}, 7, permit_sender::coordinator};
  CHECK(decode_permit_request(encode(request)) == request);
  const permit_grant grant{3, milliseconds(250)};
  CHECK(decode_permit_grant(encode(grant)) == grant);
  for (const auto* text : {"", "1", "1 2", "1 2 3", "1 2 0 ", " 1 2 0", "1  2 0", "-1 2 0",
                           "1 2 0x", "1 99999999999 0", "99999999999999999999999 1 0"}) {
    CHECK_FALSE(decode_permit_request(text).has_value());
  }
  for (const auto* text : {"", "1", "1 2 3", "1 -2", "x 1", "1 99999999"}) {
    CHECK_FALSE(decode_permit_grant(text).has_value());
  }
}
