#include "filbertroad/standin/target_service.hpp"

#include "filbertroad/standin/control_body.hpp"
#include "filbertroad/standin/internal/delay.hpp"
#include "filbertroad/standin/task_payload.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <utility>

namespace filbertroad::standin
{
namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds agent_timeout{1'000};

std::vector<control_field> control_fields(target_settings& settings)
{
    return {{"slowness", &settings.slowness},
            {"fail_all", &settings.fail_all},
            {"drop_answers", &settings.drop_answers},
            {"late_answers_ms", &settings.late_answers_ms},
            {"wrong_key", &settings.wrong_key},
            {"cut_body", &settings.cut_body},
            {"refuse_all", &settings.refuse_all},
            {"hang", &settings.hang},
            {"announced_slots", &settings.announced_slots}};
}

void ignore_response(net::http_result const& /*response*/) {}

/// Whether a value fits in a journal line, whose fields are separated by spaces.
bool is_journal_field(std::string_view text)
{
    return !text.empty() &&
           std::none_of(text.begin(), text.end(), [](unsigned char c) { return c <= ' '; });
}

} // namespace

start_journal::start_journal(std::string const& path) : file(path, std::ios::app) {}

void start_journal::write(std::uint64_t unix_ms, std::string_view key, std::string_view index,
                          std::string_view target)
{
    std::string line = std::to_string(unix_ms);
    for (auto const part : {key, index, target})
    {
        line.append(" ").append(part);
    }
    // A single write per line keeps lines of concurrent processes from interleaving.
    this->file << line.append("\n") << std::flush;
}

target_service::target_service(boost::asio::io_context& io, base::clock const& clock,
                               target_options options, target_settings settings,
                               start_journal& journal)
    : io(io), clock(clock), options(std::move(options)), settings(settings), journal(journal),
      agent(io, this->options.agent, 2), announce_timer(io), random(this->options.seed)
{
}

net::http_handler target_service::handler()
{
    return [this](net::http_request request, net::http_responder respond)
    {
        if (request.path == "/control")
        {
            this->handle_control(request, respond);
        }
        else if (request.method == "POST" && request.path == "/v1/start")
        {
            this->handle_start(request, respond);
        }
        else if (request.method == "POST" && request.path == "/v1/cancel")
        {
            this->handle_cancel(request, respond);
        }
        else
        {
            respond(error_response(404, "not_found",
                                   "expected POST /v1/start, POST /v1/cancel or /control"));
        }
    };
}

void target_service::announce()
{
    if (this->leaving)
    {
        return;
    }
    json::array labels;
    for (auto const& label : this->options.labels)
    {
        labels.emplace_back(label);
    }
    json::object const body{{"name", this->options.name},
                            {"service", this->options.service},
                            {"address", this->options.address},
                            {"slots", this->settings.announced_slots.value_or(this->options.slots)},
                            {"labels", std::move(labels)}};
    this->agent.send({.method = "POST", .path = "/v1/announce", .body = json::serialize(body)},
                     agent_timeout, ignore_response);
    this->announce_timer.expires_after(announce_period);
    this->announce_timer.async_wait(
        [this](boost::system::error_code code)
        {
            if (!code)
            {
                this->announce();
            }
        });
}

void target_service::leave(std::function<void()> done)
{
    if (std::exchange(this->leaving, true))
    {
        return;
    }
    this->announce_timer.cancel();
    this->agent.send({.method = "POST",
                      .path = "/v1/leaving",
                      .body = json::serialize(json::object{{"name", this->options.name}})},
                     agent_timeout,
                     [this, done = std::move(done)](net::http_result const&) mutable
                     {
                         // The target may stop whether the agent responded or not.
                         this->on_drained = std::move(done);
                         this->finish_leaving_if_idle();
                     });
}

void target_service::finish_leaving_if_idle()
{
    bool const is_done = std::all_of(this->tasks.begin(), this->tasks.end(),
                                     [](auto const& item) { return item.second.hangs; });
    if (is_done && this->on_drained)
    {
        std::exchange(this->on_drained, nullptr)();
    }
}

void target_service::handle_control(net::http_request const& request,
                                    net::http_responder const& respond)
{
    if (request.method == "POST")
    {
        auto changed = this->settings;
        if (auto const error = apply_control(request.body, control_fields(changed)))
        {
            respond(error_response(400, "bad_control", *error));
            return;
        }
        this->settings = changed;
        this->complete_hanging_tasks();
    }
    respond({.body = control_json(control_fields(this->settings))});
}

std::string_view target_service::refusal_reason(net::http_request const& request) const
{
    if (this->leaving)
    {
        return "leaving";
    }
    if (this->settings.refuse_all || this->tasks.size() >= this->options.slots)
    {
        return "no-slot";
    }
    auto const text = request.header("x-start-before");
    std::uint64_t limit = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), limit).ec == std::errc() &&
        base::to_unix_ms(this->clock.system_now()) > limit)
    {
        return "late";
    }
    return {};
}

