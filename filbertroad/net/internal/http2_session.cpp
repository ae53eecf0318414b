#include "filbertroad/net/internal/http2_session.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <new>
#include <nghttp2/nghttp2.h>

namespace filbertroad::net::internal
{
namespace
{

/// Largest flow-control window that HTTP/2 allows. TCP limits the sender instead, so that a control
/// message never waits for a window update.
constexpr std::int32_t flow_control_window_bytes = 0x7fffffff;

/// Request path; contains the version of the link protocol.
constexpr std::string_view link_path = "/link/1";

nghttp2_nv header(std::string_view name, std::string_view value)
{
    auto const bytes = [](std::string_view text)
    { return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data())); };
    return {bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

std::string_view as_text(std::uint8_t const* bytes, std::size_t size)
{
    return {reinterpret_cast<char const*>(bytes), size};
}

base::error<net_error> protocol_error(std::string detail)
{
    return {net_error::protocol, std::move(detail)};
}

} // namespace

/// Callbacks of nghttp2, with the http2_session as user data.
struct session_callbacks
{
    static http2_session& self(void* user_data) { return *static_cast<http2_session*>(user_data); }

    static int fail(http2_session& session, std::string detail)
    {
        if (!session.error)
        {
            session.error = protocol_error(std::move(detail));
        }
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    }

    static int on_header(nghttp2_session*, nghttp2_frame const* frame, std::uint8_t const* name,
                         std::size_t name_size, std::uint8_t const* value, std::size_t value_size,
                         std::uint8_t, void* user_data)
    {
        auto& session = self(user_data);
        auto const key = as_text(name, name_size);
        auto const text = as_text(value, value_size);
        if (session.side == link_side::accepting && session.stream == -1 && key == ":path")
        {
            session.protocol_accepted = text == link_path;
        }
        if (session.side == link_side::connecting && frame->hd.stream_id == session.stream &&
            key == ":status")
        {
            session.protocol_accepted = text == "200";
        }
        return 0;
    }

    static int on_headers(http2_session& session, nghttp2_frame const& frame)
    {
        if (session.side == link_side::accepting)
        {
            if (session.stream != -1)
            {
                return fail(session, "peer opened a second stream");
            }
            session.stream = frame.hd.stream_id;
        }
        if (!session.protocol_accepted)
        {
            return fail(session, "peer does not speak link protocol " + std::string(link_path));
        }
        if (session.side == link_side::accepting)
        {
            session.send_response_headers();
        }
        session.handshake_complete = true;
        session.handler.on_stream_opened();
        return 0;
    }

