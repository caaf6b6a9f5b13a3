#include "transport/HttpInput.h"

#include "transport/ConnectionRegistry.h"
#include "transport/ConnectionUsage.h"

#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(HttpInput)
{
    static constexpr auto heldBytes = std::size_t{1024} * 1024;

    std::shared_ptr<ConnectionRegistry> registry_
        = std::make_shared<ConnectionRegistry>(ConnectionLimits{10, heldBytes}, nullptr);
    HttpInputLimits limits_ = {.headBytes_ = 10000, .bodyBytes_ = 500000};
    std::unique_ptr<HttpInput> input_
        = std::make_unique<HttpInput>(registry_->admit([] {}), [this] { return limits_; });
};

TEST(HttpInput, aBodyInSingleBytes_holdsLittleMoreThanItsBytes)
{
    constexpr auto bytes = 300000;
    CHECK(input_->begin());
    CHECK(input_->endHead(std::nullopt));
    for (auto taken = 0; taken < bytes; ++taken)
        CHECK(input_->takeBody("x"));
    CHECK(registry_->counters().heldBytes_ <= bytes * 3 / 2);
    input_->end();
    CHECK(input_->takeCompleted() == HttpBody(std::string(bytes, 'x')));
    UNSIGNED_LONGS_EQUAL(0, registry_->counters().heldBytes_);
}

/// Guards against memory that is taken by announcing a body.
TEST(HttpInput, anAnnouncedBody_holdsWhatHasArrived)
{
    CHECK(input_->begin());
    CHECK(input_->endHead(400000));
    UNSIGNED_LONGS_EQUAL(0, registry_->counters().heldBytes_);
    CHECK(input_->takeBody(std::string(10000, 'x')));
    CHECK(registry_->counters().heldBytes_ < 20000);
}

TEST(HttpInput, anAnnouncedBodyOverTheLimit_endHead_refusesIt)
{
    CHECK(input_->begin());
    CHECK(!input_->endHead(500001));
    CHECK(input_->refusal() == HttpRefusal::BodyTooLarge);
    CHECK(!input_->begin());
}

TEST(HttpInput, aChunkedBodyOverTheLimit_takeBody_refusesItAndHoldsNothing)
{
    CHECK(input_->begin());
    CHECK(input_->endHead(std::nullopt));
    CHECK(input_->takeBody(std::string(500000, 'x')));
    CHECK(!input_->takeBody("x"));
    CHECK(input_->refusal() == HttpRefusal::BodyTooLarge);
    UNSIGNED_LONGS_EQUAL(0, registry_->counters().heldBytes_);
    UNSIGNED_LONGS_EQUAL(1, registry_->counters().tooLarge_);
}

TEST(HttpInput, aHeadOverTheLimit_takeHead_refusesIt)
{
    CHECK(input_->begin());
    CHECK(input_->takeHead(9999));
    CHECK(!input_->takeHead(2));
    CHECK(input_->refusal() == HttpRefusal::HeadTooLarge);
}

TEST(HttpInput, noMemory_takeBody_refusesIt)
{
    const auto other = registry_->admit([] {});
    CHECK(other->tryHoldInput(heldBytes / 2));
    const auto handled = other->endRequest();
    CHECK(input_->begin());
    CHECK(input_->endHead(std::nullopt));
    CHECK(!input_->takeBody(std::string(400000, 'x')));
    CHECK(input_->refusal() == HttpRefusal::NoMemory);
    UNSIGNED_LONGS_EQUAL(1, registry_->counters().noMemory_);
}

TEST(HttpInput, aLimitRaisedWhileTheHeadArrives_isInForceForTheBody)
{
    CHECK(input_->begin());
    limits_.bodyBytes_ = 600000;
    CHECK(input_->endHead(600000));
}

TEST(HttpInput, aLimitLoweredWhileTheRequestArrives_isNotInForceForIt)
{
    CHECK(input_->begin());
    limits_.bodyBytes_ = 10;
    CHECK(input_->endHead(500000));
    CHECK(input_->takeBody(std::string(1000, 'x')));
}
