#ifndef FILBERTROAD_STANDIN_LOAD_GENERATOR_HPP
#define FILBERTROAD_STANDIN_LOAD_GENERATOR_HPP

/// Open-loop load: submits the jobs of a plan at their times, whatever the answers do.
///
///     standin::load_tool tool(io, clock, options, plan);
///     tool.start();
///     io.run();
///     auto records = tool.records();

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
    /// Addresses (IP:PORT) of entries; jobs go to them in turn.
    std::vector<std::string> entries;
    std::string route;
    std::string token;
    /// Part of every key, so that tools that run at the same time do not share keys.
    std::string key_suffix;
    std::uint64_t seed = 1;
    /// Submissions of one job, the first included.
    std::uint32_t max_attempts = 30;
    /// Time that a submission waits at the entry for the end of its job.
    std::chrono::milliseconds wait{30'000};
};

/// Runs on one thread of `io`, which must outlive it.
class load_generator
{
public:
    /// Pauses before resubmissions double from the first to the last, times 0.5 to 1.5 at random.
    static constexpr std::chrono::milliseconds initial_backoff{50};
    static constexpr std::chrono::milliseconds max_backoff{2'000};
    /// Time for an answer beyond the wait.
    static constexpr std::chrono::milliseconds response_margin{5'000};
    static constexpr std::size_t connections_per_entry = 4'096;

    load_generator(boost::asio::io_context& io, base::clock const& clock, load_options options,
                   std::span<planned_job const> plan);

    /// Starts the submissions. `io` runs out of work when every job has its answer or has used up
    /// its submissions.
    void start();

    /// In the order of submission.
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
