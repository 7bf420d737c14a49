#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lentiljunction {

/// A name that cannot be mixed up with a name of another kind.
///
/// @code
/// InstanceId instance { "entry-1" };
/// ZoneId zone { "ba" }; // an InstanceId is not accepted where a ZoneId is asked for
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

    /// @returns whether no name was given
    bool isEmpty() const { return this->text.empty(); }

    friend bool operator==(const Name& left, const Name& right) { return left.text == right.text; }
    friend bool operator!=(const Name& left, const Name& right) { return left.text != right.text; }
    friend bool operator<(const Name& left, const Name& right) { return left.text < right.text; }
    friend std::ostream& operator<<(std::ostream& stream, const Name& name) { return stream << name.text; }

private:
    std::string text;
};

/// A counter that cannot be mixed up with a counter of another kind.
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

/// An entry instance: one running process of lentiljunction.
using InstanceId = Name<struct InstanceTag>;
/// An availability zone.
using ZoneId = Name<struct ZoneTag>;
/// A database group: one primary and its replicas.
using DatabaseId = Name<struct DatabaseTag>;
/// A group of upstreams that holds the data of one or more databases.
using GroupId = Name<struct GroupTag>;
/// One member of a database group.
using UpstreamId = Name<struct UpstreamTag>;
/// The caller's own number of a request.
using RequestId = Name<struct RequestTag>;
/// The connection or credential a caller is told apart by.
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
/// A number that grows with each holder of the duty to promote; the greatest one wins.
using FencingToken = Number<struct FencingTokenTag>;
/// A member's own counter that refutes suspicion.
using Incarnation = Number<struct IncarnationTag>;

} // namespace lentiljunction

namespace std {

template <typename Tag>
struct hash<lentiljunction::Name<Tag>> {
    size_t operator()(const lentiljunction::Name<Tag>& name) const { return hash<string>()(name.toString()); }
};

} // namespace std
