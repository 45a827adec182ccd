/// \file
/// Which calls carry a usable API key, and whose it is. Guards against calls
/// that are served without a key of any configuration (ROUTE).

#include "coltsfootshed/Accounts/Credentials.h"
#include "coltsfootshed/Accounts/KeyRing.h"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootshed {

class CredentialsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CredentialsTest);
  CPPUNIT_TEST(OneBearerTokenIsAKey);
  CPPUNIT_TEST(OtherHeadersAreFaults);
  CPPUNIT_TEST(AKeyBelongsToItsAccount);
  CPPUNIT_TEST(AKeyOfTwoAccountsIsNobodys);
  CPPUNIT_TEST_SUITE_END();

public:
  void OneBearerTokenIsAKey()
  {
    for (const char* value : { "Bearer abc", "bearer abc", "BEARER abc" }) {
      Headers headers = { { "Host", "h" }, { "authorization", value } };
      auto key = ReadApiKey(headers); // a view into headers
      CPPUNIT_ASSERT(key.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string("abc"), std::string(*key));
    }
  }

  void OtherHeadersAreFaults()
  {
    struct Row
    {
      Headers headers_;
      CredentialFault fault_;
    };
    std::string name = "Authorization";
    const Row rows[] = {
      { {}, CredentialFault::Missing },
      { { { "Host", "h" } }, CredentialFault::Missing },
      { { { name, "Bearer a" }, { name, "Bearer a" } },
        CredentialFault::Doubled },
      { { { name, "Bearer " + std::string(100000, 'a') } },
        CredentialFault::Oversized },
      { { { name, "" } }, CredentialFault::Malformed },
      { { { name, "Bearer" } }, CredentialFault::Malformed },
      { { { name, "Bearer " } }, CredentialFault::Malformed },
      { { { name, "Bearer a b" } }, CredentialFault::Malformed },
      { { { name, "Bearer a,Bearer b" } }, CredentialFault::Malformed },
      { { { name, std::string("Bearer a\0b", 10) } },
        CredentialFault::Malformed },
      { { { name, "Bearer \xc3\xa4" } }, CredentialFault::Malformed },
      { { { name, "Basic YTpi" } }, CredentialFault::Malformed }
    };
    for (const Row& row : rows) {
      auto key = ReadApiKey(row.headers_);
      CPPUNIT_ASSERT(!key.has_value());
      CPPUNIT_ASSERT_EQUAL(static_cast<int>(row.fault_),
                           static_cast<int>(key.error()));
    }
  }

  void AKeyBelongsToItsAccount()
  {
    std::vector<AccountConfig> accounts = { Account("a", { "k1", "k2" }),
                                            Account("b", { "k3" }) };
    KeyRing keys(accounts);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), *keys.Find("k2"));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), *keys.Find("k3"));
    CPPUNIT_ASSERT(keys.Find("k4") == nullptr);
    CPPUNIT_ASSERT(keys.Find("") == nullptr);
  }

  /// A call could not be charged to one of them.
  void AKeyOfTwoAccountsIsNobodys()
  {
    std::vector<AccountConfig> accounts = { Account("a", { "k", "k" }),
                                            Account("b", { "k" }) };
    CPPUNIT_ASSERT(KeyRing(accounts).Find("k") == nullptr);
    accounts.pop_back();
    CPPUNIT_ASSERT(KeyRing(accounts).Find("k") != nullptr);
  }

private:
  static AccountConfig Account(const char* aName,
                               const std::vector<const char*>& aKeys)
  {
    AccountConfig account;
    account.name_ = aName;
    for (const char* key : aKeys) {
      account.keys_.push_back(DigestOfKey(key));
    }
    return account;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CredentialsTest);

} // namespace coltsfootshed
