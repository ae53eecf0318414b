#ifndef FILBERTROAD_NET_INTERNAL_RUN_UNTIL_HPP
#define FILBERTROAD_NET_INTERNAL_RUN_UNTIL_HPP

/// Runs an event loop until an event has happened; for tests.
///
///     ASSERT_TRUE(internal::run_until(io, [&] { return opened; }));

#include <boost/asio/io_context.hpp>
#include <chrono>

namespace filbertroad::net::internal
{

/// Handles events of `io` until `done()`; false if that takes longer than 30 s, which only a hang
/// does.
template <class Predicate>
bool run_until(boost::asio::io_context& io, Predicate done)
{
    auto const limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!done())
    {
        io.restart();
        if (io.run_one_until(limit) == 0 && std::chrono::steady_clock::now() >= limit)
        {
            return done();
        }
    }
    return true;
}

} // namespace filbertroad::net::internal

#endif
