#include "../support/MemoryStore.h"
#include "../support/SampleBundle.h"
#include "lentiljunction/bundle/ActiveBundle.h"
#include "lentiljunction/bundle/BundleAdmin.h"

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
        BundleAdmin office(this->store, this->trust);
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
        BundleAdmin office(this->store, this->trust);
        return this->createAndApprove(this->makeBundle(version), failure) && office.roll(BundleVersion(version), failure);
    }

    SignedBundle getCurrent()
    {
        Failure failure;
        BundleAdmin office(this->store, this->trust);
        return *office.getCurrent(failure);
    }

    std::string getPointer() { return this->store.objects[storekeys::currentBundle].value; }

    MemoryStore store;
    std::map<std::string, KeyPair> keys;
    OperatorSet trust;
};

} // namespace

TEST_GROUP(ActiveBundle)
{
    Office office;
    Failure failure;
};

TEST(ActiveBundle, neverRevertsWhateverTheOrderOfOffers)
{
    std::vector<SignedBundle> bundles;
    for (std::uint64_t version = 1; version <= 6; version++) {
        CHECK(office.rollOut(version));
        bundles.push_back(office.getCurrent());
    }
    CHECK(rc::check("the version only rises", [&] {
        ActiveBundle keeper(office.trust);
        for (int count = 0; count < 20; count++) {
            Failure ignored;
            BundleVersion before = keeper.getVersion();
            std::size_t index = static_cast<std::size_t>(*rc::gen::inRange(0, 6));
            ActiveBundle::Offer offer = keeper.offer(bundles[index], ignored);
            RC_ASSERT((offer == ActiveBundle::Offer::Accepted) == (keeper.getVersion() > before));
            RC_ASSERT(keeper.getVersion().value() == std::max<std::uint64_t>(before.value(), index + 1));
        }
    }));
}

TEST(ActiveBundle, tooFewOrForeignApprovalsAreRefused)
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
        ActiveBundle keeper(office.trust);
        CHECK(keeper.offer(wrong, failure) == ActiveBundle::Offer::Refused);
        CHECK(keeper.getBundle() == nullptr);
    }
}

TEST(ActiveBundle, aDeltaGivesTheSameTextAsTheFullCopy)
{
    ActiveBundle ahead(office.trust);
    ActiveBundle behind(office.trust);
    for (std::uint64_t version = 1; version <= 5; version++) {
        CHECK(office.rollOut(version));
        CHECK(ahead.offer(office.getCurrent(), failure) == ActiveBundle::Offer::Accepted);
        if (version == 1)
            CHECK(behind.offer(office.getCurrent(), failure) == ActiveBundle::Offer::Accepted);
    }
    std::optional<BundleDelta> delta = parseBundleDelta(toJson(*ahead.makeDelta(BundleVersion(1))), failure);
    CHECK(behind.offer(*delta, failure) == ActiveBundle::Offer::Accepted);
    STRCMP_EQUAL(ahead.getSignedBundle().text.c_str(), behind.getSignedBundle().text.c_str());
    CHECK(behind.offer(*delta, failure) == ActiveBundle::Offer::NotHigher);
    CHECK_FALSE(ahead.makeDelta(BundleVersion(77)).has_value());
}

TEST(ActiveBundle, aDeltaFromAnotherVersionAsksForAFullCopy)
{
    ActiveBundle ahead(office.trust);
    for (std::uint64_t version = 1; version <= 3; version++) {
        CHECK(office.rollOut(version));
        ahead.offer(office.getCurrent(), failure);
    }
    ActiveBundle fresh(office.trust);
    CHECK(fresh.offer(*ahead.makeDelta(BundleVersion(2)), failure) == ActiveBundle::Offer::NeedsFullCopy);
}

