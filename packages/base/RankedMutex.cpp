#include "base/RankedMutex.h"

#include <cstdio>
#include <cstdlib>

namespace lycheereach {

namespace {

thread_local int heldRank = 0;

[[noreturn]] auto reportDisorder(int held, int wanted) -> void
{
    std::fprintf(stderr, "lock order violated: rank %d wanted while rank %d is held\n", wanted,
                 held);
    std::abort();
}

} // namespace

RankedMutex::RankedMutex(LockRank rank)
    : rank_(static_cast<int>(rank))
{ }

auto RankedMutex::lock() -> void
{
    if (heldRank >= rank_)
        reportDisorder(heldRank, rank_);
    mutex_.lock();
    outerRank_ = heldRank;
    heldRank = rank_;
}

auto RankedMutex::unlock() -> void
{
    heldRank = outerRank_;
    mutex_.unlock();
}

} // namespace lycheereach
