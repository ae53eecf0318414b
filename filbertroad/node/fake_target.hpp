#ifndef FILBERTROAD_NODE_FAKE_TARGET_HPP
#define FILBERTROAD_NODE_FAKE_TARGET_HPP

/// A target for tests that executes every order at once. Its runs end only when the test ends them
/// or when they are stopped.
///
///     node::fake_target target(io);
///     target.finish("task", dispatch::finish_reason::done);

#include "filbertroad/node/agent_node.hpp"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace filbertroad::node
{

using dispatch::milliseconds;

class fake_target final : public target_client
{
public:
    explicit fake_target(boost::asio::io_context& io) : io(io) {}

    void start(dispatch::start_run const& order,
               std::function<void(dispatch::start_answer)> handler) override
    {
        this->started.push_back(order.id);
        this->running[order.id.task] = order.id.run;
        this->call_after(milliseconds(0), [handler = std::move(handler)]
                         { handler(dispatch::start_answer::accepted); });
    }

    void stop(dispatch::stop_run const& order, std::function<void(bool)> handler) override
    {
        this->finish(order.id.task, dispatch::finish_reason::stopped);
        this->call_after(milliseconds(0), [handler = std::move(handler)] { handler(true); });
    }

    void renew(dispatch::renewal const& /*order*/, milliseconds /*wait*/,
               std::function<void(renewal_response)> handler) override
    {
        this->call_after(milliseconds(5), [this, handler = std::move(handler)]
                         { handler({.list = this->list(), .is_fenced = false}); });
    }

    void finish(std::string const& task, dispatch::finish_reason reason)
    {
        auto const found = this->running.find(task);
        if (found != this->running.end())
        {
            this->finished.push_back({this->finished.size() + 1, {task, found->second}, reason});
            this->running.erase(found);
        }
    }

    std::vector<dispatch::run_id> started;
    /// Run number by task.
    std::map<std::string, std::uint32_t> running;

private:
    [[nodiscard]] dispatch::run_list list() const
    {
        dispatch::run_list content;
        content.incarnation = 1;
        content.clock_ms =
            static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                           base::machine_clock().steady_now().time_since_epoch())
                                           .count());
        for (auto const& [task, run] : this->running)
        {
            content.running.push_back({{task, run}});
        }
        content.finished = this->finished;
        return content;
    }

    void call_after(milliseconds delay, std::function<void()> call)
    {
        auto const timer = std::make_shared<boost::asio::steady_timer>(this->io, delay);
        timer->async_wait([timer, call = std::move(call)](boost::system::error_code) { call(); });
    }

    boost::asio::io_context& io;
    std::vector<dispatch::finished_run> finished;
};

} // namespace filbertroad::node

#endif
