// Does not use CppUTest: easylogging++ keeps memory allocated until exit, which CppUTest's leak
// detector and its replacement of operator new don't allow.
#include "timeline/TextLog.h"

#include <thread>
#include <vector>

using namespace lycheereach;

auto main() -> int
{
    configureTextLog(Severity::Warning);
    auto threads = std::vector<std::thread>{};
    for (auto i = 0; i < 4; ++i) {
        threads.emplace_back([] {
            for (auto n = 0; n < 100; ++n)
                writeTextLog(n % 2 == 0 ? Severity::Info : Severity::Warning, "a line");
        });
    }
    for (auto &thread : threads)
        thread.join();
    return 0;
}
