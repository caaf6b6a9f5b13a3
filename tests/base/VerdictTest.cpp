#include "base/Verdict.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(Verdict){};

TEST(Verdict, everyValue_writtenAndRead_isTheSame)
{
    for (const auto verdict : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran})
        CHECK(parseVerdict(toString(verdict)) == verdict);
}

TEST(Verdict, unknownText_read_isNothing)
{
    CHECK_FALSE(parseVerdict("not run").has_value());
}

TEST(Verdict, anAttemptThatMayHaveRun_combinedWithOneThatDidNot_mayHaveRun)
{
    CHECK(combine(Verdict::NotRun, Verdict::MayHaveRun) == Verdict::MayHaveRun);
    CHECK(combine(Verdict::Ran, Verdict::MayHaveRun) == Verdict::Ran);
}
