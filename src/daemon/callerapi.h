// HTTP interface for callers and operators.
#pragma once

#include "shared.h"

#include "lovage/net.h"

#include <unordered_map>

namespace lovage::daemon {

// Parses and authenticates requests on the I/O thread that received them. Requests that do not
// depend on the state of the Dispatcher are answered there; all others go to the decision thread. A
// request is refused here only for reasons that lie in the request itself: a refusal for another
// reason has to be recorded in the ledger, so that a delayed copy of the same request is refused as
// well.
class CallerApi
{
public:
    explicit CallerApi(SharedState &shared);

    void handle(HttpRequest request, HttpServer::Reply reply);
    // Body of errors that the HTTP server itself reports.
    static std::string errorBody(const Error &error);

private:
    enum class Role { None, Owner, Operator };
    struct Identity
    {
        Role role = Role::None;
        std::string name;
    };
    struct Call
    {
        HttpRequest request;
        HttpServer::Reply reply;
        Identity identity;
    };

    Identity identify(const HttpRequest &request) const;
    void route(Call call);
    void routeSubmission(Call call, std::string idText);
    void open(Call call);
    void submit(Call call, std::string idText, const std::string &key);
    void getCatalogue(Call call, std::string_view entry);
    void changeCatalogue(Call call);
    void health(const Call &call);
    void metrics(const Call &call);
    WaitingCaller waitingCaller(Call &call, std::string id, const char *spanName);

    SharedState &shared_;
    std::unordered_map<std::string, Identity> identities_; // by token
};

// Returns the HTTP status for an error.
int httpStatusOf(const Error &error);
HttpResponse failureResponse(std::string_view id, const Error &error,
                             const std::string &redirect = {});
HttpResponse outcomeResponse(const std::string &id, const Outcome &outcome,
                             const std::string &redirect);

} // namespace lovage::daemon
