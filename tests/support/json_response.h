// Responses of the fakes of the users' platform.
#pragma once

#include "lovage/net.h"

#include <boost/json.hpp>

namespace lovage::test {

namespace json = boost::json;

inline HttpResponse jsonResponse(int status, const json::value &body)
{
    HttpResponse response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

} // namespace lovage::test
