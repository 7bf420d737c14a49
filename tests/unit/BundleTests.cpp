#include "../support/MemoryStore.h"
#include "../support/SampleBundle.h"
#include "lentiljunction/bundle/BundleKeeper.h"
#include "lentiljunction/bundle/BundleOffice.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using namespace lentiljunction::tests;

namespace {

/// Two operators of whom both are needed, with a store.
class Office {
public:
    Office()
    {
        this->keys["ayse"] = createKeyPair();
        this->keys["marek"] = createKeyPair();
        this->trust.threshold = 2;
        for (const std::pair<const std::string, KeyPair>& entry : this->keys)
            this->trust.keys[entry.first] = entry.second.publicKey;
    }

    nlohmann::json makeBundle(std::uint64_t version) const { return makeSampleBundle(version, this->keys, 2); }

    bool createAndApprove(const nlohmann::json& document, Failure& failure)
    {
        BundleOffice office(this->store, this->trust);
        std::optional<BundleVersion> version = office.create(document, failure);
        if (!version)
            return false;
        for (const std::pair<const std::string, KeyPair>& entry : this->keys) {
            if (!office.approve(*version, entry.first, entry.second.privateKey, failure))
                return false;
        }
        return true;
    }

    bool rollOut(std::uint64_t version)
    {
        Failure failure;
        BundleOffice office(this->store, this->trust);
        return this->createAndApprove(this->makeBundle(version), failure) && office.roll(BundleVersion(version), failure);
    }

    SignedBundle getCurrent()
    {
        Failure failure;
        BundleOffice office(this->store, this->trust);
        return *office.getCurrent(failure);
    }

    std::string getPointer() { return this->store.objects[storekeys::currentBundle].value; }

    MemoryStore store;
    std::map<std::string, KeyPair> keys;
    OperatorSet trust;
};

} // namespace

TEST_GROUP(BundleKeeper)
{
    Office office;
    Failure failure;
};

TEST(BundleKeeper, neverRevertsWhateverTheOrderOfOffers)
{
    std::vector<SignedBundle> bundles;
    for (std::uint64_t version = 1; version <= 6; version++) {
        CHECK(office.rollOut(version));
        bundles.push_back(office.getCurrent());
    }
    CHECK(rc::check("the version only rises", [&] {
        BundleKeeper keeper(office.trust);
        for (int count = 0; count < 20; count++) {
            Failure ignored;
            BundleVersion before = keeper.getVersion();
            std::size_t index = static_cast<std::size_t>(*rc::gen::inRange(0, 6));
            BundleKeeper::Offer offer = keeper.offer(bundles[index], ignored);
            RC_ASSERT((offer == BundleKeeper::Offer::Accepted) == (keeper.getVersion() > before));
            RC_ASSERT(keeper.getVersion().value() == std::max<std::uint64_t>(before.value(), index + 1));
        }
    }));
}

TEST(BundleKeeper, tooFewOrForeignApprovalsAreRefused)
{
    CHECK(office.rollOut(1));
    SignedBundle bundle = office.getCurrent();
    SignedBundle tooFew = bundle;
    tooFew.approvals.pop_back();
    SignedBundle repeated = tooFew;
    repeated.approvals.push_back(repeated.approvals.front());
    SignedBundle changed = bundle;
    changed.text.replace(changed.text.find("\"slots\":2"), 9, "\"slots\":3");
    SignedBundle foreign = bundle;
    foreign.approvals.back().signature = *signText(createKeyPair().privateKey, SigningPurpose::Bundle, bundle.text, failure);

    for (const SignedBundle& wrong : { tooFew, repeated, changed, foreign }) {
        BundleKeeper keeper(office.trust);
        CHECK(keeper.offer(wrong, failure) == BundleKeeper::Offer::Refused);
        CHECK(keeper.getBundle() == nullptr);
    }
}

TEST(BundleKeeper, aDeltaGivesTheSameTextAsTheFullCopy)
{
    BundleKeeper ahead(office.trust);
    BundleKeeper behind(office.trust);
    for (std::uint64_t version = 1; version <= 5; version++) {
        CHECK(office.rollOut(version));
        CHECK(ahead.offer(office.getCurrent(), failure) == BundleKeeper::Offer::Accepted);
        if (version == 1)
            CHECK(behind.offer(office.getCurrent(), failure) == BundleKeeper::Offer::Accepted);
    }
    std::optional<BundleDelta> delta = parseBundleDelta(toJson(*ahead.makeDelta(BundleVersion(1))), failure);
    CHECK(behind.offer(*delta, failure) == BundleKeeper::Offer::Accepted);
    STRCMP_EQUAL(ahead.getSignedBundle().text.c_str(), behind.getSignedBundle().text.c_str());
    CHECK(behind.offer(*delta, failure) == BundleKeeper::Offer::NotHigher);
    CHECK_FALSE(ahead.makeDelta(BundleVersion(77)).has_value());
}

TEST(BundleKeeper, aDeltaFromAnotherVersionAsksForAFullCopy)
{
    BundleKeeper ahead(office.trust);
    for (std::uint64_t version = 1; version <= 3; version++) {
        CHECK(office.rollOut(version));
        ahead.offer(office.getCurrent(), failure);
    }
    BundleKeeper fresh(office.trust);
    CHECK(fresh.offer(*ahead.makeDelta(BundleVersion(2)), failure) == BundleKeeper::Offer::NeedsFullCopy);
}

