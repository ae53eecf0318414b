#ifndef FILBERTROAD_STANDIN_LOAD_GENERATOR_HPP
#define FILBERTROAD_STANDIN_LOAD_GENERATOR_HPP

/// Open-loop load generator: submits the jobs of a plan at their planned times, independent of
/// responses.
///
///     standin::load_generator generator(io, clock, options, plan);
///     generator.start();
///     io.run();
///     auto records = generator.records();

#include "filbertroad/base/clock.hpp"
#include "filbertroad/net/http.hpp"
#include "filbertroad/standin/load_plan.hpp"
#include "filbertroad/standin/load_report.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace filbertroad::standin
{

struct load_options
{
    /// Addresses (IP:PORT) of entries, to which jobs are sent round-robin.
    std::vector<std::string> entries;
    std::string route;
    std::string token;
    /// Part of every key, which keeps the keys of concurrent load generators distinct.
    std::string key_suffix;
    std::uint64_t seed = 1;
    /// Maximum submissions of one job, including the first.
    std::uint32_t max_attempts = 30;
    /// Maximum time for which the entry delays its response until the job has ended.
    std::chrono::milliseconds wait{30'000};
};

/// Submits the jobs of a plan. Not thread-safe: `io` must run on one thread and outlive the
/// generator.
class load_generator
{
public:
    /// The backoff before a resubmission doubles from initial_backoff up to max_backoff. Each is
    /// multiplied by a random factor from 0.5 to 1.5.
    static constexpr std::chrono::milliseconds initial_backoff{50};
    static constexpr std::chrono::milliseconds max_backoff{2'000};
    /// Time limit for the response in addition to the wait.
    static constexpr std::chrono::milliseconds response_margin{5'000};
    static constexpr std::size_t connections_per_entry = 4'096;

    load_generator(boost::asio::io_context& io, base::clock const& clock, load_options options,
                   std::span<planned_job const> plan);

    /// Starts the submissions. `io` runs out of work when every job has a final outcome or has used
    /// all its submissions.
    void start();

    /// One record per job, in the order of submission.
    [[nodiscard]] std::span<job_record const> records() const { return this->jobs; }

private:
    void submit_due();
    void submit(std::size_t job);
    void on_response(std::size_t job, net::http_result const& result);
    void schedule_retry(std::size_t job);
    [[nodiscard]] milliseconds_f elapsed() const;
    [[nodiscard]] std::string request_body(job_record const& record) const;

    boost::asio::io_context& io;
    base::clock const& clock;
    load_options options;
    std::vector<job_record> jobs;
    std::vector<std::unique_ptr<net::http_client>> clients;
    boost::asio::steady_timer timer;
    std::mt19937_64 random;
    base::steady_time started;
    std::size_t next = 0;
};

} // namespace filbertroad::standin

#endif
