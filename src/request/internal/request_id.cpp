#include <lagoonladder/request/accepted_request.hpp>

#include <algorithm>

namespace lagoonladder::request
{

namespace
{

std::string escape(std::string const& text)
{
    std::string result;
    for (char const character : text)
    {
        if (character == '~')
            result += "~0";
        else if (character == '-')
            result += "~1";
        else
            result += character;
    }
    return result;
}

std::optional<std::string> unescape(std::string const& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '~')
        {
            result += text[i];
            continue;
        }
        ++i;
        if (i == text.size() || (text[i] != '0' && text[i] != '1'))
            return std::nullopt;
        result += text[i] == '0' ? '~' : '-';
    }
    if (result.empty())
        return std::nullopt;
    return result;
}

bool is_number(std::string const& text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(),
                       [](char character) { return character >= '0' && character <= '9'; });
}

} // namespace

request_id make_request_id(vm_id const& owner, vm_id const& companion, std::uint64_t sequence)
{
    return request_id(escape(owner.value()) + "-" + escape(companion.value()) + "-" +
                      std::to_string(sequence));
}

std::optional<request_id_parts> parse_request_id(request_id const& id)
{
    auto const& text = id.value();
    auto const first_separator = text.find('-');
    auto const second_separator = first_separator == std::string::npos
                                      ? first_separator
                                      : text.find('-', first_separator + 1);
    if (second_separator == std::string::npos)
        return std::nullopt;
    auto const owner = unescape(text.substr(0, first_separator));
    auto const companion =
        unescape(text.substr(first_separator + 1, second_separator - first_separator - 1));
    auto const sequence = text.substr(second_separator + 1);
    if (!owner || !companion || !is_number(sequence))
        return std::nullopt;
    return request_id_parts{vm_id(*owner), vm_id(*companion), sequence};
}

} // namespace lagoonladder::request