TEST(ActiveBundle, newOperatorsTakeOverAndOldOnesCannotReturn)
{
    CHECK(office.rollOut(1));
    ActiveBundle keeper(office.trust);
    keeper.offer(office.getCurrent(), failure);
    Office rogue = office;

    std::map<std::string, KeyPair> newKeys { { "zuzana", createKeyPair() } };
    nlohmann::json handOver = makeSampleBundle(2, newKeys, 1);
    handOver["operators"]["serial"] = 2;
    CHECK(office.createAndApprove(handOver, failure));
    BundleAdmin desk(office.store, office.trust);
    CHECK(desk.roll(BundleVersion(2), failure));

    nlohmann::json next = makeSampleBundle(3, newKeys, 1);
    next["operators"]["serial"] = 2;
    CHECK(desk.create(next, failure).has_value());
    CHECK_FALSE(desk.approve(BundleVersion(3), "ayse", office.keys["ayse"].privateKey, failure));
    CHECK(desk.approve(BundleVersion(3), "zuzana", newKeys["zuzana"].privateKey, failure));
    CHECK(desk.roll(BundleVersion(3), failure));

    // An instance that missed version 2 follows the chain; an old set cannot go on past it.
    CHECK(keeper.offer(office.getCurrent(), failure) == ActiveBundle::Offer::Accepted);
    CHECK(rogue.rollOut(9));
    CHECK(keeper.offer(rogue.getCurrent(), failure) == ActiveBundle::Offer::Refused);
}

TEST_GROUP(BundleAdmin)
{
    Office office;
    Failure failure;
};

TEST(BundleAdmin, approvalsBelowTheThresholdDoNotRoll)
{
    BundleAdmin desk(office.store, office.trust);
    CHECK(desk.create(office.makeBundle(1), failure).has_value());
    CHECK(desk.approve(BundleVersion(1), "ayse", office.keys["ayse"].privateKey, failure));
    CHECK_FALSE(desk.roll(BundleVersion(1), failure));
    STRCMP_CONTAINS("1 valid approvals of 2", failure.reason.c_str());
    CHECK_FALSE(desk.approve(BundleVersion(1), "marek", office.keys["ayse"].privateKey, failure));
}

TEST(BundleAdmin, theLoserOfARaceIsToldWhichVersionWon)
{
    CHECK(office.rollOut(1));
    CHECK(office.createAndApprove(office.makeBundle(2), failure));
    CHECK(office.createAndApprove(office.makeBundle(3), failure));
    BundleAdmin desk(office.store, office.trust);
    CHECK(desk.roll(BundleVersion(3), failure));
    CHECK_FALSE(desk.roll(BundleVersion(2), failure));
    CHECK(failure.kind == Failure::Kind::Conflict);
    STRCMP_CONTAINS("version 3", failure.reason.c_str());
    CHECK_FALSE(desk.create(office.makeBundle(3), failure).has_value());
    CHECK(failure.kind == Failure::Kind::Conflict);
}

TEST(BundleAdmin, everyFaultOfEveryStoreCallIsToldTruthfully)
{
    int numHappened = 0;
    for (MemoryStore::CallFault fault : { MemoryStore::CallFault::Unavailable, MemoryStore::CallFault::AnswerLost }) {
        for (int call = 0; call < 20; call++) {
            Office bench;
            CHECK(bench.rollOut(1));
            CHECK(bench.createAndApprove(bench.makeBundle(2), failure));
            BundleAdmin desk(bench.store, bench.trust);
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

TEST(BundleAdmin, twoGatesAndControlFitWithinAnUpstreamsConnections)
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
    BundleAdmin desk(office.store, office.trust);
    CHECK_FALSE(desk.create(document, failure).has_value());
    STRCMP_CONTAINS("warm_connections must be at most 1", failure.reason.c_str());
}

TEST(BundleAdmin, aBundleWithFaultsNamesThemAll)
{
    nlohmann::json document = office.makeBundle(1);
    document["ranks"]["urgent"]["target_ms"] = "soon";
    document["databases"]["db-0"]["profile"] = "missing";
    document["colour"] = "green";
    BundleAdmin desk(office.store, office.trust);
    CHECK_FALSE(desk.create(document, failure).has_value());
    for (const char* part : { "bundle.ranks.urgent.target_ms", "bundle.databases.db-0.profile", "bundle.colour" })
        STRCMP_CONTAINS(part, failure.reason.c_str());
}
