#include "filbertroad/net/internal/run_until.hpp"
#include "filbertroad/net/link.hpp"

#include <benchmark/benchmark.h>
#include <ctime>
#include <fstream>
#include <malloc.h>
#include <string>
#include <unistd.h>
#include <vector>

namespace filbertroad::net
{
namespace
{

/// A start_task message of the usual size, with a payload of 120 bytes.
wire::link_message start_message()
{
    wire::link_message message;
    auto& start = *message.mutable_start();
    start.mutable_task()->set_route("stock-check");
    start.mutable_task()->set_key("1790000000000-order-17-abcdef");
    start.mutable_task()->set_index(17);
    start.set_payload(std::string(120, 'p'));
    start.set_job_digest(std::string(32, 'd'));
    start.set_task_count(270);
    start.set_team("pricing");
    start.set_timeout_ms(2'000);
    return message;
}

double process_cpu_seconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Links over loopback with both ends on one thread.
struct link_pair_set
{
    explicit link_pair_set(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            this->connected.push_back(
                link::connect(this->io, "127.0.0.1:" + std::to_string(this->server->port()),
                              {.on_open = [this](auto const&) { ++this->opened; },
                               .on_message = {},
                               .on_closed = {}}));
            // Links are opened one at a time, so that the backlog of the listening socket is not
            // exceeded.
            internal::run_until(this->io, [&] { return this->opened == 2 * (i + 1); });
        }
    }

    boost::asio::io_context io{1};
    std::size_t opened = 0;
    std::uint64_t received = 0;
    std::vector<std::shared_ptr<link>> connected;
    std::unique_ptr<link_server> server = std::move(
        link_server::listen(this->io, "127.0.0.1:0",
                            {.on_open = [this](auto const&) { ++this->opened; },
                             .on_message = [this](auto const&, auto&) { ++this->received; },
                             .on_closed = {}})
            .value());
};

/// Sends messages in batches; the next batch is queued when the previous one has arrived. The CPU
/// time covers both ends.
void send_in_batches(benchmark::State& state)
{
    link_pair_set links(1);
    auto const message = start_message();
    auto const batch = static_cast<std::uint64_t>(state.range(0));
    std::uint64_t sent = 0;
    auto const cpu = process_cpu_seconds();
    for ([[maybe_unused]] auto const round : state)
    {
        for (std::uint64_t i = 0; i < batch; ++i)
        {
            links.connected[0]->send(message);
        }
        sent += batch;
        internal::run_until(links.io, [&] { return links.received == sent; });
    }
    state.counters["messages_per_s"] =
        benchmark::Counter(static_cast<double>(sent), benchmark::Counter::kIsRate);
    state.counters["cpu_ns_per_message"] =
        (process_cpu_seconds() - cpu) * 1e9 / static_cast<double>(sent);
}

/// Measures the memory of idle links. Each link has two ends in this process.
void hold_idle_links(benchmark::State& state)
{
    for ([[maybe_unused]] auto const round : state)
    {
        auto const heap = static_cast<double>(mallinfo2().uordblks);
        auto const resident = resident_bytes();
        link_pair_set links(static_cast<std::size_t>(state.range(0)));
        auto const ends = 2.0 * static_cast<double>(state.range(0));
        state.counters["heap_bytes_per_end"] =
            (static_cast<double>(mallinfo2().uordblks) - heap) / ends;
        state.counters["resident_bytes_per_end"] = (resident_bytes() - resident) / ends;
    }
}

BENCHMARK(send_in_batches)->Arg(1)->Arg(16)->Arg(256)->UseRealTime();
BENCHMARK(hold_idle_links)->Arg(1'000)->Arg(100)->Arg(10)->Iterations(1);

} // namespace
} // namespace filbertroad::net
