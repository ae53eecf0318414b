#ifndef FILBERTROAD_MODEL_SHARED_TEXT_HPP
#define FILBERTROAD_MODEL_SHARED_TEXT_HPP

/// An immutable text that its copies share. All tasks of a job have the same payload, so that
/// thousands of orders hold it once.
///
///     model::shared_text payload = std::move(text);
///     order.payload = payload;   // copies a pointer
///     write(order.payload.str());
///
/// Copies may be used by different threads.

#include <memory>
#include <string>
#include <utility>

namespace filbertroad::model
{

class shared_text
{
public:
    /// The empty text.
    shared_text() = default;

    /// Implicit, so that a text can be given where a shared one is kept.
    shared_text(std::string text)
        : text(text.empty() ? nullptr : std::make_shared<std::string const>(std::move(text)))
    {
    }

    shared_text(char const* text) : shared_text(std::string(text)) {}

    [[nodiscard]] std::string const& str() const
    {
        static std::string const empty;
        return this->text ? *this->text : empty;
    }

    [[nodiscard]] std::size_t size() const { return this->str().size(); }

    friend bool operator==(shared_text const& left, shared_text const& right)
    {
        return left.text == right.text || left.str() == right.str();
    }

private:
    std::shared_ptr<std::string const> text;
};

} // namespace filbertroad::model

#endif
