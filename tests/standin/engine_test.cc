#include "standin/engine.h"

#include <doctest/doctest.h>

#include <functional>
#include <vector>

namespace wisteriaroute::standin {
namespace {

constexpr base::time_us kStepUs = 5'000;

/** An engine that calls `during_token` for each token. */
struct engine_fixture {
  std::function<void(generation_id)> during_token = [](generation_id) {};
  std::vector<generation_id> tokens;
  std::vector<generation_id> ends;
  engine tested{
      {},
      {.on_token =
           [this](generation_id id, std::uint64_t, const std::string&) {
             tokens.push_back(id);
             during_token(id);
           },
       .on_end = [this](generation_id id,
                        const nlohmann::json&) { ends.push_back(id); }}};

  void Add(generation_id id, std::uint64_t max_tokens) {
    CHECK(tested.Add({.id = id,
                      .attempt_id = std::to_string(id),
                      .prompt = "p",
                      .max_tokens = max_tokens},
                     0));
  }
  void Step(int steps) {
    for (int i = 0; i < steps; ++i) {
      tested.Step(i * kStepUs);
    }
  }
};

}  // namespace

// A write to a reset connection cancelled the sequence that Step() was using.
TEST_CASE("a generation that is cancelled while its token is delivered") {
  engine_fixture fixture;
  fixture.Add(1, 10);
  fixture.Add(2, 2);

  SUBCASE("gets no further callback, and the others continue") {
    fixture.during_token = [&](generation_id id) {
      if (id == 1) {
        CHECK(fixture.tested.Cancel(1));
        CHECK_FALSE(fixture.tested.Cancel(1));
      }
    };
    fixture.Step(4);
    CHECK(fixture.tokens == std::vector<generation_id>{1, 2, 2});
    CHECK(fixture.ends == std::vector<generation_id>{2});
    CHECK(fixture.tested.idle());
  }

  SUBCASE("may be an earlier or a later one of the same step") {
    fixture.during_token = [&](generation_id id) {
      fixture.tested.Cancel(id == 1 ? 2 : 1);
    };
    fixture.Step(1);
    CHECK(fixture.tokens == std::vector<generation_id>{1});
    fixture.Step(1);
    CHECK(fixture.tokens == std::vector<generation_id>{1, 1});
    CHECK(fixture.ends.empty());
  }

  SUBCASE("may have sent its last token") {
    fixture.Add(3, 1);
    fixture.during_token = [&](generation_id id) {
      if (id == 3) {
        fixture.tested.CancelAttempt("3");
      }
    };
    fixture.Step(1);
    CHECK(fixture.ends.empty());
  }
}

}  // namespace wisteriaroute::standin
