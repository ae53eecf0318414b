#ifndef REVIEW_LIB_2_HARNESS_HPP
#define REVIEW_LIB_2_HARNESS_HPP

/// Stand-ins of the platform for the scripts of the second review: HTTP over loopback with one
/// thread per connection, the store, executors, clients, and a fleet that starts the project's own
/// programs with the commands of deploy/system.toml. All behave as PROTOCOL.md says, unless a case
/// asks for a disruption. Every address is 127.0.0.1 and a free port.

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

namespace json = boost::json;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

inline steady::time_point const process_start = steady::now();

/// Milliseconds since the start of the script.
inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - process_start).count();
}

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t time)
{
    std::this_thread::sleep_for(milliseconds(time));
}

inline void sleep_until_ms(std::int64_t time)
{
    std::this_thread::sleep_until(process_start + milliseconds(time));
}

/// Writes record.txt. Thread-safe.
class recorder
{
public:
    explicit recorder(std::string const& path) : out(path) {}

    void write(std::string const& text)
    {
        std::scoped_lock const guard(this->lock);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%9.3f s  ", static_cast<double>(now_ms()) / 1000);
        this->out << stamp << text << std::endl;
    }

private:
    std::mutex lock;
    std::ofstream out;
};

// ---------------------------------------------------------------------------- HTTP

struct request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct response
{
    int status = 200;
    std::string body = "{}";
    /// The connection is closed without a response.
    bool drop = false;
};

