#include "LibConfig/configuration.h"

#include "LibTypes/hexadecimal.h"

#include <algorithm>
#include <array>
#include <openssl/sha.h>

namespace azurehaven {

const model_version *configuration::findVersion(const version_id &Id) const {
  auto Found = Versions.find(Id);
  return Found == Versions.end() ? nullptr : &Found->second;
}

const client_account *
configuration::findAccountByKey(const std::string &Key) const {
  const std::string Hash = hashAccountKey(Key);
  auto Found =
      std::find_if(Accounts.begin(), Accounts.end(), [&](const auto &Entry) {
        return Entry.second.KeyHash == Hash;
      });
  return Found == Accounts.end() ? nullptr : &Found->second;
}

bool configuration::permits(const client_account &Account,
                            const version_id &Id) const {
  const model_version *Version = findVersion(Id);
  if (!Version || Version->State == version_state::Withdrawn)
    return false;
  return Account.AllowedModels.contains(Version->Model) ||
         Account.AllowedVersions.contains(Id);
}

std::string hashAccountKey(const std::string &Key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
         Digest.data());
  return toHexadecimal(
      {reinterpret_cast<const char *>(Digest.data()), Digest.size()});
}

const char *nameOf(version_state State) {
  switch (State) {
  case version_state::Active:
    return "active";
  case version_state::RollingOut:
    return "rolling-out";
  case version_state::Paused:
    return "paused";
  case version_state::Withdrawn:
    return "withdrawn";
  }
  return "unknown";
}

std::optional<version_state> parseVersionState(const std::string &Name) {
  for (auto State : {version_state::Active, version_state::RollingOut,
                     version_state::Paused, version_state::Withdrawn})
    if (Name == nameOf(State))
      return State;
  return std::nullopt;
}

} // namespace azurehaven