TEST(BundleKeeper, newOperatorsTakeOverAndOldOnesCannotReturn)
{
    CHECK(office.rollOut(1));
    BundleKeeper keeper(office.trust);
    keeper.offer(office.getCurrent(), failure);
    Office rogue = office;

    std::map<std::string, KeyPair> newKeys { { "zuzana", createKeyPair() } };
    nlohmann::json handOver = makeSampleBundle(2, newKeys, 1);
    handOver["operators"]["serial"] = 2;
    CHECK(office.createAndApprove(handOver, failure));
    BundleOffice desk(office.store, office.trust);
    CHECK(desk.roll(BundleVersion(2), failure));

    nlohmann::json next = makeSampleBundle(3, newKeys, 1);
    next["operators"]["serial"] = 2;
    CHECK(desk.create(next, failure).has_value());
    CHECK_FALSE(desk.approve(BundleVersion(3), "ayse", office.keys["ayse"].privateKey, failure));
    CHECK(desk.approve(BundleVersion(3), "zuzana", newKeys["zuzana"].privateKey, failure));
    CHECK(desk.roll(BundleVersion(3), failure));

    // An instance that missed version 2 follows the chain; an old set cannot go on past it.
    CHECK(keeper.offer(office.getCurrent(), failure) == BundleKeeper::Offer::Accepted);
    CHECK(rogue.rollOut(9));
    CHECK(keeper.offer(rogue.getCurrent(), failure) == BundleKeeper::Offer::Refused);
}

TEST_GROUP(BundleOffice)
{
    Office office;
    Failure failure;
};

TEST(BundleOffice, approvalsBelowTheThresholdDoNotRoll)
{
    BundleOffice desk(office.store, office.trust);
    CHECK(desk.create(office.makeBundle(1), failure).has_value());
    CHECK(desk.approve(BundleVersion(1), "ayse", office.keys["ayse"].privateKey, failure));
    CHECK_FALSE(desk.roll(BundleVersion(1), failure));
    STRCMP_CONTAINS("1 valid approvals of 2", failure.reason.c_str());
    CHECK_FALSE(desk.approve(BundleVersion(1), "marek", office.keys["ayse"].privateKey, failure));
}

TEST(BundleOffice, theLoserOfARaceIsToldWhichVersionWon)
{
    CHECK(office.rollOut(1));
    CHECK(office.createAndApprove(office.makeBundle(2), failure));
    CHECK(office.createAndApprove(office.makeBundle(3), failure));
    BundleOffice desk(office.store, office.trust);
    CHECK(desk.roll(BundleVersion(3), failure));
    CHECK_FALSE(desk.roll(BundleVersion(2), failure));
    CHECK(failure.kind == Failure::Kind::Conflict);
    STRCMP_CONTAINS("version 3", failure.reason.c_str());
    CHECK_FALSE(desk.create(office.makeBundle(3), failure).has_value());
    CHECK(failure.kind == Failure::Kind::Conflict);
}

TEST(BundleOffice, everyFaultOfEveryStoreCallIsToldTruthfully)
{
    int numHappened = 0;
    for (MemoryStore::CallFault fault : { MemoryStore::CallFault::Unavailable, MemoryStore::CallFault::AnswerLost }) {
        for (int call = 0; call < 20; call++) {
            Office bench;
            CHECK(bench.rollOut(1));
            CHECK(bench.createAndApprove(bench.makeBundle(2), failure));
            BundleOffice desk(bench.store, bench.trust);
            bench.store.setFault(fault, call);
            failure = Failure();
            bool isRolled = desk.roll(BundleVersion(2), failure);
            numHappened += bench.store.hasFaultHappened() ? 1 : 0;

            bool isInForce = bench.getPointer() == "2";
            CHECK(!isRolled || isInForce);
            bool claimsNoEffect = !isRolled && failure.kind != Failure::Kind::InDoubt;
            CHECK(!claimsNoEffect || !isInForce);
            bench.store.setFault(MemoryStore::CallFault::None, 0);
            CHECK(desk.roll(BundleVersion(2), failure));
        }
    }
    CHECK(numHappened > 10);
}

TEST(BundleOffice, twoGatesAndControlFitWithinAnUpstreamsConnections)
{
    for (int connections = 8; connections <= 200; connections++) {
        ProfileConfig profile;
        profile.connections = connections;
        CHECK(profile.getGateConnections() >= 1);
        CHECK(2 * profile.getGateConnections() + ProfileConfig::controlConnections <= connections);
    }
    nlohmann::json document = office.makeBundle(1);
    document["profiles"]["standard"]["connections"] = 8;
    document["profiles"]["standard"]["warm_connections"] = 2;
    BundleOffice desk(office.store, office.trust);
    CHECK_FALSE(desk.create(document, failure).has_value());
    STRCMP_CONTAINS("warm_connections must be at most 1", failure.reason.c_str());
}

TEST(BundleOffice, aBundleWithFaultsNamesThemAll)
{
    nlohmann::json document = office.makeBundle(1);
    document["ranks"]["urgent"]["target_ms"] = "soon";
    document["databases"]["db-0"]["profile"] = "missing";
    document["colour"] = "green";
    BundleOffice desk(office.store, office.trust);
    CHECK_FALSE(desk.create(document, failure).has_value());
    for (const char* part : { "bundle.ranks.urgent.target_ms", "bundle.databases.db-0.profile", "bundle.colour" })
        STRCMP_CONTAINS(part, failure.reason.c_str());
}