    static int on_frame(nghttp2_session*, nghttp2_frame const* frame, void* user_data)
    {
        auto& session = self(user_data);
        switch (frame->hd.type)
        {
        case NGHTTP2_HEADERS:
            if (!session.handshake_complete && on_headers(session, *frame) != 0)
            {
                return NGHTTP2_ERR_CALLBACK_FAILURE;
            }
            if (frame->hd.stream_id != session.stream)
            {
                return fail(session, "peer opened a second stream");
            }
            break;
        case NGHTTP2_RST_STREAM:
            return fail(session, "peer reset the stream");
        case NGHTTP2_GOAWAY:
            return fail(session, "peer closed the link: " +
                                     std::string(as_text(frame->goaway.opaque_data,
                                                         frame->goaway.opaque_data_len)));
        default:
            break;
        }
        if ((frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS) &&
            (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
        {
            session.handler.on_stream_ended();
        }
        return 0;
    }

    static int on_data(nghttp2_session*, std::uint8_t, std::int32_t, std::uint8_t const* bytes,
                       std::size_t size, void* user_data)
    {
        auto& session = self(user_data);
        if (auto error = session.handler.on_stream_bytes(as_text(bytes, size)))
        {
            session.error = std::move(error);
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
        return 0;
    }

    static int on_invalid_frame(nghttp2_session*, nghttp2_frame const*, int code, void* user_data)
    {
        return fail(self(user_data),
                    std::string("invalid HTTP/2 frame: ") + nghttp2_strerror(code));
    }

    static int on_error(nghttp2_session*, int, char const* text, std::size_t size, void* user_data)
    {
        auto& session = self(user_data);
        if (!session.error)
        {
            session.error = protocol_error("HTTP/2: " + std::string(text, size));
        }
        return 0;
    }

    static ssize_t on_read(nghttp2_session*, std::int32_t, std::uint8_t* out, std::size_t size,
                           std::uint32_t* flags, nghttp2_data_source*, void* user_data)
    {
        auto& session = self(user_data);
        auto const part = session.handler.read_outgoing({reinterpret_cast<char*>(out), size});
        if (part.last)
        {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            session.output_ended = true;
        }
        else if (part.size == 0)
        {
            session.output_deferred = true;
            return NGHTTP2_ERR_DEFERRED;
        }
        return static_cast<ssize_t>(part.size);
    }

    static nghttp2_data_provider provider()
    {
        nghttp2_data_provider result{};
        result.read_callback = on_read;
        return result;
    }

    static nghttp2_session* create(http2_session& session)
    {
        nghttp2_session_callbacks* callbacks = nullptr;
        if (nghttp2_session_callbacks_new(&callbacks) != 0)
        {
            throw std::bad_alloc();
        }
        nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, on_frame);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, on_data);
        nghttp2_session_callbacks_set_on_invalid_frame_recv_callback(callbacks, on_invalid_frame);
        nghttp2_session_callbacks_set_error_callback2(callbacks, on_error);
        nghttp2_session* result = nullptr;
        auto const code = session.side == link_side::connecting
                              ? nghttp2_session_client_new(&result, callbacks, &session)
                              : nghttp2_session_server_new(&result, callbacks, &session);
        nghttp2_session_callbacks_del(callbacks);
        if (code != 0)
        {
            throw std::bad_alloc();
        }
        return result;
    }
};

http2_session::http2_session(link_side side, stream_handler& handler)
    : side(side), handler(handler), session(session_callbacks::create(*this))
{
    std::array<nghttp2_settings_entry, 3> const settings{{
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, flow_control_window_bytes},
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(this->session, NGHTTP2_FLAG_NONE, 0,
                                          flow_control_window_bytes);
    if (side == link_side::connecting)
    {
        this->open_stream();
    }
}

http2_session::~http2_session()
{
    nghttp2_session_del(this->session);
}

void http2_session::open_stream()
{
    std::array<nghttp2_nv, 4> const headers{header(":method", "POST"), header(":scheme", "http"),
                                            header(":authority", "link"),
                                            header(":path", link_path)};
    auto const provider = session_callbacks::provider();
    this->stream = nghttp2_submit_request(this->session, nullptr, headers.data(), headers.size(),
                                          &provider, nullptr);
}

void http2_session::send_response_headers()
{
    std::array<nghttp2_nv, 1> const headers{header(":status", "200")};
    auto const provider = session_callbacks::provider();
    nghttp2_submit_response(this->session, this->stream, headers.data(), headers.size(), &provider);
}

std::optional<base::error<net_error>> http2_session::receive(std::string_view bytes)
{
    auto const consumed = nghttp2_session_mem_recv(
        this->session, reinterpret_cast<std::uint8_t const*>(bytes.data()), bytes.size());
    if (this->error)
    {
        return std::move(this->error);
    }
    if (consumed < 0)
    {
        return protocol_error(std::string("HTTP/2: ") +
                              nghttp2_strerror(static_cast<int>(consumed)));
    }
    return std::nullopt;
}

bool http2_session::collect(std::string& out, std::size_t limit)
{
    if (this->output_deferred && this->stream != -1)
    {
        this->output_deferred = false;
        nghttp2_session_resume_data(this->session, this->stream);
    }
    while (out.size() < limit)
    {
        std::uint8_t const* bytes = nullptr;
        auto const size = nghttp2_session_mem_send(this->session, &bytes);
        if (size <= 0)
        {
            return size == 0;
        }
        out.append(as_text(bytes, static_cast<std::size_t>(size)));
    }
    return true;
}

void http2_session::submit_goaway(std::string_view reason)
{
    nghttp2_submit_goaway(this->session, NGHTTP2_FLAG_NONE,
                          this->side == link_side::connecting ? 0 : std::max(0, this->stream),
                          NGHTTP2_PROTOCOL_ERROR,
                          reinterpret_cast<std::uint8_t const*>(reason.data()), reason.size());
}

} // namespace filbertroad::net::internal
