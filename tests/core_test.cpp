#define BOOST_TEST_MODULE core
#include "lovage/core.h"
#include "lovage/rcu.h"

#include <boost/test/unit_test.hpp>

#include <thread>
#include <vector>

using namespace lovage;

namespace {

const SubmissionId sampleId {"plateau", "plateau-1", 0x1f3aULL, 42};

} // namespace

// Guards against ids that change when converted to text and back, which would route a resubmission
// to the wrong issuer.
BOOST_AUTO_TEST_CASE(submissionAndTaskIdsRoundTrip)
{
    BOOST_TEST(toString(sampleId) == "plateau.plateau-1.1f3a.42");
    BOOST_TEST((parseSubmissionId(toString(sampleId)) == sampleId));
    const TaskId task {sampleId, 7, 1};
    BOOST_TEST((parseTaskId(toString(task)) == task));
}

// Guards against accepting truncated or malformed ids.
BOOST_AUTO_TEST_CASE(malformedIdsAreRejected)
{
    for (const char *text : {"", ".", "a.b.c", "a.b.zz.1", "a.b.1.", "a.B.1.1", "a.b.1.1x",
                             "a.b.1.99999999999999999999", "a..1.1"})
        BOOST_TEST(!parseSubmissionId(text), text);
    BOOST_TEST(!parseTaskId("plateau.plateau-1.1f3a.42"));
}

// Guards against two codes or verdicts with the same text, because callers match on these texts.
BOOST_AUTO_TEST_CASE(stableTextsRoundTrip)
{
    for (size_t i = 0; i < static_cast<size_t>(ErrorCode::Count_); ++i) {
        const auto code = static_cast<ErrorCode>(i);
        BOOST_TEST((parseErrorCode(toString(code)) == code));
    }
    for (const Verdict verdict : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran})
        BOOST_TEST((parseVerdict(toString(verdict)) == verdict));
    BOOST_TEST((worstOf(Verdict::NotRun, Verdict::MayHaveRun) == Verdict::MayHaveRun));
}

// Guards against a membership change that moves keys between unaffected members.
BOOST_AUTO_TEST_CASE(rendezvousMovesOnlyKeysOfTheRemovedMember)
{
    const std::vector<std::string> before = {"a", "b", "c", "d"};
    const std::vector<std::string> after = {"a", "b", "c"};
    int moved = 0;
    for (int i = 0; i < 1000; ++i) {
        const std::string key = "backend-" + std::to_string(i);
        const std::string &oldOwner = before[*rendezvousIndex(key, before)];
        const std::string &newOwner = after[*rendezvousIndex(key, after)];
        if (oldOwner != newOwner) {
            BOOST_TEST(oldOwner == "d");
            ++moved;
        }
    }
    BOOST_TEST(moved > 200);
    BOOST_TEST(moved < 300);
}

// Guards against a reader that sees a freed or partly written snapshot.
BOOST_AUTO_TEST_CASE(rcuReadersSeeConsistentSnapshots)
{
    struct Pair
    {
        uint64_t left;
        uint64_t right;
        ~Pair() { left = 1; }
    };
    const RcuThread self;
    RcuPointer<Pair> pointer(std::make_unique<const Pair>(Pair {0, 0}));
    std::atomic<bool> stop = false;
    std::atomic<uint64_t> inconsistent = 0;
    constexpr int readerCount = 3;
    std::vector<std::thread> readers;
    readers.reserve(readerCount);
    for (int i = 0; i < readerCount; ++i) {
        readers.emplace_back([&] {
            const RcuThread reader;
            while (!stop) {
                const auto guard = pointer.read();
                if (guard->left != guard->right)
                    ++inconsistent;
            }
        });
    }
    for (uint64_t i = 2; i < 2000; ++i)
        pointer.publish(std::make_unique<const Pair>(Pair {i, i}));
    stop = true;
    for (auto &reader : readers)
        reader.join();
    BOOST_TEST(inconsistent == 0);
}
