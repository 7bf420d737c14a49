#include "../support/MemoryStore.h"
#include "../support/SampleBundle.h"
#include "lentiljunction/bundle/ActiveBundle.h"
#include "lentiljunction/bundle/BundleAdmin.h"
#include "lentiljunction/core/Json.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using namespace lentiljunction::tests;

namespace {

/// A store, and two operators whose approvals are both required.
class AdminBench {
public:
    AdminBench()
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
        BundleAdmin admin(this->store, this->trust);
        std::optional<BundleVersion> version = admin.create(document, failure);
        if (!version)
            return false;
        for (const std::pair<const std::string, KeyPair>& entry : this->keys) {
            if (!admin.approve(*version, entry.first, entry.second.privateKey, failure))
                return false;
        }
        return true;
    }

    bool rollOut(std::uint64_t version)
    {
        Failure failure;
        BundleAdmin admin(this->store, this->trust);
        return this->createAndApprove(this->makeBundle(version), failure) && admin.roll(BundleVersion(version), failure);
    }

    SignedBundle getCurrent()
    {
        Failure failure;
        BundleAdmin admin(this->store, this->trust);
        return *admin.getCurrent(failure);
    }

    std::string getPointer() { return this->store.objects[storekeys::currentBundle].value; }

    MemoryStore store;
    std::map<std::string, KeyPair> keys;
    OperatorSet trust;
};

} // namespace

TEST_GROUP(ActiveBundle)
{
    AdminBench bench;
    Failure failure;
};

TEST(ActiveBundle, neverRevertsToLowerVersionInAnyOrderOfOffers)
{
    std::vector<SignedBundle> bundles;
    for (std::uint64_t version = 1; version <= 6; version++) {
        CHECK(bench.rollOut(version));
        bundles.push_back(bench.getCurrent());
    }
    CHECK(rc::check("the version never decreases", [&] {
        ActiveBundle activeBundle(bench.trust);
        for (int count = 0; count < 20; count++) {
            Failure ignored;
            BundleVersion before = activeBundle.getVersion();
            std::size_t index = static_cast<std::size_t>(*rc::gen::inRange(0, 6));
            ActiveBundle::OfferResult result = activeBundle.offer(bundles[index], ignored);
            RC_ASSERT((result == ActiveBundle::OfferResult::Accepted) == (activeBundle.getVersion() > before));
            RC_ASSERT(activeBundle.getVersion().value() == std::max<std::uint64_t>(before.value(), index + 1));
        }
    }));
}

TEST(ActiveBundle, refusesBundleWithTooFewOrForeignApprovals)
{
    CHECK(bench.rollOut(1));
    SignedBundle bundle = bench.getCurrent();
    SignedBundle tooFew = bundle;
    tooFew.approvals.pop_back();
    SignedBundle repeated = tooFew;
    repeated.approvals.push_back(repeated.approvals.front());
    SignedBundle changed = bundle;
    changed.text.replace(changed.text.find("\"slots\":2"), 9, "\"slots\":3");
    SignedBundle foreign = bundle;
    foreign.approvals.back().signature = *signText(createKeyPair().privateKey, SigningPurpose::Bundle, bundle.text, failure);

    for (const SignedBundle& wrong : { tooFew, repeated, changed, foreign }) {
        ActiveBundle activeBundle(bench.trust);
        CHECK(activeBundle.offer(wrong, failure) == ActiveBundle::OfferResult::Refused);
        CHECK(activeBundle.getBundle() == nullptr);
    }
}

TEST(ActiveBundle, deltaYieldsSameTextAsFullCopy)
{
    ActiveBundle ahead(bench.trust);
    ActiveBundle behind(bench.trust);
    for (std::uint64_t version = 1; version <= 5; version++) {
        CHECK(bench.rollOut(version));
        CHECK(ahead.offer(bench.getCurrent(), failure) == ActiveBundle::OfferResult::Accepted);
        if (version == 1)
            CHECK(behind.offer(bench.getCurrent(), failure) == ActiveBundle::OfferResult::Accepted);
    }
    std::optional<BundleDelta> delta = parseBundleDelta(toJson(*ahead.makeDelta(BundleVersion(1))), failure);
    CHECK(behind.offer(*delta, failure) == ActiveBundle::OfferResult::Accepted);
    STRCMP_EQUAL(ahead.getSignedBundle().text.c_str(), behind.getSignedBundle().text.c_str());
    CHECK(behind.offer(*delta, failure) == ActiveBundle::OfferResult::NotHigher);
    CHECK_FALSE(ahead.makeDelta(BundleVersion(77)).has_value());
}

