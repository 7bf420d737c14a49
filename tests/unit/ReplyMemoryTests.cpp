#include "../../src/traffic/ReplyMemory.h"
#include "lentiljunction/interactive/RowList.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

constexpr std::size_t kibibyte = 1024;

class Receiving : public ReplyMemory::Receiver {
public:
    explicit Receiving(ReplyMemory& memory)
        : receipt(memory.open(*this))
    {
    }

    void giveUpReply() override
    {
        this->isGivenUp = true;
        this->receipt.reset();
    }

    std::shared_ptr<ReplyMemory::Receipt> receipt;
    bool isGivenUp = false;
};

} // namespace

TEST_GROUP(ReplyMemory)
{
    ManualClock clock;
    ManualScheduler scheduler { clock };
    MemoryAccount account;
    ReplyMemory memory { scheduler, account };
    Receiving first { memory };
    Receiving second { memory };

    // Callers may hold a quarter of the limit.
    void setup() override { account.setBudget(MemoryBudget(400 * kibibyte)); }
};

// Many long results arrive at once. Guards against a process that is killed for its memory (review case 10), and against the end of
// more replies than necessary.
TEST(ReplyMemory, longestReplyIsGivenUpWhenAllExceedBudget)
{
    first.receipt->set(60 * kibibyte);
    second.receipt->set(39 * kibibyte);
    scheduler.advance(std::chrono::milliseconds(1));
    CHECK_FALSE(first.isGivenUp || second.isGivenUp);
    second.receipt->set(50 * kibibyte);
    CHECK_FALSE(first.isGivenUp);
    scheduler.advance(std::chrono::milliseconds(1));
    CHECK_TRUE(first.isGivenUp);
    CHECK_FALSE(second.isGivenUp);
    LONGS_EQUAL(50 * kibibyte, account.getTotal());
}

// Guards against results that can never be received, and against replies that are complete and given up all the same.
TEST(ReplyMemory, singleLongReplyAndCompleteOnesAreKept)
{
    first.receipt->set(99 * kibibyte);
    first.receipt->onComplete();
    second.receipt->set(10 * kibibyte);
    scheduler.advance(std::chrono::milliseconds(1));
    CHECK_FALSE(first.isGivenUp);
    CHECK_TRUE(second.isGivenUp);
    LONGS_EQUAL(99 * kibibyte, account.getTotal());
    first.receipt.reset();
    LONGS_EQUAL(0, account.getTotal());
}

TEST_GROUP(RowList) {};

// Guards against rows that take many times their bytes.
TEST(RowList, keepsShortRowsInLittleMemory)
{
    RowList rows;
    for (int number = 0; number < 100000; number++)
        rows.add("x");
    LONGS_EQUAL(100000, rows.getSize());
    CHECK(rows.countMemory() <= 16 * rows.countBytes());
    RowList mixed { "a b", "", "c" };
    std::string joined;
    for (std::string_view row : mixed)
        joined += std::string(row) + ";";
    STRCMP_EQUAL("a b;;c;", joined.c_str());
    STRCMP_EQUAL("", std::string(mixed.at(1)).c_str());
    CHECK_FALSE(mixed == RowList({ "a b", "c" }));
}
