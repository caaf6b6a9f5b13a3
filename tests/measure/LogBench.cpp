/// \file
/// \brief Measures the replicated log in one process: real files, messages delivered directly.
#include "log/FileLogStorage.h"
#include "log/Replica.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <iostream>
#include <unistd.h>

using namespace lycheereach;
using namespace std::chrono_literals;

namespace {

constexpr auto payloadBytes = std::size_t(300);
constexpr auto singleChanges = 300;
constexpr auto batches = 60;
constexpr auto changesOfBatch = 50;
constexpr auto heartbeatRounds = 200;

auto now() -> MonotonicTime
{
    return std::chrono::steady_clock::now();
}

auto microsecondsSince(MonotonicTime start) -> double
{
    return std::chrono::duration<double, std::micro>(now() - start).count();
}

/// Processor time of the whole process.
auto processorMicroseconds() -> double
{
    return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

/// Voters that answer each other in the same thread.
class LocalCluster
{
public:
    LocalCluster(const std::filesystem::path &folder, std::size_t voters)
    {
        auto settings = ReplicaSettings{};
        settings.electionTimeout_ = 100ms;
        for (std::size_t i = 0; i < voters; ++i)
            settings.initialVoters_.emplace_back(std::to_string(i));
        for (std::size_t i = 0; i < voters; ++i) {
            settings.self_ = settings.initialVoters_[i];
            replicas_.push_back(std::make_unique<Replica>(
                settings, std::make_unique<FileLogStorage>(folder / std::to_string(i), disk()),
                hooks(i)));
            if (auto opened = replicas_[i]->open(now()); !opened) {
                std::cerr << opened.failure().message_ << "\n";
                std::exit(1);
            }
        }
        while (leader() == nullptr)
            tick();
    }

    auto leader() -> Replica *
    {
        const auto found = std::find_if(replicas_.begin(), replicas_.end(), [](const auto &each) {
            return each->holdsLeaderLease(now());
        });
        return found == replicas_.end() ? nullptr : found->get();
    }
    auto tick() -> void
    {
        for (auto &replica : replicas_)
            replica->tick(now());
        deliver();
    }
    auto deliver() -> void
    {
        while (!packets_.empty()) {
            const auto packet = std::move(packets_.front());
            packets_.pop_front();
            const auto bytes = Json::to_msgpack(packet.message_);
            networkBytes_ += bytes.size();
            ++messages_;
            replicas_[std::stoul(packet.to_.text())]->receive(EntryId(std::to_string(packet.from_)),
                                                              Json::from_msgpack(bytes), now());
        }
    }
    /// Commits \a count changes with one flush.
    auto commit(int count) -> void
    {
        auto *target = leader();
        while (target == nullptr) {
            tick();
            target = leader();
        }
        for (auto i = 0; i < count; ++i)
            target->propose(std::string(payloadBytes, 'x'), now());
        target->flush(now());
        deliver();
        while (target->commitIndex() < target->lastIndex())
            tick();
    }

    std::size_t networkBytes_ = 0;
    std::size_t messages_ = 0;
    std::size_t diskBytes_ = 0;
    std::size_t syncs_ = 0;

private:
    struct Packet
    {
        std::size_t from_;
        EntryId to_;
        Json message_;
    };

    auto disk() -> FileLogStorageHooks
    {
        auto result = FileLogStorageHooks{};
        result.write_ = [this](int file, const char *bytes, std::size_t count) {
            diskBytes_ += count;
            return ::write(file, bytes, count);
        };
        result.sync_ = [this](int file) {
            ++syncs_;
            return ::fdatasync(file);
        };
        return result;
    }
    auto hooks(std::size_t self) -> ReplicaHooks
    {
        auto result = ReplicaHooks{};
        result.send_ = [this, self](const EntryId &to, const Json &message) {
            packets_.push_back({self, to, message});
        };
        result.apply_ = [](const LogRecord &) {};
        result.takeSnapshot_ = [] { return std::string("{}"); };
        result.restore_ = [](LogIndex, const std::string &) {};
        result.random_ = [this, self] { return seed_ = seed_ * 6364136223846793005U + self + 1; };
        return result;
    }

    std::vector<std::unique_ptr<Replica>> replicas_;
    std::deque<Packet> packets_;
    std::uint64_t seed_ = 42;
};

struct Row
{
    std::size_t voters_ = 0;
    double commitMedian_ = 0;
    double commitWorst_ = 0;
    double changesPerSecond_ = 0;
    double networkPerChange_ = 0;
    double diskPerChange_ = 0;
    double syncsPerChange_ = 0;
    double processorPerChange_ = 0;
    double bytesPerHeartbeat_ = 0;
    double processorPerHeartbeat_ = 0;
};

auto measureSingles(LocalCluster &cluster, Row &row) -> void
{
    auto times = std::vector<double>{};
    const auto network = cluster.networkBytes_;
    const auto disk = cluster.diskBytes_;
    const auto syncs = cluster.syncs_;
    const auto processor = processorMicroseconds();
    for (auto i = 0; i < singleChanges; ++i) {
        const auto start = now();
        cluster.commit(1);
        times.push_back(microsecondsSince(start));
    }
    std::sort(times.begin(), times.end());
    row.commitMedian_ = times[times.size() / 2];
    row.commitWorst_ = times.back();
    row.networkPerChange_ = static_cast<double>(cluster.networkBytes_ - network) / singleChanges;
    row.diskPerChange_ = static_cast<double>(cluster.diskBytes_ - disk) / singleChanges;
    row.syncsPerChange_ = static_cast<double>(cluster.syncs_ - syncs) / singleChanges;
    row.processorPerChange_ = (processorMicroseconds() - processor) / singleChanges;
}

auto measureBatches(LocalCluster &cluster, Row &row) -> void
{
    const auto start = now();
    for (auto i = 0; i < batches; ++i)
        cluster.commit(changesOfBatch);
    row.changesPerSecond_ = batches * changesOfBatch * 1e6 / microsecondsSince(start);
}

/// A heartbeat is a request and its reply.
auto measureHeartbeats(LocalCluster &cluster, Row &row) -> void
{
    const auto network = cluster.networkBytes_;
    const auto messages = cluster.messages_;
    auto processor = 0.0;
    for (auto round = 0; round < heartbeatRounds; ++round) {
        ::usleep(10'000);
        const auto before = processorMicroseconds();
        cluster.tick();
        processor += processorMicroseconds() - before;
    }
    const auto heartbeats = static_cast<double>(cluster.messages_ - messages) / 2;
    if (heartbeats == 0)
        return;
    row.bytesPerHeartbeat_ = static_cast<double>(cluster.networkBytes_ - network) / heartbeats;
    row.processorPerHeartbeat_ = processor / heartbeats;
}

auto measure(const std::filesystem::path &folder, std::size_t voters) -> Row
{
    auto cluster = LocalCluster(folder / std::to_string(voters), voters);
    auto row = Row{};
    row.voters_ = voters;
    measureSingles(cluster, row);
    measureBatches(cluster, row);
    measureHeartbeats(cluster, row);
    return row;
}

auto print(const Row &row, const Row &base) -> void
{
    std::printf("%6zu %10.0f %6.2f %10.0f %10.0f %6.2f %9.0f %9.0f %6.1f %8.0f %9.0f %8.0f\n",
                row.voters_, row.commitMedian_, row.commitMedian_ / base.commitMedian_,
                row.commitWorst_, row.changesPerSecond_,
                row.changesPerSecond_ / base.changesPerSecond_, row.networkPerChange_,
                row.diskPerChange_, row.syncsPerChange_, row.processorPerChange_,
                row.bytesPerHeartbeat_, row.processorPerHeartbeat_);
}

} // namespace

/// usage: measure_log [FOLDER]; the folder decides which disk is measured.
auto main(int argc, char **argv) -> int
{
    const auto parent
        = argc > 1 ? std::filesystem::path(argv[1]) : std::filesystem::temp_directory_path();
    auto pattern = (parent / "lycheereach-measure-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        std::cerr << parent << ": can't make a folder there\n";
        return 1;
    }
    std::printf("payload %zu bytes; batches of %d; per change and per heartbeat over all voters\n",
                payloadBytes, changesOfBatch);
    std::printf("%6s %10s %6s %10s %10s %6s %9s %9s %6s %8s %9s %8s\n", "voters", "commit us",
                "ratio", "worst us", "changes/s", "ratio", "net B", "disk B", "syncs", "cpu us",
                "hb B", "hb cpu us");
    const auto base = measure(pattern, 1);
    for (const auto &row : {base, measure(pattern, 3), measure(pattern, 5)})
        print(row, base);
    std::filesystem::remove_all(pattern);
    return 0;
}
