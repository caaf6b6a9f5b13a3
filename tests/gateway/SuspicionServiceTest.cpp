#include "gateway/SuspicionService.h"
#include "control/ControlFleet.h"
#include "requests/CrashMessages.h"
#include "requests/RequestFingerprint.h"
#include "transport/WorkerPool.h"

#include <future>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

/// The suspicion services of three entries that keep the log, in a simulated fleet.
TEST_GROUP(SuspicionService)
{
    static constexpr auto entryCount = std::size_t{3};

    struct Message
    {
        std::size_t from_;
        EntryId to_;
        std::string method_;
        Json params_;
    };

    ControlFleet fleet_ = ControlFleet(1, entryCount, 0);
    WorkerPool workers_ = WorkerPool(1);
    std::vector<Message> messages_;
    std::vector<std::unique_ptr<SuspicionService>> services_;
    std::string poison_ = partFingerprint("poison");
    std::string subject_ = partFingerprint("subject");
    std::uint32_t crashes_ = 0;

    auto setup()->void override
    {
        for (std::size_t index = 0; index < entryCount; ++index)
            fleet_.start(index);
        CHECK(fleet_.runUntilReady());
        for (std::size_t index = 0; index < entryCount; ++index)
            services_.push_back(std::make_unique<SuspicionService>(
                idOf(index), fleet_.service(index), workers_,
                [this, index](const EntryId &to, const std::string &method, Json params) {
                    messages_.push_back({index, to, method, std::move(params)});
                },
                [](const Event &) {}, [this] { return fleet_.now(); }));
    }

    auto idOf(std::size_t index)->EntryId
    {
        return fleet_.node(index).self_.id_;
    }

    auto deliver()->void
    {
        while (!messages_.empty()) {
            for (const auto &message : std::exchange(messages_, {})) {
                for (std::size_t index = 0; index < entryCount; ++index) {
                    if (idOf(index) == message.to_)
                        CHECK(services_[index]->receive(idOf(message.from_), message.method_,
                                                        message.params_));
                }
            }
        }
    }

    auto advance(Duration duration)->void
    {
        for (auto elapsed = Duration(0); elapsed < duration; elapsed += 20ms) {
            deliver();
            fleet_.run(20ms);
            for (const auto &service : services_) {
                service->stateChanged();
                service->tick();
            }
        }
        deliver();
    }

    /// A request with \a fingerprints is in flight at \a entry when an upstream crashes that has
    /// crashed before it \a crash times.
    auto crash(std::size_t entry, const std::vector<std::string> &fingerprints, Epoch crash)
        ->std::future<SuspicionStatus>
    {
        auto ruling = std::make_shared<std::promise<SuspicionStatus>>();
        services_[entry]->reportCrash("g", crash, fingerprints, [ruling](SuspicionStatus status) {
            ruling->set_value(status);
        });
        return ruling->get_future();
    }

    auto isEverywhere(SuspicionStatus status, const std::string &fingerprint) const->bool
    {
        for (const auto &service : services_) {
            if (service->ruling({"other", fingerprint}) != status)
                return false;
        }
        return true;
    }
};

// Guards against evidence at the grain of whole requests only: requests with one part in common,
// each new by its digest, crash one upstream after the other (BUDGET).
TEST(SuspicionService, twoCrashesWithOnePartInCommon_reported_blockThePartAtEveryEntry)
{
    auto first = crash(0, {"request-1", poison_}, 1);
    advance(200ms);
    CHECK(first.get() == SuspicionStatus::Suspect);
    CHECK(isEverywhere(SuspicionStatus::Suspect, poison_));
    auto second = crash(1, {"request-2", poison_}, 2);
    advance(200ms);
    CHECK(second.get() == SuspicionStatus::Blocked);
    advance(1s);
    CHECK(isEverywhere(SuspicionStatus::Blocked, poison_));
    CHECK(isEverywhere(SuspicionStatus::Clear, "request-1"));
}

TEST(SuspicionService, theSameRequestCrashesTwice_reported_blocksTheRequest)
{
    crash(0, {"request-1"}, 1);
    advance(200ms);
    auto second = crash(0, {"request-1"}, 2);
    advance(200ms);
    CHECK(second.get() == SuspicionStatus::Blocked);
}

TEST(SuspicionService, aPartServedAtTheEntry_reportCrash_isNoSuspect)
{
    services_[0]->requestServed({"request-0", subject_});
    crash(0, {"request-1", subject_}, 1);
    advance(200ms);
    CHECK(isEverywhere(SuspicionStatus::Clear, subject_));
    CHECK(isEverywhere(SuspicionStatus::Suspect, "request-1"));
}

// Guards against a wrong guess: a sound part was beside the one to blame in each crash, and only
// another entry knows it to be sound.
TEST(SuspicionService, aPartServedAtAnotherEntry_reportCrash_isClearedAndNotBlocked)
{
    services_[2]->requestServed({"request-0", subject_});
    crash(0, {"request-1", subject_, poison_}, 1);
    advance(200ms);
    CHECK(isEverywhere(SuspicionStatus::Clear, subject_));
    crash(1, {"request-2", subject_, poison_}, 2);
    advance(1s);
    CHECK(isEverywhere(SuspicionStatus::Blocked, poison_));
    CHECK(isEverywhere(SuspicionStatus::Clear, subject_));
}

TEST(SuspicionService, aSuspectServedLater_requestServed_isClearedEverywhere)
{
    crash(0, {"request-1", subject_}, 1);
    advance(200ms);
    CHECK(services_[1]->findSuspect({"request-2", subject_}) == subject_);
    services_[1]->requestServed({"request-2", subject_});
    advance(20ms);
    CHECK(isEverywhere(SuspicionStatus::Clear, subject_));
    CHECK(isEverywhere(SuspicionStatus::Suspect, "request-1"));
}

TEST(SuspicionService, servedAsTextOrList_receive_clearsBothForms)
{
    crash(0, {"request-1", subject_, poison_}, 1);
    advance(200ms);
    for (const auto &service : services_) {
        CHECK(service->receive(idOf(1), crash_message::served, subject_));
        CHECK(service->receive(idOf(1), crash_message::served, Json{"request-1", poison_}));
    }
    for (const auto &fingerprint : {std::string("request-1"), subject_, poison_})
        CHECK(isEverywhere(SuspicionStatus::Clear, fingerprint));
}

// Guards against a fingerprint that stays blocked for ever.
TEST(SuspicionService, requestsWithABlockedPart_refusedOrNoLonger_stayBlockedAndAreThenUnblocked)
{
    crash(0, {"request-1", poison_}, 1);
    advance(200ms);
    crash(1, {"request-2", poison_}, 2);
    advance(1s);
    for (auto i = 0; i < 4; ++i) {
        advance(30s);
        services_[2]->requestRefused({"request-3", poison_});
        CHECK(isEverywhere(SuspicionStatus::Blocked, poison_));
    }
    advance(50s);
    CHECK(isEverywhere(SuspicionStatus::Blocked, poison_));
    advance(15s);
    CHECK(isEverywhere(SuspicionStatus::Clear, poison_));
}
