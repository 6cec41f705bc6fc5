#include "process/holder_role.h"

#include <doctest/doctest.h>

namespace bramleyspoke {

TEST_CASE("a daemon is no holder before its role is known") {
  HolderRole role;
  CHECK_FALSE(role.IsHolder());
  SUBCASE("without leafs, when every daemon would be one") {
    role.Update(true, true);
  }
  SUBCASE("without its own entry") {
    role.OnLeafsKnown();
    role.Update(false, true);
  }
  CHECK_FALSE(role.IsHolder());
  CHECK_FALSE(role.IsSettled());
}

TEST_CASE("a daemon takes its role from the entries") {
  HolderRole role;
  role.OnLeafsKnown();
  role.Update(true, true);
  CHECK(role.IsHolder());
  CHECK(role.IsSettled());
  SUBCASE("which may change") {
    role.Update(true, false);
    CHECK_FALSE(role.IsHolder());
  }
  SUBCASE("and keeps it while its own entry is missing") {
    role.Update(false, false);
    CHECK(role.IsHolder());
  }
}

TEST_CASE("a daemon that is not registered in time acts as a holder") {
  HolderRole role;
  role.OnRegistrationOverdue();
  CHECK(role.IsHolder());
  CHECK_FALSE(role.IsSettled());
  role.OnLeafsKnown();
  role.Update(true, false);
  CHECK_FALSE(role.IsHolder());
  role.OnRegistrationOverdue();
  CHECK_FALSE(role.IsHolder());
}

}  // namespace bramleyspoke
