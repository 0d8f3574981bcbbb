// Types shared by every library: identifiers, time, verdicts, errors and results.
#pragma once

#include <boost/outcome.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace lovage {

using Duration = std::chrono::microseconds;

// Wall-clock time at process start, advanced by CLOCK_BOOTTIME. It is monotonic and also advances
// while the process is stopped. Libraries that make dispatch decisions take it as an argument.
using Time = std::chrono::time_point<std::chrono::system_clock, Duration>;

// Returns the current time on the clock described at Time. Thread safe.
Time currentTime();

// Milliseconds since the Unix epoch, the form used in HTTP bodies.
int64_t toUnixMillis(Time time);
Time fromUnixMillis(int64_t millis);

// States whether the work of a failed request may have been executed. Work that is not repeatable
// may be retried only after NotRun.
enum class Verdict { NotRun, MayHaveRun, Ran };

// "not-run", "may-have-run" or "ran".
std::string_view toString(Verdict verdict);
std::optional<Verdict> parseVerdict(std::string_view text);

// Returns the verdict with the weaker guarantee: Ran takes precedence over MayHaveRun, and
// MayHaveRun over NotRun.
Verdict worstOf(Verdict left, Verdict right);

// Stable failure codes. toString() gives the text used in failure bodies; existing texts never
// change because callers match on them.
enum class ErrorCode {
    Internal,
    MalformedBody,
    BodyTooLarge,
    NotFound,
    MethodNotAllowed,
    Unauthorized,
    WrongOwner,
    UnknownEntry,
    EntryRetired,
    InvalidEntry,
    DuplicateTaskId,
    TooManyTasks,
    PastDeadline,
    UnknownSubmission,
    IdReused,
    PastHorizon,
    Lapsed,
    IssuerUnreachable,
    HomeUnreachable,
    KeyTooOld,
    KeyInFuture,
    Draining,
    Fenced,
    NoCatalogue,
    QueueFull,
    QuotaExceeded,
    DeadlineUnreachable,
    Overloaded,
    Impossible,
    Cancelled,
    TaskFailed,
    BackendLost,
    BackendRefused,
    DeadlineExceeded,
    AnswerTooLarge,
    MalformedAnswer,
    PublishUnknown,
    PublishConflict,
    LogUnavailable,
    LogBehind,
    PeerUnreachable,
    Timeout,
    InvalidSettings,
    DecodeFailed,
    Count_ // Number of codes; not a code.
};

std::string_view toString(ErrorCode code);
std::optional<ErrorCode> parseErrorCode(std::string_view text);

// A failure, with a verdict on whether the work was executed.
struct Error
{
    Verdict verdict = Verdict::NotRun;
    ErrorCode code = ErrorCode::Internal;
    std::string reason;

    auto operator<=>(const Error &) const = default;
};

// Either a value or an Error. Callers must check has_value() before value() or error().
template<class T>
using Result = boost::outcome_v2::unchecked<T, Error>;

inline Error notRun(ErrorCode code, std::string reason)
{
    return {Verdict::NotRun, code, std::move(reason)};
}

inline Error mayHaveRun(ErrorCode code, std::string reason)
{
    return {Verdict::MayHaveRun, code, std::move(reason)};
}

// Identifies a submission and the only VM incarnation that may start its tasks.
// Text form: dataCentre.vm.incarnation (hex).sequence (decimal).
struct SubmissionId
{
    std::string dataCentre;
    std::string vm;
    uint64_t incarnation = 0; // start time of the issuing process, microseconds since the epoch
    uint64_t sequence = 0;    // counts from 1 within an incarnation

    auto operator<=>(const SubmissionId &) const = default;
};

std::string toString(const SubmissionId &id);
std::optional<SubmissionId> parseSubmissionId(std::string_view text);

// Identifies one attempt at one task of a submission.
// Text form: submission.index.attempt (index and attempt in decimal).
struct TaskId
{
    SubmissionId submission;
    uint32_t index = 0;
    uint32_t attempt = 0; // counts from 0

    auto operator<=>(const TaskId &) const = default;
};

std::string toString(const TaskId &id);
std::optional<TaskId> parseTaskId(std::string_view text);

enum class BackendKind { Executor, Worker };

std::string_view toString(BackendKind kind);
std::optional<BackendKind> parseBackendKind(std::string_view text);

// Resources that one task occupies on a worker. On an executor, a task occupies one slot.
struct Demand
{
    uint32_t milliCores = 1000;
    uint32_t memoryMb = 0;
    uint32_t accelerators = 0;

    auto operator<=>(const Demand &) const = default;
};

// Names of entries, VMs, data centres and owners: 1 to 63 characters of a-z, 0-9 and '-'.
bool isValidName(std::string_view name);

// Hash that is the same on every VM and in every release; used for rendezvous hashing.
uint64_t stableHash(std::string_view text, uint64_t seed = 0);

// Index of the candidate with the highest rendezvous weight for a key; nullopt without candidates.
template<class Names>
std::optional<size_t> rendezvousIndex(std::string_view key, const Names &names)
{
    std::optional<size_t> best;
    uint64_t bestWeight = 0;
    const uint64_t seed = stableHash(key);
    for (size_t i = 0; i < names.size(); ++i) {
        const uint64_t weight = stableHash(names[i], seed);
        if (!best || weight > bestWeight) {
            best = i;
            bestWeight = weight;
        }
    }
    return best;
}

// Seeded random number generator. Libraries that make dispatch decisions own an instance and never
// use global random state.
class Random
{
public:
    explicit Random(uint64_t seed) : engine_(seed) { }

    uint64_t next() { return engine_(); }
    // Uniform in [0, bound); bound must be positive.
    uint64_t below(uint64_t bound);
    // Uniform in [0, 1).
    double unit();
    // Exponentially distributed with the given mean.
    double exponential(double mean);

private:
    std::mt19937_64 engine_;
};

// Guarantees of docs/design.md, section 1.1, whose invariants are checked at run time.
enum class Promise {
    StartOnce,
    WholeAnswer,
    OwnAnswer,
    TrueNotRun,
    NonRepeatableOnce,
    NoWorkOnLeaving,
    NothingCutOnDrain,
    CatalogueForward,
    Count_ // Number of guarantees; not a guarantee.
};

std::string_view toString(Promise promise);

// Counts the violation of an invariant and logs one line. Aborts when the environment variable
// LOVAGE_FATAL_INVARIANTS is set, as it is in tests. Thread safe.
void reportInvariantViolation(Promise promise, std::string_view what, const char *file, int line);
uint64_t invariantViolations(Promise promise);

#define LOVAGE_ASSERT_INVARIANT(promise, condition, what)                              \
    do {                                                                               \
        if (!(condition))                                                              \
            ::lovage::reportInvariantViolation((promise), (what), __FILE__, __LINE__); \
    } while (false)

// Calls a function when the scope is left, including by an exception. The function must not throw.
template<class Function>
class ScopeGuard
{
public:
    explicit ScopeGuard(Function function) : function_(std::move(function)) { }
    ~ScopeGuard() { function_(); }
    ScopeGuard(const ScopeGuard &) = delete;
    ScopeGuard &operator=(const ScopeGuard &) = delete;

private:
    Function function_;
};

} // namespace lovage
