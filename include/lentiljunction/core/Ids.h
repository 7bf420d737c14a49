#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lentiljunction {

/// A strongly typed name: names of different kinds cannot be confused.
///
/// @code
/// InstanceId instance { "entry-1" };
/// ZoneId zone { "ba" }; // passing an InstanceId where a ZoneId is expected does not compile
/// @endcode
///
/// @see Number
template <typename Tag>
class Name {
public:
    /// Creates an empty name.
    Name() = default;

    /// @param text the name as written in settings and bundles
    explicit Name(std::string text)
        : text(std::move(text))
    {
    }

    /// @returns the name as text
    const std::string& toString() const { return this->text; }

    /// @returns whether the name is empty
    bool isEmpty() const { return this->text.empty(); }

    friend bool operator==(const Name& left, const Name& right) { return left.text == right.text; }
    friend bool operator!=(const Name& left, const Name& right) { return left.text != right.text; }
    friend bool operator<(const Name& left, const Name& right) { return left.text < right.text; }
    friend std::ostream& operator<<(std::ostream& stream, const Name& name) { return stream << name.text; }

private:
    std::string text;
};

/// A strongly typed counter: counters of different kinds cannot be confused.
///
/// @see Name
template <typename Tag>
class Number {
public:
    /// Creates zero.
    constexpr Number() = default;

    /// @param count the value
    explicit constexpr Number(std::uint64_t count)
        : count(count)
    {
    }

    /// @returns the value
    constexpr std::uint64_t value() const { return this->count; }

    /// @returns the next number
    constexpr Number next() const { return Number(this->count + 1); }

    friend constexpr bool operator==(Number left, Number right) { return left.count == right.count; }
    friend constexpr bool operator!=(Number left, Number right) { return left.count != right.count; }
    friend constexpr bool operator<(Number left, Number right) { return left.count < right.count; }
    friend constexpr bool operator>(Number left, Number right) { return left.count > right.count; }
    friend constexpr bool operator<=(Number left, Number right) { return left.count <= right.count; }
    friend constexpr bool operator>=(Number left, Number right) { return left.count >= right.count; }
    friend std::ostream& operator<<(std::ostream& stream, Number number) { return stream << number.count; }

private:
    std::uint64_t count = 0;
};

/// An instance: one running process of lentiljunction.
using InstanceId = Name<struct InstanceTag>;
/// An availability zone.
using ZoneId = Name<struct ZoneTag>;
/// A database, by the name that callers use. In a bundle, each database is a group of one primary and
/// its replicas.
using DatabaseId = Name<struct DatabaseTag>;
/// A group of upstreams that holds the data of one or more databases.
using GroupId = Name<struct GroupTag>;
/// One member of a database group.
using UpstreamId = Name<struct UpstreamTag>;
/// The id that the caller gave a request.
using RequestId = Name<struct RequestTag>;
/// The connection or credential that identifies a caller.
using CallerId = Name<struct CallerTag>;
/// An interactive transaction.
using TransactionId = Name<struct TransactionTag>;

/// The term of a primary. Each term has at most one primary.
using Term = Number<struct TermTag>;
/// The index of an entry in a database group's log.
using Position = Number<struct PositionTag>;
/// The version of a configuration bundle.
using BundleVersion = Number<struct BundleVersionTag>;
/// The version of an object in the platform's store; zero means absent.
using StoreVersion = Number<struct StoreVersionTag>;
/// Increases each time the platform's store was restored from an older copy. Versions of its objects compare only
/// within one era, because a restored store issues the lost ones again.
using StoreEra = Number<struct StoreEraTag>;
/// A number that increases with each change of the failover coordinator; the greatest number belongs
/// to the current one.
using FencingToken = Number<struct FencingTokenTag>;
/// A counter that a member increases to refute a suspicion that it failed.
using Incarnation = Number<struct IncarnationTag>;

} // namespace lentiljunction

namespace std {

template <typename Tag>
struct hash<lentiljunction::Name<Tag>> {
    size_t operator()(const lentiljunction::Name<Tag>& name) const { return hash<string>()(name.toString()); }
};

} // namespace std