inline std::string lower(std::string text)
{
    for (auto& c : text)
    {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

/// Reads one message with its body. Returns false at the end of the connection.
inline bool read_message(int fd, std::string& buffer, std::string& first_line,
                         std::map<std::string, std::string>& headers, std::string& body)
{
    char chunk[65536];
    std::size_t head_end = 0;
    while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos)
    {
        auto const size = ::recv(fd, chunk, sizeof chunk, 0);
        if (size <= 0)
        {
            return false;
        }
        buffer.append(chunk, static_cast<std::size_t>(size));
    }
    std::istringstream head(buffer.substr(0, head_end));
    std::getline(head, first_line);
    if (!first_line.empty() && first_line.back() == '\r')
    {
        first_line.pop_back();
    }
    headers.clear();
    for (std::string line; std::getline(head, line);)
    {
        if (!line.empty() && line.back() == '\r')
        {
            line.pop_back();
        }
        auto const colon = line.find(':');
        if (colon != std::string::npos)
        {
            auto const value = line.find_first_not_of(' ', colon + 1);
            headers[lower(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        }
    }
    buffer.erase(0, head_end + 4);
    std::size_t const length =
        headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
    while (buffer.size() < length)
    {
        auto const size = ::recv(fd, chunk, sizeof chunk, 0);
        if (size <= 0)
        {
            return false;
        }
        buffer.append(chunk, static_cast<std::size_t>(size));
    }
    body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

inline bool send_all(int fd, std::string const& text)
{
    std::size_t sent = 0;
    while (sent < text.size())
    {
        auto const size = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

/// Listens on `port`, or on any free port if it is 0. Returns the socket and the port.
inline std::pair<int, int> listen_on(int port = 0)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = loopback(port);
    socklen_t size = sizeof address;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd, 256) != 0)
    {
        std::perror("listen");
        std::exit(2);
    }
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return {fd, ntohs(address.sin_port)};
}

/// A port that was free just now.
inline int free_port()
{
    auto const [fd, port] = listen_on();
    ::close(fd);
    return port;
}

inline std::string address_of(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

inline int connect_to(int port)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto const address = loopback(port);
    if (::connect(fd, reinterpret_cast<sockaddr const*>(&address), sizeof address) != 0)
    {
        ::close(fd);
        return -1;
    }
    return fd;
}

class http_server
{
public:
    explicit http_server(std::function<response(request const&)> handler, int port = 0)
        : handler(std::move(handler))
    {
        std::tie(this->fd, this->bound_port) = listen_on(port);
        this->accepting = std::thread([this] { this->accept_all(); });
        this->accepting.detach();
    }

    [[nodiscard]] int port() const { return this->bound_port; }

    /// Closes the listening socket and all connections, like the end of a process.
    void close_all()
    {
        std::scoped_lock const guard(this->lock);
        this->closed = true;
        ::shutdown(this->fd, SHUT_RDWR);
        ::close(this->fd);
        for (int const connection : this->connections)
        {
            ::shutdown(connection, SHUT_RDWR);
        }
    }

private:
    void accept_all()
    {
        while (true)
        {
            int const connection = ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
            {
                return;
            }
            int const on = 1;
            ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                std::scoped_lock const guard(this->lock);
                this->connections.insert(connection);
            }
            std::thread([this, connection] { this->serve(connection); }).detach();
        }
    }

    void serve(int connection)
    {
        std::string buffer;
        std::string first_line;
        request next;
        while (read_message(connection, buffer, first_line, next.headers, next.body))
        {
            std::istringstream words(first_line);
            std::string target;
            words >> next.method >> target;
            auto const mark = target.find('?');
            next.path = target.substr(0, mark);
            next.query.clear();
            if (mark != std::string::npos)
            {
                std::istringstream pairs(target.substr(mark + 1));
                for (std::string pair; std::getline(pairs, pair, '&');)
                {
                    auto const equals = pair.find('=');
                    next.query[pair.substr(0, equals)] =
                        equals == std::string::npos ? "" : pair.substr(equals + 1);
                }
            }
            auto const answer = this->handler(next);
            if (answer.drop)
            {
                break;
            }
            auto const text = "HTTP/1.1 " + std::to_string(answer.status) +
                              " x\r\nContent-Type: application/json\r\nContent-Length: " +
                              std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
            if (!send_all(connection, text))
            {
                break;
            }
        }
        std::scoped_lock const guard(this->lock);
        this->connections.erase(connection);
        ::close(connection);
    }

    std::function<response(request const&)> handler;
    int fd = -1;
    int bound_port = 0;
    std::mutex lock;
    bool closed = false;
    std::set<int> connections;
    std::thread accepting;
};

struct reply
{
    /// 0 if there was no response: refused, broken or timed out.
    int status = 0;
    std::string body;
};

/// Sends one request on a connection of its own.
inline reply call(int port, std::string const& method, std::string const& target,
                  std::string const& body, std::int64_t timeout_ms,
                  std::string const& host = "127.0.0.1", std::string const& more_headers = "")
{
    int const fd = connect_to(port);
    if (fd < 0)
    {
        return {};
    }
    timeval const limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    auto const text = method + " " + target + " HTTP/1.1\r\nHost: " + host +
                      "\r\nContent-Type: application/json\r\n" + more_headers +
                      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    reply result;
    std::string buffer;
    std::string first_line;
    std::map<std::string, std::string> headers;
    if (send_all(fd, text) && read_message(fd, buffer, first_line, headers, result.body))
    {
        result.status = std::atoi(first_line.substr(first_line.find(' ') + 1).c_str());
    }
    ::close(fd);
    return result;
}

// ---------------------------------------------------------------------------- the store

/// The platform's store: keyed topics with one partition.
class store
{
public:
    store() : server([this](request const& call) { return this->handle(call); }) {}

    [[nodiscard]] int port() const { return this->server.port(); }

    /// What the operator or a process writes; an empty value deletes the key.
    std::uint64_t put(std::string const& topic, std::string const& key, std::string const& value)
    {
        std::scoped_lock const guard(this->lock);
        auto& records = this->topics[topic];
        records.push_back({key, value});
        this->changed.notify_all();
        return records.size() - 1;
    }

    /// Decides for each call of a process whether it is served; a call that is not gets no response
    /// and its connection stays open and silent.
    std::function<bool(request const&)> is_served = [](request const&) { return true; };

private:
    using record = std::pair<std::string, std::string>;

    static std::string big_endian(std::uint64_t number, int bytes)
    {
        std::string out;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        {
            out.push_back(static_cast<char>(number >> shift & 0xff));
        }
        return out;
    }

    static std::string base64(std::string const& bytes)
    {
        static char const digits[] =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t i = 0; i < bytes.size(); i += 3)
        {
            std::uint32_t block = 0;
            for (std::size_t j = 0; j < 3; ++j)
            {
                block = block << 8 |
                        (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
            }
            for (std::size_t j = 0; j < 4; ++j)
            {
                out.push_back(i + j <= bytes.size() ? digits[block >> (18 - 6 * j) & 63] : '=');
            }
        }
        return out;
    }

    response handle(request const& call)
    {
        if (!this->is_served(call))
        {
            sleep_ms(60'000);
            return {.drop = true};
        }
        sleep_ms(4);
        auto const topic = call.query.contains("topic") ? call.query.at("topic") : "";
        if (call.path == "/filbertroad/log-append")
        {
            auto const body = call.body.substr(4);
            auto const key = static_cast<std::size_t>(static_cast<unsigned char>(body[0]));
            auto const offset = this->put(topic, body.substr(1, key), body.substr(1 + key));
            return {200, json::serialize(json::object{{"offset", offset}, {"end", offset + 1}})};
        }
        if (call.path == "/filbertroad/log-newest")
        {
            std::scoped_lock const guard(this->lock);
            std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
            auto const& records = this->topics[topic];
            for (std::size_t i = 0; i < records.size(); ++i)
            {
                newest[records[i].first] = {records[i].second, i};
            }
            json::array items;
            for (auto const& [key, value] : newest)
            {
                if (!value.first.empty())
                {
                    items.push_back(json::object{
                        {"key", key}, {"value", base64(value.first)}, {"offset", value.second}});
                }
            }
            return {200, json::serialize(json::object{
                             {"items", items}, {"has-more", false}, {"end", records.size()}})};
        }
        if (call.path == "/filbertroad/log-read")
        {
            auto const from = std::stoull(call.query.at("from"));
            auto const wait =
                call.query.contains("wait-ms") ? std::stoll(call.query.at("wait-ms")) : 0;
            std::unique_lock guard(this->lock);
            this->changed.wait_for(guard, milliseconds(wait),
                                   [&] { return this->topics[topic].size() > from; });
            auto const& records = this->topics[topic];
            auto body = big_endian(records.size(), 8) + big_endian(0, 8);
            for (auto i = from; i < records.size(); ++i)
            {
                auto const text = std::string(1, static_cast<char>(records[i].first.size())) +
                                  records[i].first + records[i].second;
                body += big_endian(text.size(), 4) + text;
            }
            return {200, body};
        }
        return {404, "{}"};
    }

    std::mutex lock;
    std::condition_variable changed;
    std::map<std::string, std::vector<record>> topics;
    http_server server;
};

// ---------------------------------------------------------------------------- an executor

/// One start of a run on an executor.
struct started_run
{
    std::string executor;
    std::string task;
    std::uint64_t run = 0;
    std::string spec;
    std::int64_t started_ms = 0;
    /// Negative while it runs.
    std::int64_t ended_ms = -1;
    std::string how;
};

/// An executor of "Running tasks" in PROTOCOL.md. The text of a task-spec is "ms=N": the task works
/// for N milliseconds; "ms=A,B" holds a time for each step. It does not guard its capacity.
class executor
{
public:
    executor(recorder& record, std::string id, std::string service, std::string zone,
             std::int64_t cpu, int port = 0)
        : record(record), id(std::move(id)), service(std::move(service)), zone(std::move(zone)),
          cpu(cpu), born(unix_ms()), use_port(port), birth(steady::now())
    {
        std::thread(
            [this]
            {
                while (!this->is_over)
                {
                    sleep_ms(1);
                    std::scoped_lock const guard(this->lock);
                    this->advance();
                }
            })
            .detach();
    }

    /// Begins to accept calls.
    void listen()
    {
        this->server = std::make_unique<http_server>(
            [this](request const& call) { return this->handle(call); }, this->use_port);
    }

    [[nodiscard]] int port() const { return this->server->port(); }

    /// Everything that was started here, in order.
    std::vector<started_run> history()
    {
        std::scoped_lock const guard(this->lock);
        return this->runs_seen;
    }

    /// Reports its status once, on a connection of its own; true if it was confirmed in a second.
    bool report(int agent_port, std::string const& state)
    {
        std::string body;
        {
            std::scoped_lock const guard(this->lock);
            body = this->status_body(state);
        }
        return call(agent_port, "PUT", "/filbertroad/executors/" + this->id, body, 1'000).status /
                   100 ==
               2;
    }

    /// The body of the next status report, which takes the next number.
    std::string next_status_body(std::string const& state)
    {
        std::scoped_lock const guard(this->lock);
        return this->status_body(state);
    }

    /// Ends like a process: all that runs ends, and nothing answers any more.
    void end(std::string const& how)
    {
        std::scoped_lock const guard(this->lock);
        this->is_over = true;
        for (auto const& [task, running] : this->running)
        {
            this->close_run(running.index, how);
        }
        this->running.clear();
        this->server->close_all();
        this->changed.notify_all();
    }

    /// Called before an order is carried out, without the lock. It may sleep, or return a response
    /// that is sent instead.
    std::function<std::optional<response>(request const&)> intercept;

    recorder& record;
    std::string const id;
    std::string const service;
    std::string const zone;
    std::int64_t const cpu;
    std::int64_t const born;

private:
    int const use_port;

    struct run
    {
        std::uint64_t number;
        std::int64_t end_ms;
        std::size_t index;
    };

    [[nodiscard]] std::int64_t clock_ms() const
    {
        return std::chrono::duration_cast<milliseconds>(steady::now() - this->birth).count();
    }

    std::string status_body(std::string const& state)
    {
        return json::serialize(json::object{
            {"service", this->service},
            {"address", address_of(this->port())},
            {"zone", this->zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", state},
            {"cold-remaining-ms", 0},
            {"capacity", json::object{{"cpu", this->cpu}, {"mem-mb", 131'072}, {"gpu", 0}}},
            {"labels", json::array{"a", "r1-1"}},
            {"clock-ms", this->clock_ms()},
            {"born", this->born},
            {"sequence", ++this->sequence}});
    }

    void close_run(std::size_t index, std::string const& how)
    {
        auto& seen = this->runs_seen[index];
        seen.ended_ms = now_ms();
        seen.how = how;
        this->record.write(this->id + ": run " + std::to_string(seen.run) + " of " + seen.task +
                           " ends: " + how);
    }

    void finish(std::string const& task, std::string const& how)
    {
        auto const& item = this->running.at(task);
        this->finished.push_back(json::array{++this->last_end, task, item.number, how, ""});
        this->highest[task] = std::max(this->highest[task], item.number);
        this->close_run(item.index, how);
        this->running.erase(task);
        this->changed.notify_all();
    }

    /// Ends what is done, and everything when the lease is over.
    void advance()
    {
        auto const now = this->clock_ms();
        std::vector<std::string> done;
        bool const has_lapsed = now >= this->lease_until;
        for (auto const& [task, item] : this->running)
        {
            if (has_lapsed || now >= item.end_ms)
            {
                done.push_back(task);
            }
        }
        for (auto const& task : done)
        {
            bool const is_done = now >= this->running.at(task).end_ms;
            this->finish(task, is_done ? "done" : "lapsed");
        }
    }

    void extend_lease(json::object const& body)
    {
        if (auto const* const until = body.if_contains("deadline-ms"))
        {
            auto const time =
                std::min(until->to_number<std::int64_t>(), this->clock_ms() + hold_max_ms);
            this->lease_until = std::max(this->lease_until, time);
        }
    }

    response answer(int status, json::object body)
    {
        body["clock-ms"] = this->clock_ms();
        body["born"] = this->born;
        return {status, json::serialize(body)};
    }

    response handle(request const& call)
    {
        if (this->intercept)
        {
            if (auto other = this->intercept(call))
            {
                return *other;
            }
        }
        return this->carry_out(call);
    }

public:
    /// Carries an order out now.
    response carry_out(request const& call)
    {
        std::unique_lock guard(this->lock);
        if (this->is_over)
        {
            return {.drop = true};
        }
        auto const expected = call.headers.find("expect-instance");
        if (expected != call.headers.end() && expected->second != this->id)
        {
            return this->answer(421, {});
        }
        this->advance();
        auto const body = json::parse(call.body).as_object();
        auto const token = body.contains("fencing-token")
                               ? body.at("fencing-token").to_number<std::uint64_t>()
                               : 0;
        if (token < this->highest_token)
        {
            return this->answer(409, {{"reason", "fence"}});
        }
        this->highest_token = token;
        if (call.path == "/filbertroad/run-start")
        {
            return this->start(body);
        }
        if (call.path == "/filbertroad/run-stop")
        {
            std::string const task(body.at("task").as_string());
            auto const number = body.at("run").to_number<std::uint64_t>();
            auto const found = this->running.find(task);
            if (found != this->running.end() && found->second.number == number)
            {
                this->finish(task, "stopped");
            }
            this->highest[task] = std::max(this->highest[task], number);
            return this->answer(200, {});
        }
        return this->hold(body, guard);
    }

private:
    /// Work of a task in milliseconds: "ms=A,B" is A for the tasks of step 0 and B for step 1.
    static std::int64_t work_ms(std::string const& spec, std::string const& task)
    {
        auto const step_begin = task.find('.', task.find('.') + 1) + 1;
        auto position = spec.find("ms=") + 3;
        for (auto step = std::stoi(task.substr(step_begin)); step > 0; --step)
        {
            auto const comma = spec.find(',', position);
            position = comma == std::string::npos ? position : comma + 1;
        }
        return std::stoll(spec.substr(position));
    }

    response start(json::object const& body)
    {
        std::string const task(body.at("task").as_string());
        auto const number = body.at("run").to_number<std::uint64_t>();
        auto const found = this->running.find(task);
        if (found != this->running.end() && found->second.number == number)
        {
            this->extend_lease(body);
            return this->answer(200, {});
        }
        if (this->highest.contains(task) && number <= this->highest[task])
        {
            this->extend_lease(body);
            return this->answer(409, {{"reason", "old"}});
        }
        if (body.at("deadline-ms").to_number<std::int64_t>() <= this->clock_ms())
        {
            return this->answer(409, {{"reason", "late"}});
        }
        if (found != this->running.end())
        {
            this->finish(task, "stopped");
        }
        this->extend_lease(body);
        std::string const spec(body.at("task-spec").as_string());
        auto const work = work_ms(spec, task);
        this->runs_seen.push_back({this->id, task, number, spec, now_ms(), -1, ""});
        this->running[task] = {number, this->clock_ms() + work, this->runs_seen.size() - 1};
        this->record.write(this->id + ": run " + std::to_string(number) + " of " + task +
                           " starts, " + spec);
        return this->answer(200, {});
    }

    response hold(json::object const& body, std::unique_lock<std::mutex>& guard)
    {
        auto const last_seen = body.at("last-seen").to_number<std::int64_t>();
        std::erase_if(this->finished,
                      [&](json::array const& item) { return item[0].as_int64() <= last_seen; });
        this->extend_lease(body);
        auto const wait =
            body.contains("wait-ms") ? body.at("wait-ms").to_number<std::int64_t>() : 0;
        this->changed.wait_for(guard, milliseconds(std::min<std::int64_t>(wait, 2'000)),
                               [&] { return this->is_over || !this->finished.empty(); });
        if (this->is_over)
        {
            return {.drop = true};
        }
        json::array rows;
        for (auto const& [task, item] : this->running)
        {
            rows.push_back(json::array{task, item.number, "", 100});
        }
        json::array ends;
        for (auto const& item : this->finished)
        {
            if (ends.size() < 500)
            {
                ends.push_back(item);
            }
        }
        return this->answer(200, {{"running", rows}, {"finished", ends}});
    }

    static constexpr std::int64_t hold_max_ms = 1'000;

    steady::time_point const birth;
    std::mutex lock;
    std::condition_variable changed;
    std::atomic<bool> is_over = false;
    std::uint64_t sequence = 0;
    std::uint64_t highest_token = 0;
    std::int64_t lease_until = 0;
    std::int64_t last_end = 0;
    std::map<std::string, run> running;
    std::map<std::string, std::uint64_t> highest;
    std::vector<json::array> finished;
    std::vector<started_run> runs_seen;
    std::unique_ptr<http_server> server;
};

/// The place of an executor beside one agent, and its lives: it may crash and start again under the
/// same id and address. It reports its status at each start and every 1.5 s.
class worker
{
public:
    worker(recorder& record, std::string id, std::string service, std::string zone,
           std::int64_t cpu)
        : record(record), id(std::move(id)), service(std::move(service)), zone(std::move(zone)),
          cpu(cpu)
    {
        this->start(0);
        this->bound_port = this->lives.back()->port();
    }

    [[nodiscard]] int port() const { return this->bound_port; }

    std::shared_ptr<executor> current()
    {
        std::scoped_lock const guard(this->lock);
        return this->lives.back();
    }

    /// Begins the status reports to the agent beside it.
    void report_to(int agent_port)
    {
        this->agent_port = agent_port;
        std::thread(
            [this]
            {
                for (auto next = now_ms();; sleep_ms(10))
                {
                    if (this->is_up && (now_ms() >= next || this->is_new.exchange(false)))
                    {
                        this->current()->report(this->agent_port, "ready");
                        next = now_ms() + 1'500;
                    }
                }
            })
            .detach();
    }

    void crash()
    {
        this->record.write(this->id + " crashes");
        this->is_up = false;
        this->current()->end("lost with the executor");
    }

    /// Starts again. `before_calls` runs once the new life exists and before anyone can call it.
    void start_again(std::function<void(executor&)> before_calls = {})
    {
        this->record.write(this->id + " starts again under its id");
        this->start(this->bound_port, std::move(before_calls));
    }

    std::vector<started_run> history()
    {
        std::vector<started_run> all;
        std::scoped_lock const guard(this->lock);
        for (auto const& life : this->lives)
        {
            auto const part = life->history();
            all.insert(all.end(), part.begin(), part.end());
        }
        return all;
    }

    /// Given to each life.
    std::function<std::optional<response>(executor&, request const&)> intercept;

private:
    void start(int port, std::function<void(executor&)> before_calls = {})
    {
        auto next = std::make_shared<executor>(this->record, this->id, this->service, this->zone,
                                               this->cpu, port);
        auto* const life = next.get();
        next->intercept = [this, life](request const& call) -> std::optional<response>
        { return this->intercept ? this->intercept(*life, call) : std::nullopt; };
        if (before_calls)
        {
            before_calls(*next);
        }
        {
            std::scoped_lock const guard(this->lock);
            this->lives.push_back(std::move(next));
        }
        this->lives.back()->listen();
        this->is_new = true;
        this->is_up = true;
    }

    recorder& record;
    std::string const id;
    std::string const service;
    std::string const zone;
    std::int64_t const cpu;
    int bound_port = 0;
    int agent_port = 0;
    std::atomic<bool> is_up = false;
    std::atomic<bool> is_new = false;
    std::mutex lock;
    std::vector<std::shared_ptr<executor>> lives;
};

// ---------------------------------------------------------------------------- the programs

/// Processes of the project. They run with the commands of deploy/system.toml, and are started by
/// the main thread only.
class fleet
{
public:
    fleet(recorder& record, int store_port) : record(record), store_port(store_port)
    {
        char pattern[] = "/tmp/filbertroad-review-XXXXXX";
        this->folder = ::mkdtemp(pattern);
    }

    /// Ends all processes and the script. Threads of the stand-ins may still run, so that nothing
    /// is destroyed.
    [[noreturn]] void finish(int code)
    {
        for (auto const& [name, pid] : this->processes)
        {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        if (std::getenv("KEEP_LOGS") == nullptr)
        {
            std::filesystem::remove_all(this->folder);
        }
        else
        {
            std::fprintf(stderr, "logs: %s\n", this->folder.c_str());
        }
        std::_Exit(code);
    }

    struct entry
    {
        std::string name;
        int http = 0;
        int ready = 0;
        int link = 0;
    };

    struct agent
    {
        std::string name;
        int control = 0;
    };

    /// Reserves the ports of an entry; start_entry() starts it.
    entry const& add_entry(std::string const& name)
    {
        this->entries.push_back({name, free_port(), free_port(), free_port()});
        return this->entries.back();
    }

    void start_entry(entry const& item, int use_store_port = 0)
    {
        this->write(item.name,
                    "role = \"dispatch-entry\"\nname = \"" + item.name + "\"\nlisten_http = \"" +
                        address_of(item.http) + "\"\nlisten_ready = \"" + address_of(item.ready) +
                        "\"\nlisten_link = \"" + address_of(item.link) + "\"\nseeds = [" +
                        this->seeds() + "]\ngrace_time_ms = 6000\n\n[store]\naddress = \"" +
                        address_of(use_store_port == 0 ? this->store_port : use_store_port) +
                        "\"\n");
        this->spawn(item.name, "dispatch-entry");
    }

    agent start_agent(std::string const& name, std::string const& zone, int executor_port)
    {
        agent const item{name, free_port()};
        this->start_agent(item, zone, executor_port);
        return item;
    }

    void start_agent(agent const& item, std::string const& zone, int executor_port)
    {
        this->write(item.name, "role = \"dispatch-agent\"\nname = \"" + item.name +
                                   "\"\nzone = \"" + zone + "\"\nlisten = \"" +
                                   address_of(item.control) + "\"\ntarget_address = \"" +
                                   address_of(executor_port) + "\"\nseeds = [" + this->seeds() +
                                   "]\ngrace_time_ms = 6000\n\n[store]\naddress = \"" +
                                   address_of(this->store_port) + "\"\n");
        this->spawn(item.name, "dispatch-agent");
    }

    void signal(std::string const& name, int number)
    {
        ::kill(this->processes.at(name), number);
        if (number == SIGKILL)
        {
            ::waitpid(this->processes.at(name), nullptr, 0);
            this->processes.erase(name);
        }
    }

    /// Whether the process still runs; if it has ended, its status is recorded.
    bool is_running(std::string const& name)
    {
        int status = 0;
        auto const found = this->processes.find(name);
        if (found == this->processes.end())
        {
            return false;
        }
        if (::waitpid(found->second, &status, WNOHANG) == 0)
        {
            return true;
        }
        this->record.write(name + " has ended, wait status " + std::to_string(status));
        this->processes.erase(found);
        return false;
    }

    /// Starts a process again with the settings it had.
    void restart(std::string const& name, std::string const& role) { this->spawn(name, role); }

    bool wait_ready(entry const& item, std::int64_t limit_ms = 10'000)
    {
        for (auto const end = now_ms() + limit_ms; now_ms() < end; sleep_ms(50))
        {
            if (call(item.ready, "GET", "/filbertroad/readiness", "", 500).status == 200)
            {
                return true;
            }
        }
        return false;
    }

    std::deque<entry> entries;

private:
    [[nodiscard]] std::string seeds() const
    {
        std::string list;
        for (std::size_t i = 0; i < std::min<std::size_t>(this->entries.size(), 3); ++i)
        {
            list += (i == 0 ? "\"" : ",\"") + address_of(this->entries[i].link) + "\"";
        }
        return list;
    }

    void write(std::string const& name, std::string const& text)
    {
        std::ofstream(this->folder + "/" + name + ".toml") << text;
    }

    void spawn(std::string const& name, char const* role) { this->spawn(name, std::string(role)); }

    void spawn(std::string const& name, std::string const& role)
    {
        auto const settings = this->folder + "/" + name + ".toml";
        auto const log = this->folder + "/" + name + ".log";
        pid_t const pid = ::fork();
        if (pid == 0)
        {
            // Ends with the script, also when that is killed.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            int const out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl("target/filbertroad", "target/filbertroad", role.c_str(), settings.c_str(),
                    nullptr);
            ::_exit(127);
        }
        this->processes[name] = pid;
        this->record.write("start of " + name + " (" + role + ")");
    }

    recorder& record;
    int store_port;
    std::string folder;
    std::map<std::string, pid_t> processes;
};

// ---------------------------------------------------------------------------- clients

/// A job of `count` equal tasks that work for `work_ms` each. `estimate_ms` is what it declares.
inline std::string job_body(int count, int cpu, std::int64_t work_ms, std::int64_t estimate_ms)
{
    return json::serialize(json::object{
        {"task-spec", "ms=" + std::to_string(work_ms)},
        {"steps",
         json::array{json::object{
             {"count", count}, {"cpu", cpu}, {"mem-mb", 64}, {"estimated-ms", estimate_ms}}}},
        {"best-effort", true}});
}

inline std::string job_id(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

/// The operator's config with one queue.
inline std::string config(int version, std::string const& service, int target_latency_ms = 60,
                          int timeout_ms = 1'500)
{
    return json::serialize(
        json::object{{"version", version},
                     {"routes", json::array{json::object{{"name", "r-1"},
                                                         {"host", "queue.example"},
                                                         {"path-prefix", "/jobs/"},
                                                         {"kind", "unsafe"},
                                                         {"timeout-ms", timeout_ms},
                                                         {"target-latency-ms", target_latency_ms},
                                                         {"priority", 0},
                                                         {"service", service},
                                                         {"max-attempts", 2},
                                                         {"stretch", 1.6}}}},
                     {"services", json::array{json::object{{"name", service},
                                                           {"health-path", "/health"},
                                                           {"enforce-capacity", false}}}},
                     {"limits", json::object{{"max-body-bytes", 262'144}}}});
}

inline bool has_trouble()
{
    char const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review

#endif
