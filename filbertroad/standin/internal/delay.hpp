#ifndef FILBERTROAD_STANDIN_INTERNAL_DELAY_HPP
#define FILBERTROAD_STANDIN_INTERNAL_DELAY_HPP

/// Delayed function calls.
///
///     internal::call_after(io, std::chrono::milliseconds(5), [] { ... });

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>

namespace filbertroad::standin::internal
{

/// Calls `function` on a thread of `io` after `delay`, or synchronously if `delay` is not positive.
template <class Function>
void call_after(boost::asio::io_context& io, std::chrono::nanoseconds delay, Function function)
{
    if (delay.count() <= 0)
    {
        function();
        return;
    }
    auto timer = std::make_unique<boost::asio::steady_timer>(io, delay);
    auto& reference = *timer;
    reference.async_wait([timer = std::move(timer), function = std::move(function)](
                             boost::system::error_code) mutable { function(); });
}

} // namespace filbertroad::standin::internal

#endif
