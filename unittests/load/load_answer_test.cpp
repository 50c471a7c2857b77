#include "acaciasill/net/load_answer.h"

#include <catch2/catch.hpp>

using namespace acaciasill::net;

TEST_CASE("a complete answer is accepted only for its own request") {
  const auto text = format_answer({"0a", "catalogue", 7}, 100);
  CHECK(check_answer(text, "0a", 7) == answer_check::intact);
  CHECK(check_answer(text, "0b", 7) == answer_check::mismatched);
  CHECK(check_answer(text, "0a", 8) == answer_check::mismatched);
}

TEST_CASE("truncated and modified answers are detected") {
  auto text = format_answer({"0a", "catalogue", 7}, 100);
  CHECK(check_answer(text.substr(0, text.size() - 1), "0a", 7) == answer_check::truncated);
  CHECK(check_answer("", "0a", 7) == answer_check::truncated);
  text[60] = 'x';
  CHECK(check_answer(text, "0a", 7) == answer_check::truncated);
}