void target_service::handle_start(net::http_request const& request,
                                  net::http_responder const& respond)
{
    task_identity identity{.route = std::string(request.header("x-route")),
                           .key = std::string(request.header("x-key")),
                           .index = std::string(request.header("x-index"))};
    if (!is_journal_field(identity.route) || !is_journal_field(identity.key) ||
        !is_journal_field(identity.index))
    {
        auto response = error_response(
            400, "bad_request",
            "headers x-route, x-key, x-index: expected non-empty values without spaces");
        response.headers = {{"x-not-started", "true"}};
        respond(std::move(response));
        return;
    }
    if (auto const reason = this->refusal_reason(request); !reason.empty())
    {
        respond({.status = 503,
                 .headers = {{"x-not-started", "true"}, {"x-reason", std::string(reason)}}});
        return;
    }
    this->journal.write(base::to_unix_ms(this->clock.system_now()), identity.key, identity.index,
                        this->options.name);
    this->run({.identity = std::move(identity),
               .respond = respond,
               .fails = parse_payload(request.body).fails,
               .hangs = this->settings.hang,
               .timer = nullptr},
              request.body);
}

std::chrono::nanoseconds target_service::run_time(std::string_view payload)
{
    std::chrono::duration<double, std::milli> time{};
    if (auto const requested = parse_payload(payload).run_time)
    {
        time = *requested;
    }
    else
    {
        std::exponential_distribution<double> distribution(
            1.0 / std::max(1.0, static_cast<double>(this->options.mean_run_time.count())));
        time = std::chrono::duration<double, std::milli>(distribution(this->random));
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::min<std::chrono::duration<double, std::milli>>(time * this->settings.slowness,
                                                            max_run_time));
}

void target_service::run(running_task task, std::string_view payload)
{
    if (this->settings.fail_all)
    {
        this->send_response(task, 500, "failed");
        return;
    }
    auto const number = ++this->last_task_number;
    auto& item = this->tasks.emplace(number, std::move(task)).first->second;
    if (item.hangs)
    {
        return;
    }
    item.timer = std::make_unique<boost::asio::steady_timer>(this->io, this->run_time(payload));
    item.timer->async_wait(
        [this, number](boost::system::error_code code)
        {
            if (!code)
            {
                this->complete_task(number);
            }
        });
}

void target_service::complete_task(std::uint64_t number)
{
    auto const found = this->tasks.find(number);
    if (found == this->tasks.end())
    {
        return;
    }
    auto const task = std::move(found->second);
    this->tasks.erase(found);
    task.fails ? this->send_response(task, 422, "failed") : this->send_response(task, 200, "done");
    this->finish_leaving_if_idle();
}

void target_service::complete_hanging_tasks()
{
    if (this->settings.hang)
    {
        return;
    }
    std::vector<std::uint64_t> ended;
    for (auto const& [number, task] : this->tasks)
    {
        if (task.hangs)
        {
            ended.push_back(number);
        }
    }
    for (auto const number : ended)
    {
        this->complete_task(number);
    }
}

void target_service::send_response(running_task const& task, unsigned status,
                                   std::string_view result_word)
{
    auto const& identity = task.identity;
    auto const key = this->settings.wrong_key ? identity.key + "-other" : identity.key;
    net::http_response response{
        .status = status,
        .headers = {{"x-route", identity.route}, {"x-key", key}, {"x-index", identity.index}},
        .content_type = "text/plain",
        .body = std::string(result_word) + " " + key + " " + identity.index};
    if (result_word == "cancelled")
    {
        response.headers.push_back({"x-reason", "cancelled"});
    }
    if (this->settings.drop_answers)
    {
        response.fault = net::injected_fault::no_response;
    }
    else if (this->settings.cut_body)
    {
        response.fault = net::injected_fault::cut_body;
    }
    internal::call_after(this->io, std::chrono::milliseconds(this->settings.late_answers_ms),
                         [respond = task.respond, response = std::move(response)]() mutable
                         { respond(std::move(response)); });
}

void target_service::handle_cancel(net::http_request const& request,
                                   net::http_responder const& respond)
{
    auto const found = std::find_if(this->tasks.begin(), this->tasks.end(),
                                    [&](auto const& item)
                                    {
                                        auto const& identity = item.second.identity;
                                        return identity.route == request.header("x-route") &&
                                               identity.key == request.header("x-key") &&
                                               identity.index == request.header("x-index");
                                    });
    bool const is_running = found != this->tasks.end();
    if (is_running)
    {
        auto const task = std::move(found->second);
        this->tasks.erase(found);
        this->send_response(task, 409, "cancelled");
        this->finish_leaving_if_idle();
    }
    respond({.body = json::serialize(json::object{{"cancelled", is_running}})});
}

} // namespace filbertroad::standin
