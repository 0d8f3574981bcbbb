#include "lovage/net.h"

#include <algorithm>
#include <cctype>

namespace lovage {

namespace {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a))
                == std::tolower(static_cast<unsigned char>(b));
    });
}

std::string_view findHeader(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (equalsIgnoringCase(header.name, name))
            return header.value;
    }
    return {};
}

} // namespace

std::string_view HttpRequest::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string_view HttpResponse::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string_view HttpRequest::path() const
{
    const std::string_view view = target;
    return view.substr(0, view.find('?'));
}

std::optional<std::string_view> HttpRequest::query(std::string_view name) const
{
    const std::string_view view = target;
    const size_t queryStart = view.find('?');
    if (queryStart == std::string_view::npos)
        return std::nullopt;
    std::string_view rest = view.substr(queryStart + 1);
    while (!rest.empty()) {
        const size_t end = rest.find('&');
        const std::string_view parameter = rest.substr(0, end);
        const size_t equals = parameter.find('=');
        if (parameter.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string_view()
                                                    : parameter.substr(equals + 1);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return std::nullopt;
}

} // namespace lovage
