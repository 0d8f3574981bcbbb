#include "callerapi.h"

#include "lovage/backend.h"

namespace lovage::daemon {

int httpStatusOf(const Error &error)
{
    switch (error.code) {
    case ErrorCode::MalformedBody:
    case ErrorCode::InvalidEntry:
    case ErrorCode::DuplicateTaskId:
    case ErrorCode::TooManyTasks:
    case ErrorCode::PastDeadline:
    case ErrorCode::KeyInFuture:
    case ErrorCode::DecodeFailed:
        return 400;
    case ErrorCode::Unauthorized:
        return 401;
    case ErrorCode::WrongOwner:
        return 403;
    case ErrorCode::NotFound:
    case ErrorCode::UnknownEntry:
    case ErrorCode::UnknownSubmission:
        return 404;
    case ErrorCode::MethodNotAllowed:
        return 405;
    case ErrorCode::Timeout:
        return 408;
    case ErrorCode::IdReused:
    case ErrorCode::PublishConflict:
    case ErrorCode::Cancelled:
        return 409;
    case ErrorCode::EntryRetired:
    case ErrorCode::PastHorizon:
    case ErrorCode::Lapsed:
    case ErrorCode::KeyTooOld:
        return 410;
    case ErrorCode::BodyTooLarge:
        return 413;
    case ErrorCode::Impossible:
        return 422;
    case ErrorCode::QueueFull:
    case ErrorCode::QuotaExceeded:
    case ErrorCode::DeadlineUnreachable:
        return 429;
    case ErrorCode::TaskFailed:
    case ErrorCode::BackendLost:
    case ErrorCode::BackendRefused:
    case ErrorCode::AnswerTooLarge:
    case ErrorCode::MalformedAnswer:
    case ErrorCode::PeerUnreachable:
    case ErrorCode::IssuerUnreachable:
    case ErrorCode::HomeUnreachable:
        return 502;
    case ErrorCode::Draining:
    case ErrorCode::Fenced:
    case ErrorCode::NoCatalogue:
    case ErrorCode::Overloaded:
    case ErrorCode::LogUnavailable:
    case ErrorCode::LogBehind:
        return 503;
    case ErrorCode::DeadlineExceeded:
    case ErrorCode::PublishUnknown:
        return 504;
    case ErrorCode::Internal:
    case ErrorCode::InvalidSettings:
    case ErrorCode::Count_:
        break;
    }
    return 500;
}

HttpResponse failureResponse(std::string_view id, const Error &error, const std::string &redirect)
{
    HttpResponse response;
    response.status = httpStatusOf(error);
    if (!redirect.empty())
        response.headers.push_back({"Lovage-Peer", redirect});
    response.body = backend::serializeFailure(id, error);
    return response;
}

HttpResponse outcomeResponse(const std::string &id, const Outcome &outcome,
                             const std::string &redirect)
{
    if (const Error *error = errorOf(outcome))
        return failureResponse(id, *error, redirect);
    const Answer &answer = std::get<Answer>(outcome);
    backend::SubmissionAnswer body;
    body.id = id;
    body.state = backend::SubmissionState::Complete;
    body.results.reserve(answer.tasks.size());
    for (const TaskAnswer &task : answer.tasks)
        body.results.push_back({task.name.empty() ? "0" : task.name, task.output});
    HttpResponse response;
    response.body = backend::serialize(body);
    return response;
}

} // namespace lovage::daemon