// Another instance sends a delta that adds a value to a number, on which the library ends the process, or copies the document
// into itself. Guards against a delta that ends the process or makes it grow beyond its memory.
TEST(ActiveBundle, deltaThatGrowsOrCannotBeAppliedNeedsFullCopy)
{
    ActiveBundle ahead(bench.trust);
    ActiveBundle active(bench.trust);
    CHECK(bench.rollOut(1));
    ahead.offer(bench.getCurrent(), failure);
    active.offer(bench.getCurrent(), failure);
    CHECK(bench.rollOut(2));
    CHECK(ahead.offer(bench.getCurrent(), failure) == ActiveBundle::OfferResult::Accepted);
    nlohmann::json copies = nlohmann::json::array();
    for (int count = 0; count < 14; count++)
        copies.push_back({ { "op", "copy" }, { "from", "" }, { "path", "/c" + std::to_string(count) } });
    nlohmann::json levels = nlohmann::json::array();
    for (std::string path = "/deep"; levels.size() < 2 * maximumNesting; path += "/a")
        levels.push_back({ { "op", "add" }, { "path", path }, { "value", nlohmann::json::object() } });
    constexpr std::size_t excessiveOperations = 10001;
    nlohmann::json many(excessiveOperations, { { "op", "replace" }, { "path", "/version" }, { "value", 2 } });
    for (const nlohmann::json& step : std::vector<nlohmann::json> { copies, levels, many, nlohmann::json::parse(R"([{"op":"add","path":"/version/x","value":1}])"), nlohmann::json::parse(R"([{"op":"remove","path":""}])"), nlohmann::json::parse(R"([{"op":7}])"), nlohmann::json::parse(R"([{"op":"add","path":"x","value":1}])"), 7, nlohmann::json::array({ 7 }) }) {
        BundleDelta delta = *ahead.makeDelta(BundleVersion(1));
        delta.steps = { step };
        CHECK(active.offer(delta, failure) == ActiveBundle::OfferResult::NeedsFullCopy);
        LONGS_EQUAL(1, active.getVersion().value());
    }
    CHECK(active.offer(*ahead.makeDelta(BundleVersion(1)), failure) == ActiveBundle::OfferResult::Accepted);
}

TEST(ActiveBundle, deltaFromOtherVersionNeedsFullCopy)
{
    ActiveBundle ahead(bench.trust);
    for (std::uint64_t version = 1; version <= 3; version++) {
        CHECK(bench.rollOut(version));
        ahead.offer(bench.getCurrent(), failure);
    }
    ActiveBundle fresh(bench.trust);
    CHECK(fresh.offer(*ahead.makeDelta(BundleVersion(2)), failure) == ActiveBundle::OfferResult::NeedsFullCopy);
}

TEST(ActiveBundle, acceptsSuccessorOperatorsAndRefusesFormerOnes)
{
    CHECK(bench.rollOut(1));
    ActiveBundle activeBundle(bench.trust);
    activeBundle.offer(bench.getCurrent(), failure);
    AdminBench formerOperators = bench;

    std::map<std::string, KeyPair> newKeys { { "zuzana", createKeyPair() } };
    nlohmann::json successorBundle = makeSampleBundle(2, newKeys, 1);
    successorBundle["operators"]["serial"] = 2;
    CHECK(bench.createAndApprove(successorBundle, failure));
    BundleAdmin admin(bench.store, bench.trust);
    CHECK(admin.roll(BundleVersion(2), failure));

    nlohmann::json next = makeSampleBundle(3, newKeys, 1);
    next["operators"]["serial"] = 2;
    CHECK(admin.create(next, failure).has_value());
    CHECK_FALSE(admin.approve(BundleVersion(3), "ayse", bench.keys["ayse"].privateKey, failure));
    CHECK(admin.approve(BundleVersion(3), "zuzana", newKeys["zuzana"].privateKey, failure));
    CHECK(admin.roll(BundleVersion(3), failure));

    // An instance that missed version 2 verifies version 3 through the chain. The former operators can
    // no longer approve a bundle.
    CHECK(activeBundle.offer(bench.getCurrent(), failure) == ActiveBundle::OfferResult::Accepted);
    CHECK(formerOperators.rollOut(9));
    CHECK(activeBundle.offer(formerOperators.getCurrent(), failure) == ActiveBundle::OfferResult::Refused);
}

