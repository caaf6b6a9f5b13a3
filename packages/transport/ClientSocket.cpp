#include "transport/ClientSocket.h"

namespace lycheereach {

namespace {

thread_local HttpInput *currentInput = nullptr;

} // namespace

auto ClientSocket::current() -> HttpInput *
{
    return currentInput;
}

ClientSocket::Scope::Scope(HttpInput &input)
    : outer_(std::exchange(currentInput, &input))
{ }

ClientSocket::Scope::~Scope()
{
    currentInput = outer_;
}

} // namespace lycheereach
