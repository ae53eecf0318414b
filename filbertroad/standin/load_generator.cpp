#include "filbertroad/standin/load_generator.hpp"

#include "filbertroad/standin/internal/delay.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace filbertroad::standin
{
namespace json = boost::json;

load_generator::load_generator(boost::asio::io_context& io, base::clock const& clock,
                               load_options options, std::span<planned_job const> plan)
    : io(io), clock(clock), options(std::move(options)), timer(io), random(this->options.seed)
{
    for (auto const& job : plan)
    {
        this->jobs.push_back({.key = {},
                              .run_ms = job.run_ms,
                              .planned = job.submit_at,
                              .submitted = job.submit_at,
                              .ended = job.submit_at,
                              .attempts = 0,
                              .outcome = std::nullopt});
    }
    for (auto const& entry : this->options.entries)
    {
        this->clients.push_back(
            std::make_unique<net::http_client>(io, entry, connections_per_entry));
    }
}

milliseconds_f load_generator::elapsed() const
{
    return this->clock.steady_now() - this->started;
}

void load_generator::start()
{
    this->started = this->clock.steady_now();
    this->submit_due();
}

void load_generator::submit_due()
{
    while (this->next < this->jobs.size() && this->jobs[this->next].planned <= this->elapsed())
    {
        auto& record = this->jobs[this->next];
        record.key = std::to_string(base::to_unix_ms(this->clock.system_now())) + "-" +
                     this->options.key_suffix + "-" + std::to_string(this->next);
        record.submitted = this->elapsed();
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

std::string load_generator::request_body(job_record const& record) const
{
    json::array tasks;
    for (auto const run_ms : record.run_ms)
    {
        tasks.emplace_back(json::object{{"payload", "run_ms=" + std::to_string(run_ms)}});
    }
    return json::serialize(json::object{{"tasks", std::move(tasks)}});
}

void load_generator::submit(std::size_t job)
{
    auto& record = this->jobs[job];
    // A resubmission goes to the next entry.
    auto& client = *this->clients[(job + record.attempts) % this->clients.size()];
    ++record.attempts;
    client.send({.method = "PUT",
                 .path = "/v1/routes/" + this->options.route + "/jobs/" + record.key,
                 .query = "wait_ms=" + std::to_string(this->options.wait.count()),
                 .headers = {{"Authorization", "Bearer " + this->options.token}},
                 .body = this->request_body(record)},
                this->options.wait + response_margin,
                [this, job](net::http_result const& result) { this->on_response(job, result); });
}

void load_generator::on_response(std::size_t job, net::http_result const& result)
{
    auto& record = this->jobs[job];
    record.ended = this->elapsed();
    auto const outcome =
        classify_response(result, record.key, static_cast<std::uint32_t>(record.run_ms.size()));
    if (outcome != submission_outcome::retry)
    {
        record.outcome = outcome;
    }
    else if (record.attempts < this->options.max_attempts)
    {
        this->schedule_retry(job);
    }
}

void load_generator::schedule_retry(std::size_t job)
{
    auto const doublings = std::min<std::uint32_t>(this->jobs[job].attempts - 1, 16);
    auto const backoff = std::min<milliseconds_f>(initial_backoff * (1U << doublings), max_backoff);
    auto const jitter = std::uniform_real_distribution<double>(0.5, 1.5)(this->random);
    internal::call_after(this->io,
                         std::chrono::duration_cast<std::chrono::nanoseconds>(backoff * jitter),
                         [this, job] { this->submit(job); });
}

} // namespace filbertroad::standin
