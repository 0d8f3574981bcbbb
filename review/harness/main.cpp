// Plays one case of the review: harness CASE FOLDER. Writes FOLDER/record.txt.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. With TROUBLE=0 in the
// environment, the disruption is left out.
#include "cases.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace lovage::review;

int play(const std::string &name, const std::string &folder)
{
    Record record(folder + "/record.txt");
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    const auto found = cases().find(name);
    if (found == cases().end()) {
        std::cerr << "no case " << name << "\n";
        return 2;
    }
    record.add(fmt::format("case {}, trouble {}", name, hasTrouble));
    const bool couldRun = found->second(record, hasTrouble);
    const auto violations = record.violations();
    for (const std::string &line : violations)
        std::cout << "BROKEN " << line << "\n";
    const int code = !couldRun ? 2 : violations.empty() ? 0 : 1;
    record.add(fmt::format("exit {}, {} violations", code, violations.size()));
    std::cout << name << " trouble=" << hasTrouble << " violations=" << violations.size()
              << " exit=" << code << std::endl;
    return code;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: harness CASE FOLDER\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return play(argv[1], argv[2]);
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << "\n";
        return 2;
    }
}
