#include "filbertroad/standin/load_tool.hpp"

#include "filbertroad/standin/internal/delay.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace filbertroad::standin
{
namespace json = boost::json;

load_tool::load_tool(boost::asio::io_context& io, base::clock const& clock, load_options options,
                     std::span<planned_job const> plan)
    : io(io), clock(clock), options(std::move(options)), timer(io), random(this->options.seed)
{
    for (auto const& job : plan)
    {
        this->jobs.push_back({.key = {},
                              .run_ms = job.run_ms,
                              .planned = job.at,
                              .submitted = job.at,
                              .ended = job.at,
                              .attempts = 0,
                              .verdict = std::nullopt});
    }
    for (auto const& entry : this->options.entries)
    {
        this->clients.push_back(
            std::make_unique<net::http_client>(io, entry, connections_per_entry));
    }
}

milliseconds_f load_tool::since_start() const
{
    return this->clock.steady_now() - this->started;
}

void load_tool::start()
{
    this->started = this->clock.steady_now();
    this->submit_due();
}

void load_tool::submit_due()
{
    while (this->next < this->jobs.size() && this->jobs[this->next].planned <= this->since_start())
    {
        auto& record = this->jobs[this->next];
        record.key = std::to_string(base::to_unix_ms(this->clock.system_now())) + "-" +
                     this->options.key_suffix + "-" + std::to_string(this->next);
        record.submitted = this->since_start();
        this->submit(this->next++);
    }
    if (this->next == this->jobs.size())
    {
        return;
    }
    this->timer.expires_at(this->started + std::chrono::duration_cast<std::chrono::nanoseconds>(
                                               this->jobs[this->next].planned));
    this->timer.async_wait([this](boost::system::error_code) { this->submit_due(); });
}

std::string load_tool::body_of(job_record const& record) const
{
    json::array tasks;
    for (auto const run_ms : record.run_ms)
    {
        tasks.emplace_back(json::object{{"payload", "run_ms=" + std::to_string(run_ms)}});
    }
    return json::serialize(json::object{{"tasks", std::move(tasks)}});
}

void load_tool::submit(std::size_t job)
{
    auto& record = this->jobs[job];
    // A resubmission goes to the next entry.
    auto& client = *this->clients[(job + record.attempts) % this->clients.size()];
    ++record.attempts;
    client.send({.method = "PUT",
                 .path = "/v1/routes/" + this->options.route + "/jobs/" + record.key,
                 .query = "wait_ms=" + std::to_string(this->options.wait.count()),
                 .headers = {{"Authorization", "Bearer " + this->options.token}},
                 .body = this->body_of(record)},
                this->options.wait + answer_margin,
                [this, job](net::http_result const& result) { this->answered(job, result); });
}

void load_tool::answered(std::size_t job, net::http_result const& result)
{
    auto& record = this->jobs[job];
    record.ended = this->since_start();
    auto const verdict =
        judge_answer(result, record.key, static_cast<std::uint32_t>(record.run_ms.size()));
    if (verdict != answer_verdict::ask_again)
    {
        record.verdict = verdict;
    }
    else if (record.attempts < this->options.max_attempts)
    {
        this->submit_later(job);
    }
}

void load_tool::submit_later(std::size_t job)
{
    auto const doublings = std::min<std::uint32_t>(this->jobs[job].attempts - 1, 16);
    auto const pause = std::min<milliseconds_f>(first_pause * (1U << doublings), last_pause);
    auto const jitter = std::uniform_real_distribution<double>(0.5, 1.5)(this->random);
    internal::after(this->io, std::chrono::duration_cast<std::chrono::nanoseconds>(pause * jitter),
                    [this, job] { this->submit(job); });
}

} // namespace filbertroad::standin
