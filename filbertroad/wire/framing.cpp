#include "filbertroad/wire/framing.hpp"

#include <boost/endian/conversion.hpp>

namespace filbertroad::wire
{
namespace
{

constexpr std::size_t length_prefix_bytes = 4;

/// A buffer that has grown beyond this is released when it is empty.
constexpr std::size_t max_idle_capacity = 64UL * 1024;

unsigned char* as_bytes(char* text)
{
    return reinterpret_cast<unsigned char*>(text);
}

} // namespace

void append_frame(link_message const& message, std::string& out)
{
    auto const length = message.ByteSizeLong();
    auto const start = out.size();
    out.resize(start + length_prefix_bytes + length);
    boost::endian::store_little_u32(as_bytes(out.data() + start),
                                    static_cast<std::uint32_t>(length));
    message.SerializeWithCachedSizesToArray(as_bytes(out.data() + start + length_prefix_bytes));
}

std::optional<base::error<frame_error>>
frame_reader::feed(std::string_view bytes, std::function<void(link_message&)> const& handler)
{
    this->pending.append(bytes);
    std::size_t position = 0;
    while (this->pending.size() - position >= length_prefix_bytes)
    {
        std::size_t const length =
            boost::endian::load_little_u32(as_bytes(this->pending.data() + position));
        if (length > this->max_frame_bytes)
        {
            return base::error<frame_error>{
                frame_error::too_long, "frame of " + std::to_string(length) + " bytes, limit " +
                                           std::to_string(this->max_frame_bytes)};
        }
        if (this->pending.size() - position - length_prefix_bytes < length)
        {
            break;
        }
        link_message message;
        if (!message.ParseFromArray(this->pending.data() + position + length_prefix_bytes,
                                    static_cast<int>(length)) ||
            message.body_case() == link_message::BODY_NOT_SET)
        {
            return base::error<frame_error>{frame_error::corrupt,
                                            "frame of " + std::to_string(length) +
                                                " bytes does not contain a known link_message"};
        }
        position += length_prefix_bytes + length;
        handler(message);
    }
    this->pending.erase(0, position);
    if (this->pending.empty() && this->pending.capacity() > max_idle_capacity)
    {
        std::string().swap(this->pending);
    }
    return std::nullopt;
}

} // namespace filbertroad::wire
