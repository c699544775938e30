#include <lagoonladder/request/accepted_request.hpp>

#include <algorithm>

namespace lagoonladder::request
{

namespace
{

std::string escape(std::string const& text)
{
    std::string out;
    for (char const letter : text)
    {
        if (letter == '~')
            out += "~0";
        else if (letter == '-')
            out += "~1";
        else
            out += letter;
    }
    return out;
}

std::optional<std::string> unescape(std::string const& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '~')
        {
            out += text[i];
            continue;
        }
        ++i;
        if (i == text.size() || (text[i] != '0' && text[i] != '1'))
            return std::nullopt;
        out += text[i] == '0' ? '~' : '-';
    }
    if (out.empty())
        return std::nullopt;
    return out;
}

bool is_number(std::string const& text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(),
                                        [](char letter) { return letter >= '0' && letter <= '9'; });
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
    auto const first = text.find('-');
    auto const second = first == std::string::npos ? first : text.find('-', first + 1);
    if (second == std::string::npos)
        return std::nullopt;
    auto const owner = unescape(text.substr(0, first));
    auto const companion = unescape(text.substr(first + 1, second - first - 1));
    auto const sequence = text.substr(second + 1);
    if (!owner || !companion || !is_number(sequence))
        return std::nullopt;
    return request_id_parts{vm_id(*owner), vm_id(*companion), sequence};
}

} // namespace lagoonladder::request