TEST_GROUP(BundleAdmin)
{
    AdminBench bench;
    Failure failure;
};

TEST(BundleAdmin, refusesToRollBelowApprovalThreshold)
{
    BundleAdmin admin(bench.store, bench.trust);
    CHECK(admin.create(bench.makeBundle(1), failure).has_value());
    CHECK(admin.approve(BundleVersion(1), "ayse", bench.keys["ayse"].privateKey, failure));
    CHECK_FALSE(admin.roll(BundleVersion(1), failure));
    STRCMP_CONTAINS("1 valid approvals of 2", failure.reason.c_str());
    CHECK_FALSE(admin.approve(BundleVersion(1), "marek", bench.keys["ayse"].privateKey, failure));
}

TEST(BundleAdmin, reportsWinningVersionWhenRollLosesRace)
{
    CHECK(bench.rollOut(1));
    CHECK(bench.createAndApprove(bench.makeBundle(2), failure));
    CHECK(bench.createAndApprove(bench.makeBundle(3), failure));
    BundleAdmin admin(bench.store, bench.trust);
    CHECK(admin.roll(BundleVersion(3), failure));
    CHECK_FALSE(admin.roll(BundleVersion(2), failure));
    CHECK(failure.kind == Failure::Kind::Conflict);
    STRCMP_CONTAINS("version 3", failure.reason.c_str());
    CHECK_FALSE(admin.create(bench.makeBundle(3), failure).has_value());
    CHECK(failure.kind == Failure::Kind::Conflict);
}

TEST(BundleAdmin, reportsTrueOutcomeForFaultInAnyStoreCall)
{
    int numFaultsInjected = 0;
    for (MemoryStore::CallFault fault : { MemoryStore::CallFault::Unavailable, MemoryStore::CallFault::AnswerLost }) {
        for (int call = 0; call < 20; call++) {
            AdminBench faultBench;
            CHECK(faultBench.rollOut(1));
            CHECK(faultBench.createAndApprove(faultBench.makeBundle(2), failure));
            BundleAdmin admin(faultBench.store, faultBench.trust);
            faultBench.store.setFault(fault, call);
            failure = Failure();
            bool isRolled = admin.roll(BundleVersion(2), failure);
            numFaultsInjected += faultBench.store.hasFaultHappened() ? 1 : 0;

            bool isInForce = faultBench.getPointer() == "2";
            CHECK(!isRolled || isInForce);
            bool claimsNoEffect = !isRolled && failure.kind != Failure::Kind::InDoubt;
            CHECK(!claimsNoEffect || !isInForce);
            faultBench.store.setFault(MemoryStore::CallFault::None, 0);
            CHECK(admin.roll(BundleVersion(2), failure));
        }
    }
    CHECK(numFaultsInjected > 10);
}

TEST(BundleAdmin, fitsTwoGatesAndControlIntoUpstreamConnections)
{
    for (int connections = 8; connections <= 200; connections++) {
        ProfileConfig profile;
        profile.connections = connections;
        CHECK(profile.getGateConnections() >= 1);
        CHECK(2 * profile.getGateConnections() + ProfileConfig::controlConnections <= connections);
    }
    nlohmann::json document = bench.makeBundle(1);
    document["profiles"]["standard"]["connections"] = 8;
    document["profiles"]["standard"]["warm_connections"] = 2;
    BundleAdmin admin(bench.store, bench.trust);
    CHECK_FALSE(admin.create(document, failure).has_value());
    STRCMP_CONTAINS("warm_connections must be at most 1", failure.reason.c_str());
}

TEST(BundleAdmin, reportsAllFaultsOfInvalidBundle)
{
    nlohmann::json document = bench.makeBundle(1);
    document["ranks"]["urgent"]["target_ms"] = "soon";
    document["databases"]["db-0"]["profile"] = "missing";
    document["colour"] = "green";
    BundleAdmin admin(bench.store, bench.trust);
    CHECK_FALSE(admin.create(document, failure).has_value());
    for (const char* part : { "bundle.ranks.urgent.target_ms", "bundle.databases.db-0.profile", "bundle.colour" })
        STRCMP_CONTAINS(part, failure.reason.c_str());
}
